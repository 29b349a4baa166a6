#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/document/fleet_document.h"
#include "crocuscove/document/service_document.h"
#include "crocuscove/state/records.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace crocuscove::capacity {

/// Load of a service as its entry nodes reported it. Reports arrive late, so each carries its own moment.
struct LoadSample {
    base::WallTime at {};
    /// Slots in use, summed over the executors. The mean since the sample before.
    double busySlots = 0.0;
    /// Requests waiting, summed over the entry nodes.
    double queued = 0.0;
};

struct ServiceView {
    /// Never null.
    const document::ServiceDocument* document = nullptr;
    /// Oldest first, back to CapacityOptions::history if known. Empty after a leader change.
    std::vector<LoadSample> samples {};
    /// VMs of the pool are due for maintenance. A VM is then lent if the budget would allow no stop.
    bool isMaintenanceDue = false;
};

struct CapacityVm {
    /// Never null.
    const state::VmRecord* record = nullptr;
    /// Since when the VM lacks a fresh, healthy observation. Nothing while it is available.
    std::optional<base::WallTime> unavailableSince {};
    /// A command for this VM has been proposed and is not applied yet. The VM counts as stopped and is not moved.
    bool hasPendingCommand = false;
    /// Destination of the pending command if it is a move, so that the VM is not lent a second time.
    std::optional<base::PoolId> pendingMoveTo {};
    /// The platform lists the VM as running, with this boot counter.
    bool isRunning = false;
    std::uint64_t boots = 0;
    /// Requests in flight and tasks running. The idlest of equal VMs is moved.
    std::uint32_t load = 0;
};

struct CapacityView {
    std::vector<CapacityVm> vms {};
    std::vector<ServiceView> services {};
    /// Never null.
    const document::FleetDocument* fleet = nullptr;
    /// Moment of the last complete answer of the platform. Nothing before the first one under this leader.
    std::optional<base::WallTime> platformSeenAt {};
};

} // namespace crocuscove::capacity
