#pragma once

#include "backend_registry.h"
#include "command_submitter.h"
#include "crocuscove/server/server_options.h"
#include "node_table.h"
#include "slot_coordinator.h"

#include "crocuscove/base/log.h"
#include "crocuscove/base/random.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/http/http_server.h"
#include "crocuscove/routing/dispatcher.h"
#include "crocuscove/routing/route_match.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuscove::server {

/// Counts of requests and attempts since the process started, exported as metrics.
struct GatewayCounters {
    std::uint64_t executed = 0;
    std::uint64_t notExecuted = 0;
    std::uint64_t unknown = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t retried = 0;
};

/// Handles client requests: routes each to a service, claims its idempotency key, executes the actions of the
/// service's dispatcher, and sends the client exactly one outcome.
class Gateway {
public:
    /// The references must outlive this. `onServiceAdded` is called when this node first applies a document of a
    /// service.
    Gateway(http::EventLoop& loop, const ServerOptions& options, const base::Log& log, base::Random& random,
        Replica& replica, CommandSubmitter& submitter, BackendRegistry& backends,
        std::function<void(const base::ServiceId&)> onServiceAdded);

    /// Handles a request from the client listener.
    void handle(http::HttpRequest request, http::Responder responder);

    /// Applies the service documents of the replicated state that are new or have a new revision.
    void updateDocuments();

    /// Passes the known backend servers of a service to its dispatcher.
    void updateBackends(const base::ServiceId& service, const std::vector<routing::BackendView>& views);

    /// Passes new slot limits of a service to its dispatcher.
    void updateSlots(const base::ServiceId& service, const std::vector<routing::SlotLimit>& limits);

    /// Returns this node's requests in flight and its demand for slots, per backend server of a service.
    [[nodiscard]] std::vector<SlotUsage> slotUsage(const base::ServiceId& service) const;

    /// Returns the number of requests from this node in flight at a backend server.
    [[nodiscard]] std::uint32_t inFlightAt(const base::ServiceId& service, const base::BackendId& backend) const;

    [[nodiscard]] const GatewayCounters& counters() const { return m_counters; }
    [[nodiscard]] std::size_t openRequests() const { return m_requests.size(); }
    [[nodiscard]] std::size_t queued() const;

    /// Returns the number of requests in flight and queued on this node, per service.
    [[nodiscard]] std::vector<ServiceLoad> serviceLoads() const;

private:
    struct Attempt {
        http::Call call;
        base::BackendId backend;
        std::optional<http::HttpResponse> response;
    };
    struct ActiveRequest {
        http::HttpRequest request;
        http::Responder responder;
        base::ServiceId service;
        std::uint64_t revision = 0;
        std::size_t kind = 0;
        std::string kindName;
        base::TeamId client;
        base::MonotonicTime arrivedAt;
        base::MonotonicTime deadline;
        /// The claimed idempotency key; empty when the request has no claim to settle.
        std::string claimedKey;
        std::map<routing::AttemptId, Attempt> attempts;
    };
    struct Service {
        std::uint64_t revision = 0;
        routing::Dispatcher dispatcher;
        http::Timer timer;
    };

    void admit(routing::RequestId id);
    void claimKey(routing::RequestId id, const std::string& key);
    void handleClaimResult(routing::RequestId id, const std::string& key, const ProposalResult& result);
    void settleClaim(const ActiveRequest& request, routing::RequestId id, routing::Outcome outcome,
        const http::HttpResponse& answer);
    void onClientDisconnected(routing::RequestId id);
    void applyActions(const base::ServiceId& service, const routing::Actions& actions);
    void applyAction(const base::ServiceId& service, const routing::Dispatch& action);
    void applyAction(const base::ServiceId& service, const routing::Refuse& action);
    void applyAction(const base::ServiceId& service, const routing::Conclude& action);
    void applyAction(const base::ServiceId& service, const routing::Abort& action);
    void finishAttempt(
        const base::ServiceId& service, routing::RequestId id, routing::AttemptId attempt, http::ExchangeResult result);
    void answer(routing::RequestId id, routing::Outcome outcome, http::HttpResponse response, std::string_view reason);
    void scheduleTimer(const base::ServiceId& service);
    [[nodiscard]] std::string globalRequestId(routing::RequestId id) const;
    [[nodiscard]] http::HttpRequest buildForwardedRequest(routing::RequestId id, const ActiveRequest& request) const;
    [[nodiscard]] std::string_view documentFreshness() const;

    http::EventLoop& m_loop;
    const ServerOptions& m_options;
    const base::Log& m_log;
    base::Random& m_random;
    Replica& m_replica;
    CommandSubmitter& m_submitter;
    BackendRegistry& m_backends;
    std::function<void(const base::ServiceId&)> m_onServiceAdded;
    http::HttpClient m_httpClient;
    routing::DocumentMap m_documents;
    std::map<base::ServiceId, Service> m_services;
    std::map<routing::RequestId, ActiveRequest> m_requests;
    routing::RequestId m_nextRequest = 1;
    std::string m_requestIdPrefix;
    GatewayCounters m_counters;
};

} // namespace crocuscove::server
