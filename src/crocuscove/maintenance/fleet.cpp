#include "fleet.h"
#include "crocuscove/maintenance/budget.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::maintenance {

namespace {

using state::VmPhase;
using state::VmReason;

// Adds 50% to the shortest time that the budget allows for a whole pool, so that pauses do not make VMs overdue.
constexpr double leadTimeMargin = 1.5;

LastObservation lastObservationOf(const MaintenanceVm& vm, const PoolBudget& pool, const Fleet& fleet)
{
    const VmObservation& observed = vm.observed;
    // An idle VM of a pool without a service sends no announcements, so the listing of the platform is used instead.
    if (!pool.hasService && !observed.observedAt && observed.platform != PlatformState::Unknown) {
        return { fleet.view.platformSeenAt, observed.platform == PlatformState::Running, fleet.isPlatformFresh };
    }
    const bool isOff = fleet.isPlatformFresh && observed.platform == PlatformState::Off;
    return { observed.observedAt, observed.isAnnounced && observed.isHealthy && !observed.isSuspect && !isOff,
        observed.observedAt && *observed.observedAt + fleet.options.observationFreshness >= fleet.now };
}

VmStatus statusOf(const MaintenanceVm& vm, const LastObservation& lastObservation, const Fleet& fleet)
{
    const state::VmRecord& record = *vm.record;
    if (record.phase == VmPhase::Lost) {
        return VmStatus::Lost;
    }
    if (record.phase != VmPhase::Serving || vm.hasPendingCommand) {
        return VmStatus::Stopped;
    }
    if (!lastObservation.isFresh) {
        return VmStatus::Unobserved;
    }
    if (!lastObservation.canServe) {
        return VmStatus::Unhealthy;
    }
    const bool isOnProbation
        = record.reason == VmReason::Returned && record.phaseSince + fleet.options.repairProbation > fleet.now;
    return isOnProbation ? VmStatus::OnProbation : VmStatus::InService;
}

class PoolIndex {
public:
    explicit PoolIndex(std::vector<PoolBudget>& pools)
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
    std::vector<PoolBudget>& m_pools;
    std::unordered_map<base::PoolId, std::size_t> m_indices;
};

void countVm(Fleet& fleet, std::size_t vm)
{
    PoolBudget& pool = fleet.pools[fleet.poolOf[vm]];
    const VmStatus status = fleet.statuses[vm];
    pool.members += status == VmStatus::Lost ? 0 : 1;
    pool.inService += status == VmStatus::InService || status == VmStatus::OnProbation ? 1 : 0;
    pool.onProbation += status == VmStatus::OnProbation ? 1 : 0;
}

void setLimits(Fleet& fleet, PoolBudget& pool)
{
    if (!pool.hasService && pool.members > 0) {
        pool.wanted = pool.members;
        pool.required
            = std::min(requiredAvailable(pool.members, fleet.options.defaultMinAvailablePercent), pool.members - 1);
    }
    const double rounds = static_cast<double>(pool.members) / pool.concurrentStops();
    const auto requiredLeadTime = std::chrono::duration_cast<base::Milliseconds>(
        fleet.options.expectedStopDuration * std::ceil(rounds) * leadTimeMargin);
    const auto minLeadTime
        = std::chrono::duration_cast<base::Milliseconds>(fleet.view.period * fleet.options.leadTimeShare);
    pool.leadTime = std::min(std::max(requiredLeadTime, minLeadTime), base::Milliseconds(fleet.view.period));
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
        PoolBudget& pool = fleet.pools[poolIndex(service.pool)];
        pool.hasService = true;
        pool.isPerDataCentre |= service.failureDomain == document::FailureDomain::DataCentre;
        pool.wanted += service.wanted;
        pool.required += requiredAvailable(service.wanted, service.minAvailablePercent);
    }
    fleet.poolOf.reserve(view.vms.size());
    fleet.lastObservations.reserve(view.vms.size());
    fleet.statuses.reserve(view.vms.size());
    for (const MaintenanceVm& vm : view.vms) {
        // A VM that returns from a move already announces itself for the service of its new pool.
        const bool isArriving = vm.record->phase == VmPhase::Returning && vm.record->moveTarget.has_value();
        const std::size_t announcedPool = poolIndex(isArriving ? *vm.record->moveTarget : vm.record->pool);
        fleet.poolOf.push_back(poolIndex(vm.record->pool));
        fleet.lastObservations.push_back(lastObservationOf(vm, fleet.pools[announcedPool], fleet));
        fleet.statuses.push_back(statusOf(vm, fleet.lastObservations.back(), fleet));
        countVm(fleet, fleet.poolOf.size() - 1);
    }
    std::ranges::for_each(fleet.pools, [&](PoolBudget& pool) { setLimits(fleet, pool); });
    for (std::size_t vm = 0; vm < view.vms.size(); ++vm) {
        fleet.pools[fleet.poolOf[vm]].due += fleet.statuses[vm] != VmStatus::Lost && fleet.isDue(vm) ? 1 : 0;
    }
    return fleet;
}

} // namespace crocuscove::maintenance
