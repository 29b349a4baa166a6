#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"
#include "crocuscove/document/fleet_document.h"
#include "crocuscove/document/service_document.h"
#include "crocuscove/state/records.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace crocuscove::maintenance {

/// State of a VM as the platform lists it.
enum class PlatformState {
    /// The platform does not list the VM, or has not been asked yet.
    Unknown,
    Running,
    Rebooting,
    Off,
};

std::string_view platformStateName(PlatformState state);

/// What the leader has last heard of the backend server or worker on a VM, and of the VM itself.
struct VmObservation {
    /// Moment of the last announcement. Nothing before the first one under this leader.
    std::optional<base::WallTime> observedAt {};
    /// The backend server or worker announces itself as serving and its lease holds.
    bool isAnnounced = false;
    /// Neither ejected by the entry nodes nor quarantined.
    bool isHealthy = false;
    /// The failure detector suspects the VM.
    bool isSuspect = false;
    std::uint32_t requestsInFlight = 0;
    std::uint32_t tasksRunning = 0;
    /// Those of `tasksRunning` that are checkpointed and may be stopped.
    std::uint32_t tasksCheckpointed = 0;
    PlatformState platform = PlatformState::Unknown;
    std::uint64_t boots = 0;
};

struct MaintenanceVm {
    /// Never null.
    const state::VmRecord* record = nullptr;
    VmObservation observed;
    /// A command for this VM has been proposed and is not applied yet, for example the MoveVm of the same round.
    /// The VM counts as stopped and gets no action.
    bool hasPendingCommand = false;
};

/// Budget of one service. Budgets of services that share a pool add up.
struct ServiceBudget {
    base::ServiceId service;
    base::PoolId pool;
    /// Executors wanted, without the headroom that capacity lends for maintenance.
    std::uint32_t wanted = 0;
    double minAvailablePercent = 100.0;
    document::FailureDomain failureDomain = document::FailureDomain::Rack;
};

/// Returns the budget that a document states when the service wants `wanted` executors.
ServiceBudget budgetOf(const document::ServiceDocument& document, std::uint32_t wanted);

struct MaintenanceView {
    std::vector<MaintenanceVm> vms {};
    std::vector<ServiceBudget> services {};
    /// `maintenancePeriodHours` of the fleet document.
    std::chrono::hours period { 504 };
    /// Moment of the last complete answer of the platform. Nothing before the first one under this leader.
    std::optional<base::WallTime> platformSeenAt {};
    /// Moment at which this leader began to observe. Silence is counted from here at the earliest.
    base::WallTime observingSince;
};

} // namespace crocuscove::maintenance
