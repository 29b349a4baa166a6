#include "fleet.h"
#include "crocuscove/maintenance/budget.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::maintenance {

namespace {

using state::VmPhase;
using state::VmReason;

// Half as long again as the time the budget allows, so that pauses don't make a wave late.
constexpr double leadMargin = 1.5;

Sighting sightingOf(const MaintenanceVm& vm, const PoolLedger& pool, const Fleet& fleet)
{
    const VmObservation& observed = vm.observed;
    // Nothing announces itself on an idle VM of a pool without a service. The platform's listing stands in.
    if (!pool.hasService && !observed.observedAt && observed.platform != PlatformState::Unknown) {
        return { fleet.view.platformSeenAt, observed.platform == PlatformState::Running, fleet.isPlatformFresh };
    }
    const bool isOff = fleet.isPlatformFresh && observed.platform == PlatformState::Off;
    return { observed.observedAt, observed.isAnnounced && observed.isHealthy && !observed.isSuspect && !isOff,
        observed.observedAt && *observed.observedAt + fleet.options.observationFreshness >= fleet.now };
}

Standing standingOf(const MaintenanceVm& vm, const Sighting& sighting, const Fleet& fleet)
{
    const state::VmRecord& record = *vm.record;
    if (record.phase == VmPhase::Lost) {
        return Standing::Lost;
    }
    if (record.phase != VmPhase::Serving || vm.hasPendingCommand) {
        return Standing::Stopped;
    }
    if (!sighting.isFresh) {
        return Standing::Unobserved;
    }
    if (!sighting.canServe) {
        return Standing::Unwell;
    }
    const bool isWatched
        = record.reason == VmReason::Returned && record.phaseSince + fleet.options.repairWatch > fleet.now;
    return isWatched ? Standing::Repaired : Standing::InService;
}

class PoolIndex {
public:
    explicit PoolIndex(std::vector<PoolLedger>& pools)
        : m_pools(pools)
    {
    }

    std::size_t operator()(const base::PoolId& pool)
    {
        const auto [entry, isNew] = m_indices.try_emplace(pool, m_pools.size());
        if (isNew) {
            m_pools.push_back({ .pool = pool });
        }
        return entry->second;
    }

private:
    std::vector<PoolLedger>& m_pools;
    std::unordered_map<base::PoolId, std::size_t> m_indices;
};

void countVm(Fleet& fleet, std::size_t vm)
{
    PoolLedger& pool = fleet.pools[fleet.poolOf[vm]];
    const Standing standing = fleet.standings[vm];
    pool.members += standing == Standing::Lost ? 0 : 1;
    pool.inService += standing == Standing::InService || standing == Standing::Repaired ? 1 : 0;
    pool.repaired += standing == Standing::Repaired ? 1 : 0;
}

void setLimits(Fleet& fleet, PoolLedger& pool)
{
    if (!pool.hasService && pool.members > 0) {
        pool.wanted = pool.members;
        pool.required
            = std::min(requiredAvailable(pool.members, fleet.options.unbudgetedAvailablePercent), pool.members - 1);
    }
    const double rounds = static_cast<double>(pool.members) / pool.concurrentStops();
    const auto wave
        = std::chrono::duration_cast<base::Milliseconds>(fleet.options.expectedStop * std::ceil(rounds) * leadMargin);
    const auto share = std::chrono::duration_cast<base::Milliseconds>(fleet.view.period * fleet.options.leadShare);
    pool.lead = std::min(std::max(wave, share), base::Milliseconds(fleet.view.period));
}

} // namespace

bool isInMaintenance(const state::VmRecord& record)
{
    return record.reason == VmReason::Maintenance && record.phase != VmPhase::Serving && record.phase != VmPhase::Lost;
}

Fleet describeFleet(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now)
{
    Fleet fleet { .view = view, .options = options, .now = now };
    fleet.isPlatformFresh = view.platformSeenAt && *view.platformSeenAt + options.platformFreshness >= now;
    PoolIndex poolIndex(fleet.pools);
    for (const ServiceBudget& service : view.services) {
        PoolLedger& pool = fleet.pools[poolIndex(service.pool)];
        pool.hasService = true;
        pool.isPerDataCentre |= service.failureDomain == document::FailureDomain::DataCentre;
        pool.wanted += service.wanted;
        pool.required += requiredAvailable(service.wanted, service.minAvailablePercent);
    }
    fleet.poolOf.reserve(view.vms.size());
    fleet.sightings.reserve(view.vms.size());
    fleet.standings.reserve(view.vms.size());
    for (const MaintenanceVm& vm : view.vms) {
        // A VM that returns from a move announces itself with the service of its new pool.
        const bool isArriving = vm.record->phase == VmPhase::Returning && vm.record->moveTarget.has_value();
        const std::size_t host = poolIndex(isArriving ? *vm.record->moveTarget : vm.record->pool);
        fleet.poolOf.push_back(poolIndex(vm.record->pool));
        fleet.sightings.push_back(sightingOf(vm, fleet.pools[host], fleet));
        fleet.standings.push_back(standingOf(vm, fleet.sightings.back(), fleet));
        countVm(fleet, fleet.poolOf.size() - 1);
    }
    std::ranges::for_each(fleet.pools, [&](PoolLedger& pool) { setLimits(fleet, pool); });
    for (std::size_t vm = 0; vm < view.vms.size(); ++vm) {
        fleet.pools[fleet.poolOf[vm]].due += fleet.standings[vm] != Standing::Lost && fleet.isDue(vm) ? 1 : 0;
    }
    return fleet;
}

} // namespace crocuscove::maintenance
