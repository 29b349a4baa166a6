#include "crocuscove/routing/slot_grantor.h"

#include <algorithm>
#include <numeric>

namespace crocuscove::routing {
namespace {

/// Unapplied grants that are remembered of one share. Beyond them, the two oldest are counted as one.
constexpr std::size_t maxUnapplied = 32;

} // namespace

SlotGrantor::SlotGrantor(base::NodeId self, std::uint64_t incarnation, SlotOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_options(options)
{
}

void SlotGrantor::updateEpoch(base::MonotonicTime now, const EntryEpoch& epoch)
{
    if (epoch.number <= m_epoch.number) {
        return;
    }
    m_epoch = epoch;
    m_epochSince = now;
    m_confirmedAt.reset();
    m_executors.clear();
    m_holders.clear();
    m_dropped.clear();
}

void SlotGrantor::confirmEpoch(std::uint64_t epoch, base::MonotonicTime confirmedAt)
{
    if (epoch == m_epoch.number) {
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    }
}

// A grantor of an earlier epoch may have granted until its authority ended. A former process of this node in the same
// epoch has no authority any more, only leases that still run.
base::Milliseconds SlotGrantor::earlierAuthority() const
{
    return m_epoch.isFirst ? base::Milliseconds(0) : m_options.authority;
}

SlotGrantor::Executor SlotGrantor::freshExecutor(const base::BackendId& backend, const BackendView& view) const
{
    Executor executor;
    executor.incarnation = view.incarnation;
    executor.slots = view.slots;
    executor.orphans = view.slots;
    const auto margins = m_options.lease + m_options.clockMargin + m_options.startMargin;
    executor.orphansSince = m_epochSince + earlierAuthority() + margins;
    if (const auto dropped = m_dropped.find(backend); dropped != m_dropped.end()) {
        executor.orphansSince = std::max<base::MonotonicTime>(executor.orphansSince, dropped->second + margins);
    }
    for (const auto& node : m_epoch.nodes) {
        executor.shares[node];
    }
    return executor;
}

void SlotGrantor::updateExecutors(base::MonotonicTime now, const std::vector<BackendView>& views)
{
    std::map<base::BackendId, Executor> executors;
    for (const auto& view : views) {
        if (grantorOf(m_epoch, view.backend) != m_self) {
            continue;
        }
        const auto known = m_executors.find(view.backend);
        const bool isSame = known != m_executors.end() && known->second.incarnation == view.incarnation;
        executors.emplace(view.backend, isSame ? std::move(known->second) : freshExecutor(view.backend, view));
        executors.at(view.backend).slots = view.slots;
    }
    const auto margins = m_options.lease + m_options.clockMargin + m_options.startMargin;
    std::erase_if(m_dropped, [&](const auto& dropped) { return dropped.second + margins < now; });
    for (const auto& [backend, executor] : m_executors) {
        if (!executors.contains(backend)) {
            m_dropped[backend] = now;
        }
    }
    m_executors = std::move(executors);
}

void SlotGrantor::report(const base::BackendId& backend, std::uint64_t incarnation, std::uint32_t inFlight,
    base::MonotonicTime madeNotBefore)
{
    const auto found = m_executors.find(backend);
    if (found == m_executors.end() || found->second.incarnation != incarnation) {
        return;
    }
    auto& executor = found->second;
    if (madeNotBefore >= executor.orphansSince) {
        executor.orphans = std::min(executor.orphans, inFlight);
    }
    const auto base = baseShare(m_epoch, executor.slots);
    for (auto& [node, share] : executor.shares) {
        const auto holder = m_holders.find(node);
        if (holder == m_holders.end() || madeNotBefore < holder->second.leaseEnd + m_options.startMargin) {
            continue;
        }
        // The holder started nothing on leased slots after its lease had ended, so it has no more than its base share
        // or what was counted.
        const auto most = std::max(base, inFlight);
        share.bound = std::min(share.bound, most);
        std::ranges::for_each(share.unapplied, [&](auto& grant) { grant.allotment = std::min(grant.allotment, most); });
        if (share.allotment > base) {
            share.allotment = base;
            share.changedAt = holder->second.granted + 1;
        }
    }
}

void SlotGrantor::restartHolder(
    base::MonotonicTime now, const base::NodeId& node, Holder& holder, std::uint64_t incarnation)
{
    const bool isFirst = holder.incarnation == 0;
    for (auto& [backend, executor] : m_executors) {
        auto& share = executor.shares.at(node);
        if (!isFirst) {
            // Requests of the former process may still run at the backend server.
            const auto left = upperBound(share, baseShare(m_epoch, executor.slots));
            executor.orphans = std::min(executor.orphans + left, executor.slots);
            executor.orphansSince = std::max<base::MonotonicTime>(executor.orphansSince, now + m_options.startMargin);
        }
        share = Share();
    }
    holder = Holder();
    holder.incarnation = incarnation;
    // It may hold leases of an earlier grantor.
    holder.leaseEnd = m_epochSince + earlierAuthority() + m_options.lease + m_options.clockMargin;
}

void SlotGrantor::receive(base::MonotonicTime now, const SlotDemand& demand)
{
    const bool isMember = std::ranges::find(m_epoch.nodes, demand.holder) != m_epoch.nodes.end();
    if (demand.epoch != m_epoch.number || demand.grantor != m_self || !isMember) {
        return;
    }
    auto& holder = m_holders[demand.holder];
    if (demand.holderIncarnation < holder.incarnation) {
        return;
    }
    if (demand.holderIncarnation > holder.incarnation) {
        restartHolder(now, demand.holder, holder, demand.holderIncarnation);
    }
    if (demand.sequence <= holder.sequence) {
        return;
    }
    holder.sequence = demand.sequence;
    holder.isDue = true;
    holder.heardAt = now;
    if (demand.grantorIncarnation != m_incarnation) {
        // The holder may still apply grants of a former process of this node. The answer makes it refuse them.
        return;
    }
    holder.applied = std::max(holder.applied, demand.appliedGrant);
    for (const auto& entry : demand.entries) {
        const auto found = m_executors.find(entry.backend);
        if (found == m_executors.end() || found->second.incarnation != entry.incarnation) {
            continue;
        }
        auto& share = found->second.shares.at(demand.holder);
        if (!share.isReported) {
            share.isReported = true;
            share.allotment = entry.bound;
            share.changedAt = holder.granted + 1;
        }
        share.demand = std::min(entry.demand, found->second.slots);
        share.bound = entry.bound;
        share.floor = std::min(entry.floor, baseShare(m_epoch, found->second.slots));
    }
    for (auto& [backend, executor] : m_executors) {
        noteApplied(executor.shares.at(demand.holder), holder);
    }
}

void SlotGrantor::noteApplied(Share& share, const Holder& holder)
{
    std::erase_if(share.unapplied, [&](const auto& each) { return each.sequence <= holder.applied; });
    if (share.isReported && share.unapplied.empty() && share.bound < share.allotment) {
        // The lease ended at the holder before it was renewed.
        share.allotment = share.bound;
        share.changedAt = holder.granted + 1;
    }
}

std::uint32_t SlotGrantor::upperBound(const Share& share, std::uint32_t base)
{
    if (!share.isReported) {
        return base;
    }
    return std::accumulate(share.unapplied.begin(), share.unapplied.end(), std::max(share.bound, share.allotment),
        [](std::uint32_t most, const auto& grant) { return std::max(most, grant.allotment); });
}

std::map<base::NodeId, std::uint32_t> SlotGrantor::targets(
    base::MonotonicTime now, const base::BackendId& backend, const Executor& executor) const
{
    const auto base = baseShare(m_epoch, executor.slots);
    std::map<base::NodeId, std::uint32_t> targets;
    std::int64_t left = static_cast<std::int64_t>(executor.slots) - executor.orphans;
    for (const auto& [node, share] : executor.shares) {
        targets[node] = share.floor;
        left -= share.isReported ? share.floor : base;
    }
    // One slot at a time to whoever has least, first up to the demand, then to keep what is held, then evenly, so
    // that a node with new work need not wait for a grant.
    std::vector<base::NodeId> order;
    for (std::size_t i = 0; i < m_epoch.nodes.size(); ++i) {
        const auto turn = (i + std::hash<base::BackendId> {}(backend)) % m_epoch.nodes.size();
        order.push_back(m_epoch.nodes[turn]);
    }
    std::erase_if(order, [&](const auto& node) {
        const auto holder = m_holders.find(node);
        return holder == m_holders.end() || now >= holder->second.heardAt + m_options.lease;
    });
    const auto give = [&](const auto& wants) {
        while (left > 0) {
            const base::NodeId* next = nullptr;
            for (const auto& node : order) {
                const auto& share = executor.shares.at(node);
                const bool isWanted = share.isReported && targets[node] < wants(share);
                if (isWanted && (next == nullptr || targets[node] < targets[*next])) {
                    next = &node;
                }
            }
            if (next == nullptr) {
                return;
            }
            ++targets[*next];
            --left;
        }
    };
    give([](const Share& share) { return share.demand; });
    give([](const Share& share) { return share.allotment; });
    give([&](const Share&) { return executor.slots; });
    return targets;
}

void SlotGrantor::allot(base::MonotonicTime now, const base::BackendId& backend, Executor& executor)
{
    const auto base = baseShare(m_epoch, executor.slots);
    const auto wanted = targets(now, backend, executor);
    std::int64_t free = static_cast<std::int64_t>(executor.slots) - executor.orphans;
    std::vector<Share*> rising;
    for (auto& [node, share] : executor.shares) {
        free -= upperBound(share, base);
        const auto target = wanted.at(node);
        if (!share.isReported || target == share.allotment) {
            continue;
        }
        if (target > share.allotment) {
            rising.push_back(&share);
            continue;
        }
        share.allotment = target;
        share.changedAt = m_holders.at(node).granted + 1;
    }
    std::ranges::sort(rising, {}, &Share::allotment);
    for (auto& [node, share] : executor.shares) {
        if (std::ranges::find(rising, &share) == rising.end()) {
            continue;
        }
        const auto bound = upperBound(share, base);
        const auto most = bound + static_cast<std::uint32_t>(std::max<std::int64_t>(free, 0));
        const auto allotment = std::min(wanted.at(node), most);
        if (allotment <= share.allotment) {
            continue;
        }
        free -= static_cast<std::int64_t>(std::max(allotment, bound)) - bound;
        share.allotment = allotment;
        share.changedAt = m_holders.at(node).granted + 1;
    }
}

std::vector<SlotGrant> SlotGrantor::takeGrants(base::MonotonicTime now)
{
    if (!m_confirmedAt || now >= *m_confirmedAt + m_options.authority) {
        return {};
    }
    for (auto& [backend, executor] : m_executors) {
        allot(now, backend, executor);
    }
    std::vector<SlotGrant> grants;
    for (auto& [node, holder] : m_holders) {
        if (!std::exchange(holder.isDue, false)) {
            continue;
        }
        SlotGrant grant { m_epoch.number, m_self, m_incarnation, node, holder.incarnation, ++holder.granted,
            holder.sequence, {} };
        fill(grant, holder);
        holder.leaseEnd = now + m_options.lease + m_options.clockMargin;
        grants.push_back(std::move(grant));
    }
    return grants;
}

void SlotGrantor::fill(SlotGrant& grant, const Holder& holder)
{
    for (auto& [backend, executor] : m_executors) {
        auto& share = executor.shares.at(grant.holder);
        if (!share.isReported || share.changedAt <= holder.applied) {
            continue;
        }
        if (share.unapplied.size() >= maxUnapplied) {
            auto& second = share.unapplied[1];
            second.allotment = std::max(second.allotment, share.unapplied.front().allotment);
            share.unapplied.erase(share.unapplied.begin());
        }
        share.unapplied.push_back({ grant.sequence, share.allotment });
        const auto base = std::min(share.allotment, baseShare(m_epoch, executor.slots));
        grant.entries.push_back({ backend, executor.incarnation, share.allotment, base });
    }
}

} // namespace crocuscove::routing
