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

/// Latest reports that the leader has about a VM and the backend server or worker on it.
struct VmObservation {
    /// Time of the last announcement. Empty until this leader receives the first one.
    std::optional<base::WallTime> observedAt {};
    /// The backend server or worker announces itself as serving, and its lease has not expired.
    bool isAnnounced = false;
    /// Neither ejected by the entry nodes nor quarantined.
    bool isHealthy = false;
    /// The failure detector suspects the VM.
    bool isSuspect = false;
    std::uint32_t requestsInFlight = 0;
    std::uint32_t tasksRunning = 0;
    /// Tasks among `tasksRunning` that have a checkpoint and may be stopped.
    std::uint32_t tasksCheckpointed = 0;
    PlatformState platform = PlatformState::Unknown;
    /// Boot counter that the platform reports.
    std::uint64_t boots = 0;
};

/// Replicated record and latest observation of one VM.
struct MaintenanceVm {
    /// Never null.
    const state::VmRecord* record = nullptr;
    VmObservation observed;
    /// A command for this VM has been proposed but not applied yet, such as a MoveVm of the same round. Until it is
    /// applied, the VM counts as stopped and gets no action.
    bool hasPendingCommand = false;
};

/// Budget of one service. Budgets of services that share a pool add up.
struct ServiceBudget {
    base::ServiceId service;
    base::PoolId pool;
    /// Executors wanted, without the headroom that capacity planning adds for maintenance.
    std::uint32_t wanted = 0;
    double minAvailablePercent = 100.0;
    document::FailureDomain failureDomain = document::FailureDomain::Rack;
};

/// Returns the budget of a service document when the service wants `wanted` executors.
ServiceBudget budgetOf(const document::ServiceDocument& document, std::uint32_t wanted);

/// Input of planMaintenance().
struct MaintenanceView {
    std::vector<MaintenanceVm> vms {};
    std::vector<ServiceBudget> services {};
    /// `maintenancePeriodHours` of the fleet document.
    std::chrono::hours period { 504 };
    /// Time of the last complete answer of the platform. Empty until this leader receives the first one.
    std::optional<base::WallTime> platformSeenAt {};
    /// Time at which this leader began to receive announcements. Timeouts never start earlier.
    base::WallTime observingSince;
};

} // namespace crocuscove::maintenance
