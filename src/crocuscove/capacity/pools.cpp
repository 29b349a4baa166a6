#include "pools.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace crocuscove::capacity {

namespace {

using state::VmPhase;

// Keeps 90% of 10 at 9 although 0.9 has no exact binary form. The maintenance module rounds in the same way.
constexpr double roundingTolerance = 1e-9;

std::uint32_t requiredAvailable(std::uint32_t wanted, double minAvailablePercent)
{
    return static_cast<std::uint32_t>(
        std::ceil(wanted * std::clamp(minAvailablePercent, 0.0, 100.0) / 100.0 - roundingTolerance));
}

std::uint32_t executorsFor(double slots, std::uint32_t slotsPerExecutor, double utilisation)
{
    return static_cast<std::uint32_t>(std::ceil(slots / (slotsPerExecutor * utilisation) - roundingTolerance));
}

/// Assigns indices to pools, data centres and racks in the order in which they are first seen.
class Numbering {
public:
    explicit Numbering(Fleet& fleet)
        : m_fleet(fleet)
    {
    }

    std::size_t poolOf(const base::PoolId& pool)
    {
        const auto [entry, isNew] = m_pools.try_emplace(pool, m_fleet.pools.size());
        if (isNew) {
            m_fleet.pools.push_back({ .id = pool });
        }
        return entry->second;
    }

    Location locationOf(const state::VmRecord& record)
    {
        const auto dataCentre = m_dataCentres.try_emplace(record.dataCentre, m_fleet.dataCentres);
        m_fleet.dataCentres += dataCentre.second ? 1 : 0;
        if (dataCentre.second) {
            m_racks.emplace_back();
        }
        const std::size_t number = dataCentre.first->second;
        const auto rack = m_racks[number].try_emplace(record.rack, m_fleet.racks);
        m_fleet.racks += rack.second ? 1 : 0;
        return { .dataCentre = number, .rack = rack.first->second };
    }

private:
    Fleet& m_fleet;
    std::unordered_map<base::PoolId, std::size_t> m_pools;
    std::unordered_map<base::DataCentreId, std::size_t> m_dataCentres;
    std::vector<std::unordered_map<base::RackId, std::size_t>> m_racks;
};

void addService(Fleet& fleet, Pool& pool, std::size_t service)
{
    const ServiceView& entry = fleet.view.services[service];
    const document::PoolSection& section = entry.document->pool;
    pool.services.push_back(service);
    pool.isPerDataCentre |= section.failureDomain == document::FailureDomain::DataCentre;
    pool.minimum += section.executors.minimum;
    pool.maximum += section.executors.maximum;
    pool.spare += section.executors.spare;
    pool.isMaintenanceDue |= entry.isMaintenanceDue;
    fleet.demands.push_back(estimateDemand(entry.samples, fleet.tuning, fleet.options, fleet.now));
}

const std::optional<base::PoolId>& destinationOf(const CapacityVm& vm)
{
    return vm.pendingMoveTo ? vm.pendingMoveTo : vm.record->moveTarget;
}

bool needsReplacement(const CapacityVm& vm, const Fleet& fleet)
{
    return vm.record->phase == VmPhase::Lost
        || (vm.record->phase == VmPhase::Serving && vm.unavailableSince
            && *vm.unavailableSince + fleet.options.replaceAfter <= fleet.now);
}

bool isMoving(const CapacityVm& vm)
{
    const state::VmRecord& record = *vm.record;
    return vm.pendingMoveTo
        || (record.reason == state::VmReason::Move && record.phase != VmPhase::Serving
            && record.phase != VmPhase::Lost);
}

void addVm(Fleet& fleet, std::size_t vm, std::size_t currentPool, std::size_t destination)
{
    const CapacityVm& entry = fleet.view.vms[vm];
    const bool isServing = entry.record->phase == VmPhase::Serving;
    if (needsReplacement(entry, fleet)) {
        fleet.memberOf.emplace_back();
        ++fleet.pools[currentPool].lost;
    } else {
        fleet.memberOf.emplace_back(destination);
        ++fleet.pools[destination].members;
    }
    fleet.runningMoves += isMoving(entry) ? 1 : 0;
    fleet.unavailable += isServing && entry.unavailableSince ? 1 : 0;
    if (isServing && !entry.unavailableSince && !entry.hasPendingCommand && !entry.pendingMoveTo) {
        ++fleet.pools[currentPool].available;
        if (entry.isRunning) {
            fleet.pools[currentPool].movable.push_back(vm);
        }
    }
}

Need needOf(const Fleet& fleet, const Pool& pool, std::size_t service)
{
    const document::ServiceDocument& document = *fleet.view.services[service].document;
    const document::ExecutorRange& range = document.pool.executors;
    const Demand& demand = fleet.demands[service];
    const auto at = [&](double slots, double utilisation) {
        return executorsFor(slots, document.pool.slotsPerExecutor, utilisation);
    };
    // A pool may not shrink on incomplete samples. Services that share a pool count equal parts of it.
    const auto present
        = static_cast<std::uint32_t>((pool.members + pool.lost + pool.services.size() - 1) / pool.services.size());
    Need need { .wanted = at(demand.holdPeak, fleet.tuning.highestUtilisation),
        .target = at(demand.holdPeak, fleet.tuning.targetUtilisation) };
    if (!demand.isFresh || !demand.coversHold) {
        need.reason = demand.isFresh ? WantedReason::ShortHistory : WantedReason::NoObservation;
        need.wanted = std::max(demand.isFresh ? need.wanted : 0, present);
    }
    if (need.wanted < range.minimum) {
        need.reason = WantedReason::Minimum;
    } else if (need.wanted > range.maximum) {
        need.reason = WantedReason::Maximum;
    }
    need.wanted = std::clamp(need.wanted, range.minimum, range.maximum);
    need.target = std::clamp(need.target, need.wanted, range.maximum);
    need.floor = demand.isFresh && demand.coversHold ? need.target : range.maximum;
    need.reclaimFloor = demand.isFresh && demand.coversReclaim
        ? std::clamp(at(demand.reclaimPeak, fleet.tuning.targetUtilisation), need.floor, range.maximum)
        : range.maximum;
    need.required = requiredAvailable(need.wanted, document.minAvailablePercent);
    return need;
}

void sumNeeds(Fleet& fleet, Pool& pool)
{
    for (const std::size_t service : pool.services) {
        const Need& need = fleet.needs[service];
        pool.need.wanted += need.wanted;
        pool.need.target += need.target;
        pool.need.floor += need.floor;
        pool.need.reclaimFloor += need.reclaimFloor;
        pool.need.required += need.required;
    }
    if (pool.isMaintenanceDue) {
        const std::uint32_t headroom = std::min(pool.need.required + 1, pool.maximum);
        pool.need.target = std::max(pool.need.target, headroom);
        pool.need.floor = std::max(pool.need.floor, headroom);
        pool.need.reclaimFloor = std::max(pool.need.reclaimFloor, headroom);
    }
}

} // namespace

Fleet describeFleet(const CapacityView& view, const CapacityOptions& options, base::WallTime now)
{
    Fleet fleet { .view = view, .options = options, .now = now };
    fleet.tuning = tune(options, view.fleet->weights, view.vms.size());
    Numbering numbering(fleet);
    fleet.spare = numbering.poolOf(view.fleet->sparePool);
    fleet.pools[fleet.spare].isSpare = true;
    for (std::size_t service = 0; service < view.services.size(); ++service) {
        const std::size_t pool = numbering.poolOf(view.services[service].document->pool.name);
        addService(fleet, fleet.pools[pool], service);
    }
    fleet.locations.reserve(view.vms.size());
    fleet.memberOf.reserve(view.vms.size());
    for (std::size_t vm = 0; vm < view.vms.size(); ++vm) {
        const CapacityVm& entry = view.vms[vm];
        fleet.locations.push_back(numbering.locationOf(*entry.record));
        const std::size_t currentPool = numbering.poolOf(entry.record->pool);
        const auto& destination = destinationOf(entry);
        addVm(fleet, vm, currentPool, destination ? numbering.poolOf(*destination) : currentPool);
    }
    fleet.needs.resize(view.services.size());
    for (Pool& pool : fleet.pools) {
        for (const std::size_t service : pool.services) {
            fleet.needs[service] = needOf(fleet, pool, service);
        }
        sumNeeds(fleet, pool);
    }
    return fleet;
}

} // namespace crocuscove::capacity
