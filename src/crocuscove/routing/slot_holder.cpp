#include "crocuscove/routing/slot_holder.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace crocuscove::routing {
namespace {

/// Every entry is sent again after this many demands, because a grantor that does not know the backend server yet
/// acknowledges the demand without using the entry.
constexpr std::uint64_t demandsBetweenRefreshes = 10;

/// When more dropped backend servers would have to be remembered, new ones get their base share by a grant only.
constexpr std::size_t maxDropped = 65536;

/// Maximum number of demands whose send time is kept. A grant that answers an older demand renews no lease.
constexpr std::size_t maxSentDemands = 64;

std::uint64_t retentionWeight(const base::NodeId& node, const base::BackendId& backend)
{
    const auto seed = XXH64(backend.text().data(), backend.text().size(), 0);
    return XXH64(node.text().data(), node.text().size(), seed);
}

} // namespace

SlotHolder::SlotHolder(base::NodeId self, std::uint64_t incarnation, SlotOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_options(options)
{
}

void SlotHolder::updateEpoch(const EntryEpoch& epoch)
{
    if (epoch.number <= m_epoch.number) {
        return;
    }
    m_epoch = epoch;
    // Allotments stay valid until their leases end, and their base part is reserved for this node in every epoch.
    m_links.clear();
    const bool isMember = std::ranges::find(m_epoch.nodes, m_self) != m_epoch.nodes.end();
    const bool isFirstMembership = !m_hasBaseShares && isMember && isFirstProcess(m_epoch, m_self, m_incarnation);
    m_hasBaseShares = m_hasBaseShares || isFirstMembership;
    for (auto& [backend, record] : m_backends) {
        record.changedAt = m_sequence + 1;
        if (isFirstMembership) {
            keepBaseShare(record);
        }
    }
}

void SlotHolder::keepBaseShare(BackendRecord& record) const
{
    record.base = baseShare(m_epoch, record.slots);
    record.allotment = record.base;
}

void SlotHolder::rememberDropped(const base::BackendId& backend, std::uint64_t incarnation)
{
    if (m_dropped.size() < maxDropped || m_dropped.contains(backend)) {
        auto& newest = m_dropped[backend];
        newest = std::max(newest, incarnation);
    }
}

void SlotHolder::updateBackendViews(const base::ServiceId& service, const std::vector<BackendView>& views)
{
    std::erase_if(m_backends, [&](const auto& each) {
        const bool isDropped = each.second.service == service
            && std::ranges::find(views, each.first, &BackendView::backend) == views.end();
        if (isDropped) {
            rememberDropped(each.first, each.second.incarnation);
        }
        return isDropped;
    });
    auto& retentionOrder = m_services[service].retentionOrder;
    retentionOrder.clear();
    for (const auto& view : views) {
        const auto [known, isNew] = m_backends.try_emplace(view.backend);
        auto& record = known->second;
        if (isNew || record.incarnation != view.incarnation) {
            if (!isNew) {
                rememberDropped(view.backend, record.incarnation);
            }
            const auto dropped = m_dropped.find(view.backend);
            const bool wasDropped = dropped != m_dropped.end() && dropped->second >= view.incarnation;
            record = BackendRecord();
            record.incarnation = view.incarnation;
            record.slots = view.slots;
            record.changedAt = m_sequence + 1;
            if (m_hasBaseShares && !wasDropped && m_dropped.size() < maxDropped) {
                keepBaseShare(record);
            }
        }
        record.service = service;
        record.slots = view.slots;
        retentionOrder.push_back(view.backend);
    }
    std::ranges::sort(
        retentionOrder, std::greater(), [this](const auto& backend) { return retentionWeight(m_self, backend); });
    if (views.empty()) {
        m_services.erase(service);
    }
}

void SlotHolder::recordUsage(
    base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlight, std::uint32_t demand)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end()) {
        return;
    }
    found->second.inFlight = inFlight;
    found->second.demand = std::min(std::max(demand, inFlight), found->second.slots);
    auto& service = m_services.at(found->second.service);
    if (now >= service.peakSince + m_options.demandWindow) {
        service.previousPeak = now < service.peakSince + 2 * m_options.demandWindow ? service.peak : 0;
        service.peak = 0;
        service.peakSince = now;
    }
}

void SlotHolder::reserveSlots(Service& service)
{
    std::uint32_t demand = 0;
    for (const auto& backend : service.retentionOrder) {
        demand += m_backends.at(backend).demand;
    }
    service.peak = std::max(service.peak, demand);
    // The node keeps no more slots in total than its recent peak demand: first where it has requests in flight, then in
    // its retention order.
    auto remaining = std::max(service.peak, service.previousPeak);
    const auto reserve = [&](BackendRecord& record, std::uint32_t limit) {
        const auto added
            = std::min(remaining, std::min(limit, baseShare(m_epoch, record.slots)) - record.reservedSlots);
        record.reservedSlots += added;
        remaining -= added;
    };
    for (const auto& backend : service.retentionOrder) {
        auto& record = m_backends.at(backend);
        record.reservedSlots = 0;
        reserve(record, record.inFlight);
    }
    for (const auto& backend : service.retentionOrder) {
        auto& record = m_backends.at(backend);
        reserve(record, record.slots);
    }
    if (!service.retentionOrder.empty()) {
        auto& retained = m_backends.at(service.retentionOrder.front());
        retained.reservedSlots = baseShare(m_epoch, retained.slots);
    }
}

SlotDemandEntry SlotHolder::makeDemandEntry(
    base::MonotonicTime now, const base::BackendId& backend, BackendRecord& record)
{
    if (now >= record.deadline) {
        // The grantor relies on the bound reported below, so a late renewal must not restore the leased slots.
        record.allotment = std::min(record.allotment, record.base);
    }
    return { backend, record.incarnation, record.demand, std::max(record.allotment, record.inFlight),
        record.reservedSlots };
}

std::vector<SlotDemand> SlotHolder::takeDemands(base::MonotonicTime now)
{
    if (std::ranges::find(m_epoch.nodes, m_self) == m_epoch.nodes.end()) {
        return {};
    }
    ++m_sequence;
    for (auto& [id, service] : m_services) {
        reserveSlots(service);
    }
    std::map<base::NodeId, SlotDemand> demands;
    for (auto& [backend, record] : m_backends) {
        const auto grantor = grantorOf(m_epoch, backend);
        auto& link = m_links[grantor];
        const auto entry = makeDemandEntry(now, backend, record);
        if (entry != record.lastReported) {
            record.lastReported = entry;
            record.changedAt = m_sequence;
        }
        auto& demand = demands[grantor];
        if (record.changedAt > link.acknowledged || m_sequence % demandsBetweenRefreshes == 0) {
            demand.entries.push_back(entry);
        }
    }
    std::vector<SlotDemand> batch;
    for (auto& [grantor, demand] : demands) {
        auto& link = m_links[grantor];
        demand.epoch = m_epoch.number;
        demand.holder = m_self;
        demand.holderIncarnation = m_incarnation;
        demand.grantor = grantor;
        demand.grantorIncarnation = link.grantorIncarnation;
        demand.sequence = m_sequence;
        demand.appliedGrant = link.lastApplied;
        link.sentDemands.emplace_back(m_sequence, now);
        if (link.sentDemands.size() > maxSentDemands) {
            link.sentDemands.pop_front();
        }
        batch.push_back(std::move(demand));
    }
    return batch;
}

void SlotHolder::receive(base::MonotonicTime, const SlotGrant& grant)
{
    const bool isCurrent
        = grant.holder == m_self && grant.holderIncarnation == m_incarnation && grant.epoch == m_epoch.number;
    const auto found = m_links.find(grant.grantor);
    if (!isCurrent || found == m_links.end() || grant.grantorIncarnation < found->second.grantorIncarnation) {
        return;
    }
    auto& link = found->second;
    if (grant.grantorIncarnation > link.grantorIncarnation) {
        link.grantorIncarnation = grant.grantorIncarnation;
        link.lastApplied = 0;
        // The new grantor process has no state, so every entry is sent again.
        link.acknowledged = m_sequence;
        for (auto& [backend, record] : m_backends) {
            record.changedAt = m_sequence + 1;
        }
        return;
    }
    if (grant.sequence <= link.lastApplied) {
        return;
    }
    link.lastApplied = grant.sequence;
    link.acknowledged = std::max(link.acknowledged, grant.answeredDemand);
    for (const auto& entry : grant.entries) {
        applyEntry(grant, entry);
    }
    const auto sentDemands
        = std::ranges::find(link.sentDemands, grant.answeredDemand, &decltype(link.sentDemands)::value_type::first);
    if (sentDemands == link.sentDemands.end()) {
        return;
    }
    const auto deadline = sentDemands->second + m_options.lease;
    const GrantorTerm term { grant.epoch, grant.grantorIncarnation };
    for (auto& [backend, record] : m_backends) {
        if (record.term == term && grantorOf(m_epoch, backend) == grant.grantor) {
            record.deadline = std::max(record.deadline, deadline);
        }
    }
}

void SlotHolder::applyEntry(const SlotGrant& grant, const SlotGrantEntry& entry)
{
    const auto found = m_backends.find(entry.backend);
    if (found == m_backends.end() || found->second.incarnation != entry.incarnation
        || grantorOf(m_epoch, entry.backend) != grant.grantor) {
        return;
    }
    auto& record = found->second;
    const GrantorTerm term { grant.epoch, grant.grantorIncarnation };
    if (record.term != term) {
        record.term = term;
        record.deadline = base::MonotonicTime();
    }
    record.allotment = entry.allotment;
    record.base = entry.base;
}

std::vector<SlotLimit> SlotHolder::limits(const base::ServiceId& service) const
{
    std::vector<SlotLimit> limits;
    for (const auto& [backend, record] : m_backends) {
        if (record.service == service) {
            limits.push_back({ backend, record.allotment, record.deadline, std::min(record.allotment, record.base),
                record.incarnation });
        }
    }
    return limits;
}

} // namespace crocuscove::routing
