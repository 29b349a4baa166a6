#include "resource_shortage.h"

namespace crocuscove::placement {

namespace {

double missingShare(const ResourceShortage& shortage) { return shareOf(shortage.shortfall(), shortage.needed); }

} // namespace

std::optional<ResourceShortage> largestShortage(const state::Resources& need, const state::Resources& limit)
{
    std::optional<ResourceShortage> worst;
    for (const ResourceKind kind : resourceKinds) {
        const ResourceShortage shortage { kind, {}, amount(need, kind), amount(limit, kind) };
        if (shortage.needed > shortage.available && (!worst || missingShare(shortage) > missingShare(*worst))) {
            worst = shortage;
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

std::optional<ResourceShortage> smallestShortage(const state::Resources& need, const std::vector<WorkerView>& workers)
{
    std::optional<ResourceShortage> nearest;
    for (const WorkerView& worker : workers) {
        auto shortage = largestShortage(need, worker.capacity);
        if (!shortage) {
            return std::nullopt;
        }
        if (!nearest || missingShare(*shortage) < missingShare(*nearest)) {
            nearest = shortage;
            nearest->worker = worker.worker;
        }
    }
    return nearest;
}

} // namespace crocuscove::placement
