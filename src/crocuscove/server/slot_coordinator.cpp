#include "slot_coordinator.h"

#include "crocuscove/base/codec.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace crocuscove::server {

namespace {

using SlotMessage = std::variant<routing::SlotDemand, routing::SlotGrant>;

constexpr routing::SlotOptions slotOptions;
/// A node without requests renews its leases at this interval, a quarter of the lease duration.
constexpr base::Milliseconds idleDemandInterval { 250 };
/// A grantor may grant slots for 2 s after a confirmation, so one failed confirmation doesn't interrupt it.
constexpr base::Milliseconds confirmInterval { 500 };
constexpr base::Milliseconds confirmTimeout { 1500 };

} // namespace

SlotCoordinator::SlotCoordinator(http::EventLoop& loop, const ServerOptions& options, std::uint64_t incarnation,
    const base::Log& log, Replica& replica, SlotHooks hooks)
    : m_options(options)
    , m_log(log)
    , m_replica(replica)
    , m_hooks(std::move(hooks))
    , m_holder(options.node, incarnation, slotOptions)
    , m_grantor(options.node, incarnation, slotOptions)
    , m_exchangeTimer(loop.runEvery(slotOptions.batchInterval, [this] { exchangeMessages(); }))
    , m_confirmTimer(loop.runEvery(confirmInterval, [this] { confirmEpoch(); }))
{
}

void SlotCoordinator::updateEntryNodes()
{
    const auto& entryNodes = m_replica.state().entryNodes();
    if (entryNodes.number == m_epoch) {
        return;
    }
    m_epoch = entryNodes.number;
    const routing::EntryEpoch epoch { entryNodes.number, entryNodes.nodes, entryNodes.shareNodes, entryNodes.isFirst,
        entryNodes.firstProcesses };
    m_holder.updateEpoch(epoch);
    m_grantor.updateEpoch(base::monotonicNow(), epoch);
    // The grantor dropped its backend servers when the epoch changed.
    const auto views = m_backendViews;
    std::ranges::for_each(views, [this](const auto& entry) { updateBackends(entry.first, entry.second); });
    m_log.info("entry_nodes_changed", { { "epoch", m_epoch }, { "entry_nodes", entryNodes.nodes.size() } });
    confirmEpoch();
}

void SlotCoordinator::updateBackends(const base::ServiceId& service, const std::vector<routing::BackendView>& views)
{
    m_backendViews.insert_or_assign(service, views);
    m_holder.updateBackendViews(service, views);
    std::vector<routing::BackendView> all;
    std::ranges::for_each(
        m_backendViews, [&](const auto& entry) { std::ranges::copy(entry.second, std::back_inserter(all)); });
    m_grantor.updateBackendViews(base::monotonicNow(), all);
    // Applied again although they may be unchanged: without the service's document the gateway ignored them.
    auto& applied = m_appliedLimits[service];
    applied = m_holder.limits(service);
    m_hooks.onLimitsChanged(service, applied);
    applyLimits();
}

void SlotCoordinator::report(const InFlightReport& report)
{
    m_grantor.report(report.backend, report.incarnation, report.inFlight, report.madeNotBefore);
}

void SlotCoordinator::receive(const base::NodeId& sender, const std::string& payload)
{
    const auto now = base::monotonicNow();
    const auto message = base::decode<SlotMessage>(payload);
    if (const auto* demand = std::get_if<routing::SlotDemand>(&message);
        demand != nullptr && demand->holder == sender) {
        m_grantor.receive(now, *demand);
    } else if (const auto* grant = std::get_if<routing::SlotGrant>(&message);
               grant != nullptr && grant->grantor == sender) {
        receiveGrant(now, *grant);
    }
}

void SlotCoordinator::exchangeMessages()
{
    const auto now = base::monotonicNow();
    const bool isBusy = recordLocalUsage(now);
    if (isBusy || m_nextIdleDemand <= now) {
        m_nextIdleDemand = now + idleDemandInterval;
        sendDemands(now);
    }
    sendGrants(now);
    applyLimits();
}

// Records this node's slot usage with the holder. Returns whether the node needs any slot.
bool SlotCoordinator::recordLocalUsage(base::MonotonicTime now)
{
    bool isBusy = false;
    for (const auto& [service, views] : m_backendViews) {
        std::ranges::for_each(m_hooks.usage(service), [&](const SlotUsage& usage) {
            m_holder.recordUsage(now, usage.backend, usage.inFlight, usage.demand);
            isBusy = isBusy || usage.demand > 0;
        });
    }
    return isBusy;
}

void SlotCoordinator::sendDemands(base::MonotonicTime now)
{
    for (const routing::SlotDemand& demand : m_holder.takeDemands(now)) {
        if (demand.grantor == m_options.node) {
            m_grantor.receive(now, demand);
        } else {
            m_hooks.send(demand.grantor, base::encode(SlotMessage(demand)));
        }
    }
}

void SlotCoordinator::sendGrants(base::MonotonicTime now)
{
    for (const routing::SlotGrant& grant : m_grantor.takeGrants(now)) {
        if (grant.holder == m_options.node) {
            receiveGrant(now, grant);
        } else {
            m_hooks.send(grant.holder, base::encode(SlotMessage(grant)));
        }
    }
}

void SlotCoordinator::receiveGrant(base::MonotonicTime now, const routing::SlotGrant& grant)
{
    m_holder.receive(now, grant);
    applyLimits();
}

void SlotCoordinator::applyLimits()
{
    for (const auto& [service, views] : m_backendViews) {
        auto limits = m_holder.limits(service);
        auto& applied = m_appliedLimits[service];
        if (limits != applied) {
            applied = std::move(limits);
            m_hooks.onLimitsChanged(service, applied);
        }
    }
}

void SlotCoordinator::confirmEpoch()
{
    if (m_epoch == 0) {
        return;
    }
    const auto startedAt = base::monotonicNow();
    m_replica.confirmCurrent(startedAt + confirmTimeout, [this, startedAt](bool isCurrent) {
        if (isCurrent) {
            m_grantor.confirmEpoch(m_replica.state().entryNodes().number, startedAt);
        }
    });
}

} // namespace crocuscove::server
