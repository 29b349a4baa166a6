#pragma once

#include "backend_registry.h"
#include "replica.h"

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/routing/slot_grantor.h"
#include "crocuscove/routing/slot_holder.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocuscove::server {

/// What this node uses and wants at the backend servers of one service.
struct SlotUsage {
    base::BackendId backend;
    std::uint32_t inFlight = 0;
    std::uint32_t demand = 0;
};

struct SlotHooks {
    /// Sends an encoded message to another entry node.
    std::function<void(const base::NodeId& node, const std::string& payload)> send;
    std::function<std::vector<SlotUsage>(const base::ServiceId& service)> usage;
    /// Puts new limits of a service in force.
    std::function<void(const base::ServiceId& service, const std::vector<routing::SlotLimit>& limits)> apply;
};

/// Runs this node's part of the slot leases: holder for its own requests, grantor for the backend servers that the
/// committed entry nodes assign to it.
class SlotCoordinator {
public:
    /// The references must outlive this.
    SlotCoordinator(
        http::EventLoop& loop, const ServerOptions& options, const base::Log& log, Replica& replica, SlotHooks hooks);

    /// Takes the entry nodes in force from the replicated state.
    void updateEntryNodes();

    /// Takes the backend servers of a service.
    void updateBackends(const base::ServiceId& service, const std::vector<routing::BackendView>& views);

    void report(const InFlightReport& report);

    /// Takes a demand or a grant from another entry node.
    void receive(const base::NodeId& sender, const std::string& payload);

    [[nodiscard]] std::vector<routing::SlotLimit> limits(const base::ServiceId& service) const
    {
        return m_holder.limits(service);
    }

private:
    void exchange();
    bool observeUsage(base::MonotonicTime now);
    void sendDemands(base::MonotonicTime now);
    void sendGrants(base::MonotonicTime now);
    void confirmEpoch();
    void receiveGrant(base::MonotonicTime now, const routing::SlotGrant& grant);
    void applyLimits();

    const ServerOptions& m_options;
    const base::Log& m_log;
    Replica& m_replica;
    SlotHooks m_hooks;
    routing::SlotHolder m_holder;
    routing::SlotGrantor m_grantor;
    std::uint64_t m_epoch = 0;
    base::MonotonicTime m_nextIdleDemand;
    std::map<base::ServiceId, std::vector<routing::BackendView>> m_views;
    std::map<base::ServiceId, std::vector<routing::SlotLimit>> m_applied;
    http::Timer m_exchangeTimer;
    http::Timer m_confirmTimer;
};

} // namespace crocuscove::server
