#include "worker_index.h"

namespace crocuscove::placement {

WorkerIndex::WorkerIndex(const PlacementView& view)
    : m_view(view)
    , m_isSchedulable(view.workers.size())
    , m_isBusy(view.workers.size())
{
    m_free.reserve(view.workers.size());
    for (std::size_t worker = 0; worker < view.workers.size(); ++worker) {
        const WorkerView& entry = view.workers[worker];
        m_free.push_back(entry.capacity);
        m_isSchedulable[worker] = entry.acceptsJobs && entry.isObserved && entry.health == WorkerHealth::Healthy;
        if (entry.acceptsJobs) {
            add(m_total, entry.capacity);
        }
    }
}

std::optional<std::size_t> WorkerIndex::find(const base::WorkerId& worker, std::size_t hint) const
{
    if (hint < m_view.workers.size() && m_view.workers[hint].worker == worker) {
        return hint;
    }
    if (m_positions.empty()) {
        m_positions.reserve(m_view.workers.size());
        for (std::size_t position = 0; position < m_view.workers.size(); ++position) {
            m_positions.emplace(m_view.workers[position].worker.text(), position);
        }
    }
    const auto entry = m_positions.find(worker.text());
    return entry == m_positions.end() ? std::nullopt : std::optional(entry->second);
}

void WorkerIndex::occupy(std::size_t worker, const state::Resources& used)
{
    m_isBusy[worker] = true;
    subtract(m_free[worker], used);
}

void WorkerIndex::buildOrder()
{
    for (std::size_t worker = 0; worker < m_free.size(); ++worker) {
        if (m_isSchedulable[worker]) {
            insert(worker);
        }
    }
}

std::optional<std::size_t> WorkerIndex::bestFit(const state::Resources& need) const
{
    const bool isMemoryDominant = shareOf(need.memoryMb, m_total.memoryMb) > shareOf(need.cores, m_total.cores);
    std::optional<std::pair<std::uint64_t, std::size_t>> best;
    std::uint32_t accelerators = need.accelerators;
    for (auto group = m_groups.lower_bound({ accelerators, need.cores }); group != m_groups.end();) {
        if (group->first.first != accelerators) {
            if (best) {
                break;
            }
            accelerators = group->first.first;
        }
        if (group->first.second < need.cores) {
            group = m_groups.lower_bound({ accelerators, need.cores });
            continue;
        }
        const auto entry = group->second.lower_bound({ need.memoryMb, 0 });
        if (entry != group->second.end() && (!best || *entry < *best)) {
            best = *entry;
            if (!isMemoryDominant) {
                break;
            }
        }
        ++group;
    }
    return best ? std::optional(best->second) : std::nullopt;
}

std::optional<std::size_t> WorkerIndex::closestToFit(const state::Resources& need) const
{
    std::optional<std::size_t> closest;
    double least = 0.0;
    for (std::size_t worker = 0; worker < m_free.size(); ++worker) {
        if (!m_isSchedulable[worker] || !fits(need, m_view.workers[worker].capacity)) {
            continue;
        }
        state::Resources missing = need;
        subtract(missing, m_free[worker]);
        const double share = dominantShare(missing, need);
        if (!closest || share < least) {
            closest = worker;
            least = share;
        }
    }
    return closest;
}

void WorkerIndex::allocate(std::size_t worker, const state::Resources& need)
{
    m_isBusy[worker] = true;
    if (!m_isSchedulable[worker]) {
        subtract(m_free[worker], need);
        return;
    }
    erase(worker);
    subtract(m_free[worker], need);
    insert(worker);
}

void WorkerIndex::markUnschedulable(std::size_t worker)
{
    if (m_isSchedulable[worker]) {
        erase(worker);
        m_isSchedulable[worker] = false;
    }
}

void WorkerIndex::insert(std::size_t worker)
{
    const state::Resources& free = m_free[worker];
    m_groups[{ free.accelerators, free.cores }].emplace(free.memoryMb, worker);
}

void WorkerIndex::erase(std::size_t worker)
{
    const state::Resources& free = m_free[worker];
    const auto group = m_groups.find({ free.accelerators, free.cores });
    group->second.erase({ free.memoryMb, worker });
    if (group->second.empty()) {
        m_groups.erase(group);
    }
}

} // namespace crocuscove::placement
