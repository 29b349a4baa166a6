#include "worker_index.h"

namespace crocuscove::placement {

namespace {

/// Workers looked at in one group before the exact search takes over. Bounds the time for workers that have enough
/// of the dominant resource and too little of another.
constexpr std::size_t maxScanned = 64;

state::Resources largest(const state::Resources& left, const state::Resources& right)
{
    return { std::max(left.cores, right.cores), std::max(left.memoryMb, right.memoryMb),
        std::max(left.accelerators, right.accelerators) };
}

} // namespace

WorkerIndex::WorkerIndex(const PlacementView& view)
    : m_view(view)
    , m_isOpen(view.workers.size())
    , m_isBusy(view.workers.size())
{
    m_positions.reserve(view.workers.size());
    m_free.reserve(view.workers.size());
    for (std::size_t worker = 0; worker < view.workers.size(); ++worker) {
        const WorkerView& entry = view.workers[worker];
        m_positions.emplace(entry.worker, worker);
        m_free.push_back(entry.capacity);
        m_isOpen[worker] = entry.takesWork && entry.isObserved && entry.health == WorkerHealth::Healthy;
        if (entry.takesWork) {
            add(m_total, entry.capacity);
        }
    }
}

std::optional<std::size_t> WorkerIndex::find(const base::WorkerId& worker) const
{
    const auto entry = m_positions.find(worker);
    return entry == m_positions.end() ? std::nullopt : std::optional(entry->second);
}

void WorkerIndex::occupy(std::size_t worker, const state::Resources& used)
{
    m_isBusy[worker] = true;
    subtract(m_free[worker], used);
}

void WorkerIndex::buildOrder()
{
    while (m_leaves < m_free.size()) {
        m_leaves *= 2;
    }
    m_tree.assign(2 * m_leaves, {});
    for (std::size_t worker = 0; worker < m_free.size(); ++worker) {
        if (m_isOpen[worker]) {
            insert(worker);
            m_tree[m_leaves + worker] = m_free[worker];
        }
    }
    for (std::size_t node = m_leaves - 1; node > 0; --node) {
        m_tree[node] = largest(m_tree[2 * node], m_tree[2 * node + 1]);
    }
}

std::optional<std::size_t> WorkerIndex::scan(
    const Order& order, std::uint64_t from, const state::Resources& need, std::size_t limit) const
{
    std::size_t scanned = 0;
    for (auto entry = order.lower_bound({ from, 0 }); entry != order.end() && scanned < limit; ++entry, ++scanned) {
        if (fits(need, m_free[entry->second])) {
            return entry->second;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> WorkerIndex::bestFit(const state::Resources& need) const
{
    const auto exact = anyFit(1, need);
    if (!exact) {
        return std::nullopt;
    }
    const bool isMemoryDominant = shareOf(need.memoryMb, m_total.memoryMb) > shareOf(need.cores, m_total.cores);
    for (auto group = m_groups.lower_bound(need.accelerators); group != m_groups.end(); ++group) {
        const auto found = isMemoryDominant ? scan(group->second.byMemory, need.memoryMb, need, maxScanned)
                                            : scan(group->second.byCores, need.cores, need, maxScanned);
        if (found) {
            return found;
        }
    }
    return exact;
}

std::optional<std::size_t> WorkerIndex::anyFit(std::size_t node, const state::Resources& need) const
{
    if (!fits(need, m_tree[node])) {
        return std::nullopt;
    }
    if (node >= m_leaves) {
        const std::size_t worker = node - m_leaves;
        return worker < m_free.size() && m_isOpen[worker] ? std::optional(worker) : std::nullopt;
    }
    const auto left = anyFit(2 * node, need);
    return left ? left : anyFit(2 * node + 1, need);
}

std::optional<std::size_t> WorkerIndex::closestToFit(const state::Resources& need) const
{
    std::optional<std::size_t> closest;
    double least = 0.0;
    for (std::size_t worker = 0; worker < m_free.size(); ++worker) {
        if (!m_isOpen[worker] || !fits(need, m_view.workers[worker].capacity)) {
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

void WorkerIndex::take(std::size_t worker, const state::Resources& need)
{
    m_isBusy[worker] = true;
    if (!m_isOpen[worker]) {
        subtract(m_free[worker], need);
        return;
    }
    erase(worker);
    subtract(m_free[worker], need);
    insert(worker);
    setNode(worker, m_free[worker]);
}

void WorkerIndex::withhold(std::size_t worker)
{
    if (m_isOpen[worker]) {
        erase(worker);
        m_isOpen[worker] = false;
        setNode(worker, {});
    }
}

void WorkerIndex::insert(std::size_t worker)
{
    const state::Resources& free = m_free[worker];
    Group& group = m_groups[free.accelerators];
    group.byCores.emplace(free.cores, worker);
    group.byMemory.emplace(free.memoryMb, worker);
}

void WorkerIndex::erase(std::size_t worker)
{
    const state::Resources& free = m_free[worker];
    const auto group = m_groups.find(free.accelerators);
    group->second.byCores.erase({ free.cores, worker });
    group->second.byMemory.erase({ free.memoryMb, worker });
    if (group->second.byCores.empty()) {
        m_groups.erase(group);
    }
}

void WorkerIndex::setNode(std::size_t worker, const state::Resources& free)
{
    std::size_t node = m_leaves + worker;
    m_tree[node] = free;
    for (node /= 2; node > 0; node /= 2) {
        m_tree[node] = largest(m_tree[2 * node], m_tree[2 * node + 1]);
    }
}

} // namespace crocuscove::placement
