#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/document/fleet_document.h"
#include "crocuscove/document/service_document.h"
#include "crocuscove/state/records.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace crocuscove::capacity {

/// Load of a service as reported by its entry nodes. Reports arrive with a delay, so each has its own timestamp.
struct LoadSample {
    base::WallTime at {};
    /// Slots in use, summed over the executors and averaged since the previous sample.
    double busySlots = 0.0;
    /// Requests waiting, summed over the entry nodes.
    double queued = 0.0;
};

struct ServiceView {
    /// Never null.
    const document::ServiceDocument* document = nullptr;
    /// Oldest first, covering up to CapacityOptions::history. Empty after a leader change.
    std::vector<LoadSample> samples {};
    /// VMs of the pool are due for maintenance. The pool then borrows a VM if the budget would allow no stop.
    bool isMaintenanceDue = false;
};

struct CapacityVm {
    /// Never null.
    const state::VmRecord* record = nullptr;
    /// Time since which the VM lacks a recent healthy observation. Empty while it is available.
    std::optional<base::WallTime> unavailableSince {};
    /// A command for this VM has been proposed and is not applied yet. The VM counts as stopped and is not moved.
    bool hasPendingCommand = false;
    /// Destination of the pending command if it is a move, so that no second VM is lent for the same need.
    std::optional<base::PoolId> pendingMoveTo {};
    /// The platform lists the VM as running, with this boot counter.
    bool isRunning = false;
    std::uint64_t boots = 0;
    /// Requests in flight and running tasks. Among otherwise equal VMs, the one with the lowest load is moved.
    std::uint32_t load = 0;
};

struct CapacityView {
    std::vector<CapacityVm> vms {};
    std::vector<ServiceView> services {};
    /// Never null.
    const document::FleetDocument* fleet = nullptr;
    /// Time of the platform's last complete answer. Empty until the first one under this leader.
    std::optional<base::WallTime> platformSeenAt {};
};

} // namespace crocuscove::capacity
