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

/// This node's requests in flight at one backend server, and the number of slots it needs there.
struct SlotUsage {
    base::BackendId backend;
    std::uint32_t inFlight = 0;
    std::uint32_t demand = 0;
};

/// Functions that SlotCoordinator calls.
struct SlotHooks {
    /// Sends an encoded message to another entry node.
    std::function<void(const base::NodeId& node, const std::string& payload)> send;
    /// Returns the current slot usage of this node for a service.
    std::function<std::vector<SlotUsage>(const base::ServiceId& service)> usage;
    /// Called when the slot limits of a service change.
    std::function<void(const base::ServiceId& service, const std::vector<routing::SlotLimit>& limits)> onLimitsChanged;
};

/// Runs the slot leases on this node. As a holder it leases slots for its own requests; as a grantor it leases out the
/// slots of the backend servers that the committed set of entry nodes assigns to it.
class SlotCoordinator {
public:
    /// The references must outlive this. `incarnation` is that of this process.
    SlotCoordinator(http::EventLoop& loop, const ServerOptions& options, std::uint64_t incarnation,
        const base::Log& log, Replica& replica, SlotHooks hooks);

    /// Applies the set of entry nodes in the replicated state, if its number changed.
    void updateEntryNodes();

    /// Replaces the known backend servers of a service.
    void updateBackends(const base::ServiceId& service, const std::vector<routing::BackendView>& views);

    /// Passes a backend server's count of requests in flight to the grantor.
    void report(const InFlightReport& report);

    /// Handles a demand or a grant from another entry node. Ignores a message that doesn't name `sender` as its origin.
    void receive(const base::NodeId& sender, const std::string& payload);

    [[nodiscard]] std::vector<routing::SlotLimit> limits(const base::ServiceId& service) const
    {
        return m_holder.limits(service);
    }

private:
    void exchangeMessages();
    bool recordLocalUsage(base::MonotonicTime now);
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
    std::map<base::ServiceId, std::vector<routing::BackendView>> m_backendViews;
    std::map<base::ServiceId, std::vector<routing::SlotLimit>> m_appliedLimits;
    http::Timer m_exchangeTimer;
    http::Timer m_confirmTimer;
};

} // namespace crocuscove::server
