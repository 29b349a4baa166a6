#include "crocuscove/routing/slot_grantor.h"

#include <algorithm>
#include <numeric>

namespace crocuscove::routing {
namespace {

/// Maximum number of unapplied grants tracked for one share. When it is reached, the two oldest are merged into one
/// with the larger allotment.
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
    m_backends.clear();
    m_holders.clear();
    m_droppedAt.clear();
}

void SlotGrantor::confirmEpoch(std::uint64_t epoch, base::MonotonicTime confirmedAt)
{
    if (epoch == m_epoch.number) {
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    }
}

// A grantor of an earlier epoch may have issued grants until its authority ended. A former process of this node in the
// same epoch can issue none; only its leases may still be valid.
base::Milliseconds SlotGrantor::previousAuthority() const
{
    return m_epoch.isFirst ? base::Milliseconds(0) : m_options.authority;
}

SlotGrantor::BackendRecord SlotGrantor::makeBackendRecord(const base::BackendId& backend, const BackendView& view) const
{
    BackendRecord record;
    record.incarnation = view.incarnation;
    record.slots = view.slots;
    record.unattributed = view.slots;
    const auto margins = m_options.lease + m_options.clockMargin + m_options.startMargin;
    record.unattributedSince = m_epochSince + previousAuthority() + margins;
    if (const auto dropped = m_droppedAt.find(backend); dropped != m_droppedAt.end()) {
        record.unattributedSince = std::max<base::MonotonicTime>(record.unattributedSince, dropped->second + margins);
    }
    for (const auto& node : m_epoch.nodes) {
        record.shares[node];
    }
    return record;
}

void SlotGrantor::updateBackendViews(base::MonotonicTime now, const std::vector<BackendView>& views)
{
    std::map<base::BackendId, BackendRecord> records;
    for (const auto& view : views) {
        if (grantorOf(m_epoch, view.backend) != m_self) {
            continue;
        }
        const auto known = m_backends.find(view.backend);
        const bool isSameIncarnation = known != m_backends.end() && known->second.incarnation == view.incarnation;
        records.emplace(
            view.backend, isSameIncarnation ? std::move(known->second) : makeBackendRecord(view.backend, view));
        records.at(view.backend).slots = view.slots;
    }
    const auto margins = m_options.lease + m_options.clockMargin + m_options.startMargin;
    std::erase_if(m_droppedAt, [&](const auto& dropped) { return dropped.second + margins < now; });
    for (const auto& [backend, record] : m_backends) {
        if (!records.contains(backend)) {
            m_droppedAt[backend] = now;
        }
    }
    m_backends = std::move(records);
}

void SlotGrantor::report(const base::BackendId& backend, std::uint64_t incarnation, std::uint32_t inFlight,
    base::MonotonicTime madeNotBefore)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end() || found->second.incarnation != incarnation) {
        return;
    }
    auto& record = found->second;
    if (madeNotBefore >= record.unattributedSince) {
        record.unattributed = std::min(record.unattributed, inFlight);
    }
    const auto base = baseShare(m_epoch, record.slots);
    for (auto& [node, share] : record.shares) {
        const auto holder = m_holders.find(node);
        if (holder == m_holders.end() || madeNotBefore < holder->second.leaseEnd + m_options.startMargin) {
            continue;
        }
        // The holder started no request in a leased slot after its lease ended, so its requests in flight exceed
        // neither the base share nor the reported count, whichever is larger.
        const auto maximum = std::max(base, inFlight);
        share.inFlightBound = std::min(share.inFlightBound, maximum);
        std::ranges::for_each(
            share.unapplied, [&](auto& grant) { grant.allotment = std::min(grant.allotment, maximum); });
        if (share.allotment > base) {
            share.allotment = base;
            share.changedAt = holder->second.lastGrant + 1;
        }
    }
}

void SlotGrantor::restartHolder(
    base::MonotonicTime now, const base::NodeId& node, Holder& holder, std::uint64_t incarnation)
{
    // In an earlier epoch, an earlier process may have used the base share until it ended.
    const bool mayHavePrevious = holder.incarnation != 0 || !isFirstProcess(m_epoch, node, incarnation);
    for (auto& [backend, record] : m_backends) {
        auto& share = record.shares.at(node);
        if (mayHavePrevious) {
            // Requests of the previous process may still run at the backend server.
            const auto remaining = upperBoundOf(share, baseShare(m_epoch, record.slots));
            record.unattributed = std::min(record.unattributed + remaining, record.slots);
            record.unattributedSince
                = std::max<base::MonotonicTime>(record.unattributedSince, now + m_options.startMargin);
        }
        share = Share();
    }
    holder = Holder();
    holder.incarnation = incarnation;
    // The holder may have leases from an earlier grantor.
    holder.leaseEnd = m_epochSince + previousAuthority() + m_options.lease + m_options.clockMargin;
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
    holder.needsGrant = true;
    holder.lastDemandAt = now;
    if (demand.grantorIncarnation != m_incarnation) {
        // The holder may still apply grants of a previous process of this node until it receives the answer.
        return;
    }
    holder.lastApplied = std::max(holder.lastApplied, demand.appliedGrant);
    for (const auto& entry : demand.entries) {
        const auto found = m_backends.find(entry.backend);
        if (found == m_backends.end() || found->second.incarnation != entry.incarnation) {
            continue;
        }
        auto& share = found->second.shares.at(demand.holder);
        if (!share.isReported) {
            share.isReported = true;
            share.allotment = entry.inFlightBound;
            share.changedAt = holder.lastGrant + 1;
        }
        share.demand = std::min(entry.demand, found->second.slots);
        share.inFlightBound = entry.inFlightBound;
        share.reservedSlots = std::min(entry.reservedSlots, baseShare(m_epoch, found->second.slots));
    }
    for (auto& [backend, record] : m_backends) {
        dropAppliedGrants(record.shares.at(demand.holder), holder);
    }
}

void SlotGrantor::dropAppliedGrants(Share& share, const Holder& holder)
{
    std::erase_if(share.unapplied, [&](const auto& each) { return each.sequence <= holder.lastApplied; });
    if (share.isReported && share.unapplied.empty() && share.inFlightBound < share.allotment) {
        // The lease expired at the holder before the renewal arrived.
        share.allotment = share.inFlightBound;
        share.changedAt = holder.lastGrant + 1;
    }
}

std::uint32_t SlotGrantor::upperBoundOf(const Share& share, std::uint32_t base)
{
    if (!share.isReported) {
        return base;
    }
    return std::accumulate(share.unapplied.begin(), share.unapplied.end(),
        std::max(share.inFlightBound, share.allotment),
        [](std::uint32_t maximum, const auto& grant) { return std::max(maximum, grant.allotment); });
}

std::int64_t SlotGrantor::freeSlots(const BackendRecord& record) const
{
    return static_cast<std::int64_t>(record.slots) - record.unattributed - absentShares(m_epoch, record.slots);
}

std::map<base::NodeId, std::uint32_t> SlotGrantor::targetAllotments(
    base::MonotonicTime now, const base::BackendId& backend, const BackendRecord& record) const
{
    const auto base = baseShare(m_epoch, record.slots);
    std::map<base::NodeId, std::uint32_t> targetAllotments;
    std::int64_t remaining = freeSlots(record);
    for (const auto& [node, share] : record.shares) {
        targetAllotments[node] = share.reservedSlots;
        remaining -= share.isReported ? share.reservedSlots : base;
    }
    // Assigns one slot at a time to the node with the fewest: first up to its demand, then up to its current allotment,
    // then evenly, so that a node with new requests need not wait for a grant.
    std::vector<base::NodeId> order;
    for (std::size_t i = 0; i < m_epoch.nodes.size(); ++i) {
        const auto position = (i + std::hash<base::BackendId> {}(backend)) % m_epoch.nodes.size();
        order.push_back(m_epoch.nodes[position]);
    }
    std::erase_if(order, [&](const auto& node) {
        const auto holder = m_holders.find(node);
        return holder == m_holders.end() || now >= holder->second.lastDemandAt + m_options.lease;
    });
    const auto distribute = [&](const auto& limitOf) {
        while (remaining > 0) {
            const base::NodeId* next = nullptr;
            for (const auto& node : order) {
                const auto& share = record.shares.at(node);
                const bool isWanted = share.isReported && targetAllotments[node] < limitOf(share);
                if (isWanted && (next == nullptr || targetAllotments[node] < targetAllotments[*next])) {
                    next = &node;
                }
            }
            if (next == nullptr) {
                return;
            }
            ++targetAllotments[*next];
            --remaining;
        }
    };
    distribute([](const Share& share) { return share.demand; });
    distribute([](const Share& share) { return share.allotment; });
    distribute([&](const Share&) { return record.slots; });
    return targetAllotments;
}

void SlotGrantor::updateAllotments(base::MonotonicTime now, const base::BackendId& backend, BackendRecord& record)
{
    const auto base = baseShare(m_epoch, record.slots);
    const auto wanted = targetAllotments(now, backend, record);
    std::int64_t free = freeSlots(record);
    std::vector<Share*> increasing;
    for (auto& [node, share] : record.shares) {
        free -= upperBoundOf(share, base);
        // Before the first report, no other node could get what this one lends.
        const auto kept = record.unattributed < record.slots ? 0 : std::min(share.allotment, base);
        const auto target = std::max(wanted.at(node), kept);
        if (!share.isReported || target == share.allotment) {
            continue;
        }
        if (target > share.allotment) {
            increasing.push_back(&share);
            continue;
        }
        share.allotment = target;
        share.changedAt = m_holders.at(node).lastGrant + 1;
    }
    std::ranges::sort(increasing, {}, &Share::allotment);
    for (auto& [node, share] : record.shares) {
        if (std::ranges::find(increasing, &share) == increasing.end()) {
            continue;
        }
        const auto inFlightBound = upperBoundOf(share, base);
        const auto maximum = inFlightBound + static_cast<std::uint32_t>(std::max<std::int64_t>(free, 0));
        const auto allotment = std::min(wanted.at(node), maximum);
        if (allotment <= share.allotment) {
            continue;
        }
        free -= static_cast<std::int64_t>(std::max(allotment, inFlightBound)) - inFlightBound;
        share.allotment = allotment;
        share.changedAt = m_holders.at(node).lastGrant + 1;
    }
}

std::vector<SlotGrant> SlotGrantor::takeGrants(base::MonotonicTime now)
{
    if (!m_confirmedAt || now >= *m_confirmedAt + m_options.authority) {
        return {};
    }
    for (auto& [backend, record] : m_backends) {
        updateAllotments(now, backend, record);
    }
    std::vector<SlotGrant> grants;
    for (auto& [node, holder] : m_holders) {
        if (!std::exchange(holder.needsGrant, false)) {
            continue;
        }
        SlotGrant grant { m_epoch.number, m_self, m_incarnation, node, holder.incarnation, ++holder.lastGrant,
            holder.sequence, {} };
        addEntries(grant, holder);
        holder.leaseEnd = now + m_options.lease + m_options.clockMargin;
        grants.push_back(std::move(grant));
    }
    return grants;
}

void SlotGrantor::addEntries(SlotGrant& grant, const Holder& holder)
{
    for (auto& [backend, record] : m_backends) {
        auto& share = record.shares.at(grant.holder);
        if (!share.isReported || share.changedAt <= holder.lastApplied) {
            continue;
        }
        if (share.unapplied.size() >= maxUnapplied) {
            auto& second = share.unapplied[1];
            second.allotment = std::max(second.allotment, share.unapplied.front().allotment);
            share.unapplied.erase(share.unapplied.begin());
        }
        share.unapplied.push_back({ grant.sequence, share.allotment });
        const auto base = std::min(share.allotment, baseShare(m_epoch, record.slots));
        grant.entries.push_back({ backend, record.incarnation, share.allotment, base });
    }
}

} // namespace crocuscove::routing
