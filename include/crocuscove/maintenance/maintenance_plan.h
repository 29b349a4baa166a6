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
    /// Ends a return. From Draining it abandons the drain, and a move with it: the VM stays in its pool.
    MarkServing,
    MarkLost,
    Recover,
};

enum class MaintenanceReason {
    /// The VM is within the lead time of its period.
    Due,
    /// The period of the VM has passed.
    Overdue,
    /// Nothing is in flight and no task runs without a checkpoint.
    Drained,
    /// The boot counter rose above the one at the drain.
    Rebooted,
    /// The backend server or worker announces itself and is healthy.
    Healthy,
    /// Unplanned losses used up the budget while the VM drained.
    BudgetLost,
    /// The wave paused while the VM drained.
    WavePaused,
    PlatformOff,
    /// No announcement within the bound.
    Silent,
    /// The VM did not come back from a planned stop within the bound.
    NotReturned,
    /// A lost VM announces itself again.
    SeenAgain,
};

enum class PauseReason {
    /// Several VMs of one rack, or many of the fleet, were lost within a short time.
    CorrelatedFailures,
    VmsNotReturning,
    /// Too many VMs have no fresh observation.
    ObservationLost,
    /// The platform has not answered within the bound.
    PlatformSilent,
    /// The pool is below its budget by unplanned losses.
    BelowBudget,
    /// The budget allows no stop even when every VM of the pool serves.
    BudgetAllowsNoStop,
};

std::string_view maintenanceActionKindName(MaintenanceActionKind kind);
std::string_view maintenanceReasonName(MaintenanceReason reason);
std::string_view pauseReasonName(PauseReason reason);

struct MaintenanceAction {
    MaintenanceActionKind kind = MaintenanceActionKind::BeginDrain;
    MaintenanceReason reason = MaintenanceReason::Due;
    base::PoolId pool {};
    /// The entry to propose. MarkServing with VmReason::Maintenance completes the maintenance of the VM.
    state::SetVmPhase command {};
};

/// No planned stop begins in the scope: a pool, a data centre, or the fleet when neither is given.
struct MaintenancePause {
    PauseReason reason = PauseReason::ObservationLost;
    std::optional<base::PoolId> pool {};
    std::optional<base::DataCentreId> dataCentre {};
    /// VMs that caused the pause.
    std::uint32_t vms = 0;
    /// Moment at which the pause ends if nothing else happens, when known.
    std::optional<base::WallTime> resumesAt {};
};

struct MaintenanceProgress {
    /// VMs maintained recently enough that they are not due.
    std::uint32_t done = 0;
    /// VMs that are due, including those that are stopped now.
    std::uint32_t remaining = 0;
    /// VMs stopped for maintenance now.
    std::uint32_t running = 0;
    std::uint32_t overdue = 0;
    /// Lost VMs. They are in none of the other figures.
    std::uint32_t lost = 0;
    /// Nothing while VMs remain whose pools allow no stop.
    std::optional<base::WallTime> expectedEnd {};
};

/// Budget and maintenance of one pool, for status and for the capacity planner.
struct PoolProgress {
    base::PoolId pool {};
    /// VMs that are due, including those that are stopped now. Not lost ones.
    std::uint32_t due = 0;
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
    /// An older announcement does not count as an observation. The announcement lease is 3 s.
    base::Milliseconds observationFreshness { 5'000 };
    base::Milliseconds platformFreshness { 30'000 };
    /// A VM that is silent for longer is lost.
    base::Milliseconds silenceBound { 60'000 };
    /// Drained is believed only from a report made this long after the drain began. Within 2 s every entry node
    /// knows that the backend server is leaving.
    base::Milliseconds drainSettle { 2'000 };
    /// Bound of a reboot and of a return, each.
    std::chrono::minutes returnBound { 15 };
    /// Losses that are this young count as correlated.
    std::chrono::minutes correlationWindow { 15 };
    /// A repaired VM counts towards the budget of planned stops only after this time, since a second VM is often
    /// lost right after a repair.
    std::chrono::minutes repairWatch { 10 };
    /// Length of the pause after a VM was lost in maintenance.
    std::chrono::minutes notReturnedPause { 60 };
    /// Time from the start of a drain until the VM serves again, for the expected end and the lead time.
    std::chrono::minutes expectedStop { 10 };
    /// A VM is due this share of the period before the period ends.
    double leadShare = 0.25;
    std::uint32_t correlatedPerRack = 2;
    std::uint32_t correlatedInFleet = 3;
    /// Share of the fleet that raises `correlatedInFleet` in large fleets.
    double correlatedFleetShare = 0.005;
    std::uint32_t notReturningInFleet = 2;
    /// Share of the fleet that raises `notReturningInFleet` in large fleets.
    double notReturningFleetShare = 0.0002;
    /// Share of the serving VMs that may lack a fresh observation.
    double unobservedShare = 0.1;
    /// Planned stops that may run at once in the whole fleet, at least `minRunningStops`.
    double maxRunningShare = 0.02;
    std::uint32_t minRunningStops = 10;
    /// Share of a pool without a service document that stays in service, in percent.
    double unbudgetedAvailablePercent = 90.0;
};

/// Decides the next steps of maintenance and of running moves, and of VMs that were lost or came back. Needs no
/// memory of earlier plans, so a new leader continues from the records.
MaintenancePlan planMaintenance(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now);

} // namespace crocuscove::maintenance
