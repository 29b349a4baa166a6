#include "pauses.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::maintenance {

namespace {

using state::VmPhase;
using state::VmReason;

// Fewer unobserved VMs are treated as failures of single VMs, even in a small fleet.
constexpr std::uint32_t minUnobserved = 3;

std::uint32_t threshold(std::uint32_t minimum, double share, std::size_t vms)
{
    return std::max(minimum, static_cast<std::uint32_t>(std::ceil(share * static_cast<double>(vms))));
}

/// Number of VMs that contribute to a pause, and the time at which the last of them no longer does.
struct VmCount {
    std::uint32_t vms = 0;
    std::optional<base::WallTime> expiresAt;

    void add(std::optional<base::WallTime> moment)
    {
        ++vms;
        if (moment && (!expiresAt || *expiresAt < *moment)) {
            expiresAt = moment;
        }
    }
};

void pauseFleet(Pauses& pauses, PauseReason reason, const VmCount& count)
{
    pauses.scopes.isFleetPaused = true;
    pauses.list.push_back({ .reason = reason, .vms = count.vms, .resumesAt = count.expiresAt });
}

bool isUnplannedLoss(const Fleet& fleet, std::size_t vm)
{
    const MaintenanceVm& entry = fleet.view.vms[vm];
    switch (fleet.statuses[vm]) {
    case VmStatus::Lost:
        return entry.record->reason == VmReason::Failure
            && entry.record->phaseSince + fleet.options.correlationWindow > fleet.now;
    case VmStatus::Unobserved:
        return true;
    case VmStatus::Unhealthy:
        return entry.observed.isSuspect || (fleet.isPlatformFresh && entry.observed.platform == PlatformState::Off);
    default:
        return false;
    }
}

void findCorrelatedFailures(const Fleet& fleet, Pauses& pauses)
{
    VmCount all;
    std::map<std::pair<base::DataCentreId, base::RackId>, VmCount> racks;
    for (std::size_t vm = 0; vm < fleet.view.vms.size(); ++vm) {
        if (!isUnplannedLoss(fleet, vm)) {
            continue;
        }
        const state::VmRecord& record = *fleet.view.vms[vm].record;
        const auto expiresAt = record.phase == VmPhase::Lost
            ? std::optional<base::WallTime>(record.phaseSince + fleet.options.correlationWindow)
            : std::nullopt;
        all.add(expiresAt);
        racks[{ record.dataCentre, record.rack }].add(expiresAt);
    }
    const auto& options = fleet.options;
    if (all.vms >= threshold(
            options.minCorrelatedLossesInFleet, options.minCorrelatedLossesFleetShare, fleet.view.vms.size())) {
        pauseFleet(pauses, PauseReason::CorrelatedFailures, all);
    }
    for (const auto& [domain, count] : racks) {
        if (count.vms >= options.minCorrelatedLossesPerRack && pauses.scopes.dataCentres.insert(domain.first).second) {
            pauses.list.push_back({ .reason = PauseReason::CorrelatedFailures,
                .dataCentre = domain.first,
                .vms = count.vms,
                .resumesAt = count.expiresAt });
        }
    }
}

void findVmsNotReturning(const Fleet& fleet, Pauses& pauses)
{
    const auto& options = fleet.options;
    VmCount all;
    std::map<base::PoolId, VmCount> pools;
    for (const MaintenanceVm& vm : fleet.view.vms) {
        const state::VmRecord& record = *vm.record;
        if (record.reason != VmReason::Maintenance) {
            continue;
        }
        std::optional<base::WallTime> expiresAt;
        if (record.phase == VmPhase::Lost && record.phaseSince + options.notReturnedPause > fleet.now) {
            expiresAt = record.phaseSince + options.notReturnedPause;
        } else if ((record.phase != VmPhase::Rebooting && record.phase != VmPhase::Returning)
            || record.phaseSince + options.returnTimeout > fleet.now) {
            continue;
        }
        all.add(expiresAt);
        pools[record.pool].add(expiresAt);
    }
    for (const auto& [pool, count] : pools) {
        pauses.scopes.pools.insert(pool);
        pauses.list.push_back(
            { .reason = PauseReason::VmsNotReturning, .pool = pool, .vms = count.vms, .resumesAt = count.expiresAt });
    }
    if (all.vms
        >= threshold(options.minNotReturningInFleet, options.minNotReturningFleetShare, fleet.view.vms.size())) {
        pauseFleet(pauses, PauseReason::VmsNotReturning, all);
    }
}

void findLossOfObservation(const Fleet& fleet, Pauses& pauses)
{
    VmCount unobserved;
    std::uint32_t serving = 0;
    for (std::size_t vm = 0; vm < fleet.view.vms.size(); ++vm) {
        serving += fleet.view.vms[vm].record->phase == VmPhase::Serving ? 1 : 0;
        if (fleet.statuses[vm] == VmStatus::Unobserved) {
            unobserved.add(std::nullopt);
        }
    }
    pauses.scopes.isMostlyUnobserved = 2 * unobserved.vms > serving;
    if (pauses.scopes.isMostlyUnobserved
        || (unobserved.vms >= minUnobserved && unobserved.vms > fleet.options.maxUnobservedShare * serving)) {
        pauses.scopes.lacksObservations = true;
        pauseFleet(pauses, PauseReason::ObservationLost, unobserved);
    }
    if (!fleet.isPlatformFresh) {
        pauses.scopes.lacksObservations = true;
        pauseFleet(pauses, PauseReason::PlatformSilent, {});
    }
}

void findExhaustedBudgets(const Fleet& fleet, Pauses& pauses)
{
    for (const PoolBudget& pool : fleet.pools) {
        if (pool.due > 0 && !pool.hasMaintenanceHeadroom()) {
            pauses.list.push_back(
                { .reason = PauseReason::BudgetAllowsNoStop, .pool = pool.pool, .vms = pool.members });
        } else if (pool.due > 0 && pool.isBelowBudget() && !pauses.scopes.isMostlyUnobserved) {
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
    if (!pauses.scopes.isMostlyUnobserved) {
        findCorrelatedFailures(fleet, pauses);
    }
    findVmsNotReturning(fleet, pauses);
    findExhaustedBudgets(fleet, pauses);
    return pauses;
}

} // namespace crocuscove::maintenance
