#include "steps.h"

#include <algorithm>

namespace crocuscove::maintenance {

namespace {

using state::VmPhase;
using state::VmReason;

using Kind = MaintenanceActionKind;
using Reason = MaintenanceReason;

VmPhase phaseAfter(Kind kind)
{
    switch (kind) {
    case Kind::BeginDrain:
        return VmPhase::Draining;
    case Kind::BeginReboot:
        return VmPhase::Rebooting;
    case Kind::MarkReturning:
    case Kind::Recover:
        return VmPhase::Returning;
    case Kind::MarkLost:
        return VmPhase::Lost;
    case Kind::MarkServing:
        break;
    }
    return VmPhase::Serving;
}

class StepPlanner {
public:
    StepPlanner(const Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions)
        : m_fleet(fleet)
        , m_pauses(pauses)
        , m_actions(actions)
        , m_restored(fleet.pools.size(), 0)
    {
    }

    void step(std::size_t vm)
    {
        const MaintenanceVm& entry = m_fleet.view.vms[vm];
        if (entry.hasPendingCommand) {
            return;
        }
        switch (entry.record->phase) {
        case VmPhase::Serving:
            markLostIfUnreachable(vm);
            break;
        case VmPhase::Draining:
            stepDraining(vm);
            break;
        case VmPhase::Rebooting:
            stepRebooting(vm);
            break;
        case VmPhase::Returning:
            stepReturning(vm);
            break;
        case VmPhase::Lost:
            stepLost(vm);
            break;
        }
    }

private:
    [[nodiscard]] const MaintenanceVm& entryOf(std::size_t vm) const { return m_fleet.view.vms[vm]; }

    void addAction(std::size_t vm, Kind kind, Reason reason, VmReason recorded)
    {
        m_actions.push_back(makeAction(entryOf(vm), kind, reason, recorded));
    }

    [[nodiscard]] bool isOff(std::size_t vm) const
    {
        return m_fleet.isPlatformFresh && entryOf(vm).observed.platform == PlatformState::Off;
    }

    /// Whether the boot counter of the platform shows a reboot since the drain began.
    [[nodiscard]] bool hasRebooted(std::size_t vm) const
    {
        const VmObservation& observed = entryOf(vm).observed;
        return m_fleet.isPlatformFresh && observed.platform == PlatformState::Running
            && observed.boots > entryOf(vm).record->bootsAtDrain;
    }

    [[nodiscard]] bool hasSilenceTimedOut(std::size_t vm) const
    {
        const auto lastHeard = std::max({ m_fleet.lastObservations[vm].at.value_or(m_fleet.view.observingSince),
            m_fleet.view.observingSince, entryOf(vm).record->phaseSince });
        return m_fleet.isPlatformFresh && !m_pauses.isMostlyUnobserved
            && lastHeard + m_fleet.options.silenceTimeout < m_fleet.now;
    }

    [[nodiscard]] bool hasReturnTimedOut(std::size_t vm) const
    {
        const auto since = std::max(entryOf(vm).record->phaseSince, m_fleet.view.observingSince);
        return m_fleet.isPlatformFresh && !m_pauses.isMostlyUnobserved
            && since + m_fleet.options.returnTimeout < m_fleet.now;
    }

    /// Marks the VM lost if the platform lists it as off or its announcements timed out. Returns whether it did.
    bool markLostIfUnreachable(std::size_t vm)
    {
        if (isOff(vm)) {
            addAction(vm, Kind::MarkLost, Reason::PlatformOff, VmReason::Failure);
            return true;
        }
        if (hasSilenceTimedOut(vm)) {
            addAction(vm, Kind::MarkLost, Reason::Silent, VmReason::Failure);
            return true;
        }
        return false;
    }

    bool markLostIfNotReturned(std::size_t vm)
    {
        if (!hasReturnTimedOut(vm)) {
            return false;
        }
        const VmReason reason = entryOf(vm).record->reason;
        const bool isPlanned = reason == VmReason::Maintenance || reason == VmReason::Move;
        addAction(vm, Kind::MarkLost, Reason::NotReturned, isPlanned ? reason : VmReason::Failure);
        return true;
    }

    [[nodiscard]] bool isDrained(std::size_t vm) const
    {
        const MaintenanceVm& entry = entryOf(vm);
        const LastObservation& lastObservation = m_fleet.lastObservations[vm];
        return lastObservation.isFresh
            && *lastObservation.at >= entry.record->phaseSince + m_fleet.options.drainSettleTime
            && entry.observed.requestsInFlight == 0 && entry.observed.tasksRunning <= entry.observed.tasksCheckpointed;
    }

    /// Returns a draining VM to service if the pool is below its budget, counting VMs already restored in this plan.
    /// Skips unhealthy and suspect VMs, which would not raise the number in service.
    bool restoreIfBelowBudget(std::size_t vm)
    {
        if (!entryOf(vm).observed.isHealthy || entryOf(vm).observed.isSuspect) {
            return false;
        }
        const PoolBudget& pool = m_fleet.pools[m_fleet.poolOf[vm]];
        std::uint32_t& restored = m_restored[m_fleet.poolOf[vm]];
        if (pool.inService + restored >= pool.required) {
            return false;
        }
        ++restored;
        addAction(vm, Kind::MarkServing, Reason::BudgetLost, VmReason::None);
        return true;
    }

    void stepDraining(std::size_t vm)
    {
        const state::VmRecord& record = *entryOf(vm).record;
        if (hasRebooted(vm)) {
            addAction(vm, Kind::MarkReturning, Reason::Rebooted, record.reason);
            return;
        }
        if (markLostIfUnreachable(vm) || m_pauses.lacksObservations || !m_fleet.lastObservations[vm].isFresh
            || restoreIfBelowBudget(vm)) {
            return;
        }
        if (record.reason == VmReason::Maintenance && m_pauses.covers(record)) {
            addAction(vm, Kind::MarkServing, Reason::WavePaused, VmReason::None);
        } else if (isDrained(vm) && !m_fleet.pools[m_fleet.poolOf[vm]].isBelowBudget()) {
            addAction(vm, Kind::BeginReboot, Reason::Drained, record.reason);
        }
    }

    void stepRebooting(std::size_t vm)
    {
        if (hasRebooted(vm)) {
            addAction(vm, Kind::MarkReturning, Reason::Rebooted, entryOf(vm).record->reason);
        } else {
            markLostIfNotReturned(vm);
        }
    }

    void stepReturning(std::size_t vm)
    {
        const state::VmRecord& record = *entryOf(vm).record;
        const LastObservation& lastObservation = m_fleet.lastObservations[vm];
        if (isOff(vm)) {
            addAction(vm, Kind::MarkLost, Reason::PlatformOff, VmReason::Failure);
        } else if (lastObservation.isFresh && lastObservation.canServe && *lastObservation.at > record.phaseSince) {
            addAction(vm, Kind::MarkServing, Reason::Healthy,
                record.reason == VmReason::Failure ? VmReason::Returned : record.reason);
        } else {
            markLostIfNotReturned(vm);
        }
    }

    void stepLost(std::size_t vm)
    {
        const state::VmRecord& record = *entryOf(vm).record;
        const LastObservation& lastObservation = m_fleet.lastObservations[vm];
        if (isOff(vm) || !lastObservation.isFresh || !lastObservation.canServe
            || *lastObservation.at <= record.phaseSince) {
            return;
        }
        // A VM that missed the return timeout but did reboot completes its planned stop.
        const bool isPlanned = record.reason == VmReason::Maintenance || record.reason == VmReason::Move;
        addAction(
            vm, Kind::Recover, Reason::SeenAgain, isPlanned && hasRebooted(vm) ? record.reason : VmReason::Returned);
    }

    const Fleet& m_fleet;
    const PauseScopes& m_pauses;
    std::vector<MaintenanceAction>& m_actions;
    std::vector<std::uint32_t> m_restored;
};

} // namespace

MaintenanceAction makeAction(
    const MaintenanceVm& vm, MaintenanceActionKind kind, MaintenanceReason reason, VmReason recorded)
{
    const state::VmRecord& record = *vm.record;
    return { .kind = kind,
        .reason = reason,
        .pool = record.pool,
        .command = { .vm = record.vm,
            .expected = record.phase,
            .phase = phaseAfter(kind),
            .reason = recorded,
            .operation = record.operation,
            .boots = vm.observed.boots } };
}

void planSteps(const Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions)
{
    StepPlanner planner(fleet, pauses, actions);
    for (std::size_t vm = 0; vm < fleet.view.vms.size(); ++vm) {
        planner.step(vm);
    }
}

} // namespace crocuscove::maintenance
