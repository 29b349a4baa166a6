#include "crocuscove/routing/slot_holder.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace crocuscove::routing {
namespace {

/// Every entry is sent again at this interval of demands, because a grantor that did not know the backend server yet
/// has acknowledged the demand without using the entry.
constexpr std::uint64_t demandsBetweenRefreshes = 10;

/// Demands whose sending time is remembered. An answer to an older one renews nothing.
constexpr std::size_t maxSent = 64;

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
    // Allotments stay: they end with their leases, and their base part is reserved for this node in every epoch.
    m_links.clear();
    for (auto& [backend, executor] : m_executors) {
        executor.changedAt = m_sequence + 1;
    }
}

void SlotHolder::updateExecutors(const base::ServiceId& service, const std::vector<BackendView>& views)
{
    std::erase_if(m_executors, [&](const auto& each) {
        return each.second.service == service
            && std::ranges::find(views, each.first, &BackendView::backend) == views.end();
    });
    auto& order = m_services[service].order;
    order.clear();
    for (const auto& view : views) {
        auto& executor = m_executors[view.backend];
        if (executor.incarnation != view.incarnation) {
            executor = Executor();
            executor.incarnation = view.incarnation;
            executor.changedAt = m_sequence + 1;
        }
        executor.service = service;
        executor.slots = view.slots;
        order.push_back(view.backend);
    }
    std::ranges::sort(order, std::greater(), [this](const auto& backend) { return retentionWeight(m_self, backend); });
    if (views.empty()) {
        m_services.erase(service);
    }
}

void SlotHolder::observe(
    base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlight, std::uint32_t demand)
{
    const auto found = m_executors.find(backend);
    if (found == m_executors.end()) {
        return;
    }
    found->second.inFlight = inFlight;
    found->second.demand = std::min(std::max(demand, inFlight), found->second.slots);
    auto& service = m_services.at(found->second.service);
    if (now >= service.peakSince + m_options.lendAfter) {
        service.previousPeak = now < service.peakSince + 2 * m_options.lendAfter ? service.peak : 0;
        service.peak = 0;
        service.peakSince = now;
    }
}

void SlotHolder::setFloors(Service& service)
{
    std::uint32_t demand = 0;
    for (const auto& backend : service.order) {
        demand += m_executors.at(backend).demand;
    }
    service.peak = std::max(service.peak, demand);
    // The node keeps no more slots in all than it needed lately: where it runs requests, then in its own order.
    auto left = std::max(service.peak, service.previousPeak);
    const auto keep = [&](Executor& executor, std::uint32_t most) {
        const auto more = std::min(left, std::min(most, baseShare(m_epoch, executor.slots)) - executor.floor);
        executor.floor += more;
        left -= more;
    };
    for (const auto& backend : service.order) {
        auto& executor = m_executors.at(backend);
        executor.floor = 0;
        keep(executor, executor.inFlight);
    }
    for (const auto& backend : service.order) {
        auto& executor = m_executors.at(backend);
        keep(executor, executor.slots);
    }
    if (!service.order.empty()) {
        auto& retained = m_executors.at(service.order.front());
        retained.floor = baseShare(m_epoch, retained.slots);
    }
}

SlotDemandEntry SlotHolder::entryOf(base::MonotonicTime now, const base::BackendId& backend, Executor& executor)
{
    if (now >= executor.deadline) {
        // The grantor will rely on the bound below, so a late renewal must not bring the leased slots back.
        executor.allotment = std::min(executor.allotment, executor.base);
    }
    return { backend, executor.incarnation, executor.demand, std::max(executor.allotment, executor.inFlight),
        executor.floor };
}

std::vector<SlotDemand> SlotHolder::takeDemands(base::MonotonicTime now)
{
    if (std::ranges::find(m_epoch.nodes, m_self) == m_epoch.nodes.end()) {
        return {};
    }
    ++m_sequence;
    for (auto& [id, service] : m_services) {
        setFloors(service);
    }
    std::map<base::NodeId, SlotDemand> demands;
    for (auto& [backend, executor] : m_executors) {
        const auto grantor = grantorOf(m_epoch, backend);
        auto& link = m_links[grantor];
        const auto entry = entryOf(now, backend, executor);
        if (entry != executor.reported) {
            executor.reported = entry;
            executor.changedAt = m_sequence;
        }
        auto& demand = demands[grantor];
        if (executor.changedAt > link.acknowledged || m_sequence % demandsBetweenRefreshes == 0) {
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
        demand.appliedGrant = link.applied;
        link.sent.emplace_back(m_sequence, now);
        if (link.sent.size() > maxSent) {
            link.sent.pop_front();
        }
        batch.push_back(std::move(demand));
    }
    return batch;
}

void SlotHolder::receive(base::MonotonicTime, const SlotGrant& grant)
{
    const bool isForThis
        = grant.holder == m_self && grant.holderIncarnation == m_incarnation && grant.epoch == m_epoch.number;
    const auto found = m_links.find(grant.grantor);
    if (!isForThis || found == m_links.end() || grant.grantorIncarnation < found->second.grantorIncarnation) {
        return;
    }
    auto& link = found->second;
    if (grant.grantorIncarnation > link.grantorIncarnation) {
        link.grantorIncarnation = grant.grantorIncarnation;
        link.applied = 0;
        // The new process knows nothing yet, so every entry is sent again.
        link.acknowledged = m_sequence;
        for (auto& [backend, executor] : m_executors) {
            executor.changedAt = m_sequence + 1;
        }
        return;
    }
    if (grant.sequence <= link.applied) {
        return;
    }
    link.applied = grant.sequence;
    link.acknowledged = std::max(link.acknowledged, grant.answeredDemand);
    for (const auto& entry : grant.entries) {
        apply(grant, entry);
    }
    const auto sent = std::ranges::find(link.sent, grant.answeredDemand, &decltype(link.sent)::value_type::first);
    if (sent == link.sent.end()) {
        return;
    }
    const auto deadline = sent->second + m_options.lease;
    const Term term { grant.epoch, grant.grantorIncarnation };
    for (auto& [backend, executor] : m_executors) {
        if (executor.term == term && grantorOf(m_epoch, backend) == grant.grantor) {
            executor.deadline = std::max(executor.deadline, deadline);
        }
    }
}

void SlotHolder::apply(const SlotGrant& grant, const SlotGrantEntry& entry)
{
    const auto found = m_executors.find(entry.backend);
    if (found == m_executors.end() || found->second.incarnation != entry.incarnation
        || grantorOf(m_epoch, entry.backend) != grant.grantor) {
        return;
    }
    auto& executor = found->second;
    const Term term { grant.epoch, grant.grantorIncarnation };
    if (executor.term != term) {
        executor.term = term;
        executor.deadline = base::MonotonicTime();
    }
    executor.allotment = entry.allotment;
    executor.base = entry.base;
}

std::vector<SlotLimit> SlotHolder::limits(const base::ServiceId& service) const
{
    std::vector<SlotLimit> limits;
    for (const auto& [backend, executor] : m_executors) {
        if (executor.service == service) {
            limits.push_back({ backend, executor.allotment, executor.deadline,
                std::min(executor.allotment, executor.base), executor.incarnation });
        }
    }
    return limits;
}

} // namespace crocuscove::routing
