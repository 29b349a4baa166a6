#include "pauses.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::maintenance {

namespace {

using state::VmPhase;
using state::VmReason;

// Fewer silent VMs are a matter of those VMs, in however small a fleet.
constexpr std::uint32_t minUnobserved = 3;

std::uint32_t threshold(std::uint32_t minimum, double share, std::size_t vms)
{
    return std::max(minimum, static_cast<std::uint32_t>(std::ceil(share * static_cast<double>(vms))));
}

/// Counts of VMs, with the moment at which the last of them stops counting.
struct Tally {
    std::uint32_t vms = 0;
    std::optional<base::WallTime> until;

    void add(std::optional<base::WallTime> moment)
    {
        ++vms;
        if (moment && (!until || *until < *moment)) {
            until = moment;
        }
    }
};

void pauseFleet(Pauses& pauses, PauseReason reason, const Tally& tally)
{
    pauses.scopes.isFleetPaused = true;
    pauses.list.push_back({ .reason = reason, .vms = tally.vms, .resumesAt = tally.until });
}

bool isUnplannedLoss(const Fleet& fleet, std::size_t vm)
{
    const MaintenanceVm& entry = fleet.view.vms[vm];
    switch (fleet.standings[vm]) {
    case Standing::Lost:
        return entry.record->reason == VmReason::Failure
            && entry.record->phaseSince + fleet.options.correlationWindow > fleet.now;
    case Standing::Unobserved:
        return true;
    case Standing::Unwell:
        return entry.observed.isSuspect || (fleet.isPlatformFresh && entry.observed.platform == PlatformState::Off);
    default:
        return false;
    }
}

void findCorrelatedFailures(const Fleet& fleet, Pauses& pauses)
{
    Tally all;
    std::map<std::pair<base::DataCentreId, base::RackId>, Tally> racks;
    for (std::size_t vm = 0; vm < fleet.view.vms.size(); ++vm) {
        if (!isUnplannedLoss(fleet, vm)) {
            continue;
        }
        const state::VmRecord& record = *fleet.view.vms[vm].record;
        const auto until = record.phase == VmPhase::Lost
            ? std::optional<base::WallTime>(record.phaseSince + fleet.options.correlationWindow)
            : std::nullopt;
        all.add(until);
        racks[{ record.dataCentre, record.rack }].add(until);
    }
    const auto& options = fleet.options;
    if (all.vms >= threshold(options.correlatedInFleet, options.correlatedFleetShare, fleet.view.vms.size())) {
        pauseFleet(pauses, PauseReason::CorrelatedFailures, all);
    }
    for (const auto& [place, tally] : racks) {
        if (tally.vms >= options.correlatedPerRack && pauses.scopes.dataCentres.insert(place.first).second) {
            pauses.list.push_back({ .reason = PauseReason::CorrelatedFailures,
                .dataCentre = place.first,
                .vms = tally.vms,
                .resumesAt = tally.until });
        }
    }
}

void findVmsNotReturning(const Fleet& fleet, Pauses& pauses)
{
    const auto& options = fleet.options;
    Tally all;
    std::map<base::PoolId, Tally> pools;
    for (const MaintenanceVm& vm : fleet.view.vms) {
        const state::VmRecord& record = *vm.record;
        if (record.reason != VmReason::Maintenance) {
            continue;
        }
        std::optional<base::WallTime> until;
        if (record.phase == VmPhase::Lost && record.phaseSince + options.notReturnedPause > fleet.now) {
            until = record.phaseSince + options.notReturnedPause;
        } else if ((record.phase != VmPhase::Rebooting && record.phase != VmPhase::Returning)
            || record.phaseSince + options.returnBound > fleet.now) {
            continue;
        }
        all.add(until);
        pools[record.pool].add(until);
    }
    for (const auto& [pool, tally] : pools) {
        pauses.scopes.pools.insert(pool);
        pauses.list.push_back(
            { .reason = PauseReason::VmsNotReturning, .pool = pool, .vms = tally.vms, .resumesAt = tally.until });
    }
    if (all.vms >= threshold(options.notReturningInFleet, options.notReturningFleetShare, fleet.view.vms.size())) {
        pauseFleet(pauses, PauseReason::VmsNotReturning, all);
    }
}

void findLossOfObservation(const Fleet& fleet, Pauses& pauses)
{
    Tally unobserved;
    std::uint32_t serving = 0;
    for (std::size_t vm = 0; vm < fleet.view.vms.size(); ++vm) {
        serving += fleet.view.vms[vm].record->phase == VmPhase::Serving ? 1 : 0;
        if (fleet.standings[vm] == Standing::Unobserved) {
            unobserved.add(std::nullopt);
        }
    }
    pauses.scopes.isMostlySilent = 2 * unobserved.vms > serving;
    if (pauses.scopes.isMostlySilent
        || (unobserved.vms >= minUnobserved && unobserved.vms > fleet.options.unobservedShare * serving)) {
        pauses.scopes.isBlind = true;
        pauseFleet(pauses, PauseReason::ObservationLost, unobserved);
    }
    if (!fleet.isPlatformFresh) {
        pauses.scopes.isBlind = true;
        pauseFleet(pauses, PauseReason::PlatformSilent, {});
    }
}

void findExhaustedBudgets(const Fleet& fleet, Pauses& pauses)
{
    for (const PoolLedger& pool : fleet.pools) {
        if (pool.due > 0 && !pool.canEverStop()) {
            pauses.list.push_back(
                { .reason = PauseReason::BudgetAllowsNoStop, .pool = pool.pool, .vms = pool.members });
        } else if (pool.due > 0 && pool.isBelowBudget() && !pauses.scopes.isMostlySilent) {
            pauses.list.push_back(
                { .reason = PauseReason::BelowBudget, .pool = pool.pool, .vms = pool.required - pool.inService });
        }
    }
}

} // namespace

Pauses findPauses(const Fleet& fleet)
{
    Pauses pauses;
    findLossOfObservation(fleet, pauses);
    if (!pauses.scopes.isMostlySilent) {
        findCorrelatedFailures(fleet, pauses);
    }
    findVmsNotReturning(fleet, pauses);
    findExhaustedBudgets(fleet, pauses);
    return pauses;
}

} // namespace crocuscove::maintenance
