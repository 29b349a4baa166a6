#include "nearest_miss.h"

namespace crocuscove::placement {

namespace {

double missingShare(const NearestMiss& miss) { return shareOf(miss.shortfall(), miss.needed); }

} // namespace

std::optional<NearestMiss> missOf(const state::Resources& need, const state::Resources& limit)
{
    std::optional<NearestMiss> worst;
    for (const ResourceKind kind : resourceKinds) {
        const NearestMiss miss { kind, {}, amount(need, kind), amount(limit, kind) };
        if (miss.needed > miss.available && (!worst || missingShare(miss) > missingShare(*worst))) {
            worst = miss;
        }
    }
    return worst;
}

std::vector<state::Resources> distinctCapacities(const std::vector<WorkerView>& workers)
{
    std::vector<state::Resources> capacities;
    for (const WorkerView& worker : workers) {
        const auto covers = [&](const state::Resources& other) { return fits(worker.capacity, other); };
        if (std::ranges::none_of(capacities, covers)) {
            std::erase_if(capacities, [&](const state::Resources& other) { return fits(other, worker.capacity); });
            capacities.push_back(worker.capacity);
        }
    }
    return capacities;
}

std::optional<NearestMiss> nearestMiss(const state::Resources& need, const std::vector<WorkerView>& workers)
{
    std::optional<NearestMiss> nearest;
    for (const WorkerView& worker : workers) {
        auto miss = missOf(need, worker.capacity);
        if (!miss) {
            return std::nullopt;
        }
        if (!nearest || missingShare(*miss) < missingShare(*nearest)) {
            nearest = miss;
            nearest->worker = worker.worker;
        }
    }
    return nearest;
}

} // namespace crocuscove::placement
