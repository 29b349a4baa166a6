#pragma once

#include "crocuscove/maintenance/maintenance_view.h"
#include "crocuscove/state/command.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace crocuscove::maintenance {

enum class MaintenanceActionKind {
    BeginDrain,
    BeginReboot,
    MarkReturning,
    /// Completes a return to service. From Draining, it cancels the drain and any move, so the VM stays in its pool.
    MarkServing,
    MarkLost,
    Recover,
};

enum class MaintenanceReason {
    /// The maintenance period of the VM ends within the lead time.
    Due,
    /// The maintenance period of the VM has ended.
    Overdue,
    /// No request is in flight, and every running task has a checkpoint.
    Drained,
    /// The boot counter is higher than when the drain began.
    Rebooted,
    /// The backend server or worker announces itself and is healthy.
    Healthy,
    /// Unplanned losses exhausted the budget while the VM was draining.
    BudgetLost,
    /// Maintenance was paused while the VM was draining.
    WavePaused,
    /// The platform lists the VM as off.
    PlatformOff,
    /// No announcement arrived within `silenceTimeout`.
    Silent,
    /// The VM did not return from a reboot within `returnTimeout`.
    NotReturned,
    /// A lost VM announces itself again.
    SeenAgain,
};

enum class PauseReason {
    /// Several VMs of one rack, or many of the fleet, were lost within a short time.
    CorrelatedFailures,
    /// VMs did not return from planned stops.
    VmsNotReturning,
    /// Too many VMs have no fresh observation.
    ObservationLost,
    /// The last complete answer of the platform is older than `platformFreshness`.
    PlatformSilent,
    /// Unplanned losses leave the pool with fewer VMs in service than its budget requires.
    BelowBudget,
    /// The budget allows no stop even when every VM of the pool is in service.
    BudgetAllowsNoStop,
};

std::string_view maintenanceActionKindName(MaintenanceActionKind kind);
std::string_view maintenanceReasonName(MaintenanceReason reason);
std::string_view pauseReasonName(PauseReason reason);

struct MaintenanceAction {
    MaintenanceActionKind kind = MaintenanceActionKind::BeginDrain;
    MaintenanceReason reason = MaintenanceReason::Due;
    base::PoolId pool {};
    /// The command to propose to the replicated log. MarkServing with VmReason::Maintenance completes the maintenance
    /// of the VM.
    state::SetVmPhase command {};
};

/// Suspends new planned stops in one pool, one data centre, or the whole fleet when neither is set.
struct MaintenancePause {
    PauseReason reason = PauseReason::ObservationLost;
    std::optional<base::PoolId> pool {};
    std::optional<base::DataCentreId> dataCentre {};
    /// Number of VMs that caused the pause.
    std::uint32_t vms = 0;
    /// Time at which the pause ends unless something else prolongs it, if known.
    std::optional<base::WallTime> resumesAt {};
};

struct MaintenanceProgress {
    /// VMs that are not due, because their last maintenance is recent enough.
    std::uint32_t done = 0;
    /// VMs that are due, including those that are stopped now.
    std::uint32_t remaining = 0;
    /// VMs stopped for maintenance now.
    std::uint32_t running = 0;
    std::uint32_t overdue = 0;
    /// Lost VMs. The other counts exclude them.
    std::uint32_t lost = 0;
    /// Empty while a pool with due VMs allows no stop.
    std::optional<base::WallTime> expectedEnd {};
};

/// Budget and maintenance of one pool, for status and for the capacity planner.
struct PoolProgress {
    base::PoolId pool {};
    /// VMs that are due, including those that are stopped now and excluding lost ones.
    std::uint32_t due = 0;
    /// Executors wanted by the services of the pool.
    std::uint32_t wanted = 0;
    /// VMs that must stay in service.
    std::uint32_t required = 0;
    std::uint32_t inService = 0;
};

struct MaintenancePlan {
    std::vector<MaintenanceAction> actions {};
    std::vector<MaintenancePause> pauses {};
    MaintenanceProgress progress {};
    std::vector<PoolProgress> pools {};
};

struct MaintenanceOptions {
    /// Maximum age of an announcement that counts as an observation. The announcement lease is 3 s.
    base::Milliseconds observationFreshness { 5'000 };
    /// Maximum age of the last complete answer of the platform.
    base::Milliseconds platformFreshness { 30'000 };
    /// A VM that has sent no announcement for longer than this is marked lost.
    base::Milliseconds silenceTimeout { 60'000 };
    /// A VM counts as drained only by a report made at least this long after its drain began. Every entry node learns
    /// within 2 s that the backend server is leaving.
    base::Milliseconds drainSettleTime { 2'000 };
    /// Maximum duration of a reboot, and of the return that follows it.
    std::chrono::minutes returnTimeout { 15 };
    /// Losses within this time count as correlated.
    std::chrono::minutes correlationWindow { 15 };
    /// A repaired VM counts towards the budget of planned stops only after this time, since a second VM is often
    /// lost right after a repair.
    std::chrono::minutes repairProbation { 10 };
    /// Duration of the pause after a VM was lost during maintenance.
    std::chrono::minutes notReturnedPause { 60 };
    /// Estimated time from the start of a drain until the VM serves again. The expected end and the lead time use it.
    std::chrono::minutes expectedStopDuration { 10 };
    /// Minimum lead time, as a share of the maintenance period: a VM is due this long before its period ends.
    double leadTimeShare = 0.25;
    /// Correlated losses in one rack that pause its data centre.
    std::uint32_t minCorrelatedLossesPerRack = 2;
    /// Correlated losses that pause the fleet.
    std::uint32_t minCorrelatedLossesInFleet = 3;
    /// In large fleets, this share of the fleet replaces `minCorrelatedLossesInFleet` when it is more.
    double minCorrelatedLossesFleetShare = 0.005;
    /// VMs not returning from maintenance that pause the fleet.
    std::uint32_t minNotReturningInFleet = 2;
    /// In large fleets, this share of the fleet replaces `minNotReturningInFleet` when it is more.
    double minNotReturningFleetShare = 0.0002;
    /// Maximum share of the serving VMs that may lack a fresh observation.
    double maxUnobservedShare = 0.1;
    /// Planned stops that may run at once, as a share of the fleet. The limit is never below `minRunningStops`.
    double maxRunningShare = 0.02;
    std::uint32_t minRunningStops = 10;
    /// Percentage of VMs that stay in service in a pool without a service document.
    double defaultMinAvailablePercent = 90.0;
};

/// Decides the next phase changes of VMs in maintenance, in a move, lost or recovered. Keeps no state between calls, so
/// a new leader continues from the replicated records.
MaintenancePlan planMaintenance(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now);

} // namespace crocuscove::maintenance
