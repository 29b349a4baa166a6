#pragma once

#include "backend_registry.h"
#include "command_submitter.h"
#include "crocuscove/server/server_options.h"
#include "document_api.h"
#include "entry_node_controller.h"
#include "fleet_api.h"
#include "gateway.h"
#include "http_router.h"
#include "job_controller.h"
#include "maintenance_controller.h"
#include "node_table.h"
#include "peer_rpc.h"
#include "platform_client.h"
#include "replica.h"
#include "slot_coordinator.h"
#include "status_api.h"

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/http_server.h"
#include "crocuscove/transport/peer_network.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace crocuscove::server {

/// A node of the cluster. It connects all modules of the server and runs them on one event loop.
class Node {
public:
    Node(http::EventLoop& loop, ServerOptions options, const base::Log& log);

    /// Begins a graceful shutdown: the readiness check fails at once, open requests may finish, then the loop stops.
    void beginShutdown();

private:
    void receivePeerMessage(const transport::PeerMessage& message);
    void dispatchPeerMessage(const transport::PeerMessage& message);
    void handlePeerCall(Procedure procedure, const std::string& payload, const PeerRpc::Reply& reply);
    void broadcast(transport::MessageKind kind, const std::string& payload);
    void onRoleChanged(const consensus::RoleChange& change);
    void tickLeader();
    void onEntriesApplied();
    void onBackendsChanged(const base::ServiceId& service);
    void pollShutdown();

    http::EventLoop& m_loop;
    ServerOptions m_options;
    const base::Log& m_log;
    base::Random m_random;
    /// Higher than that of any earlier process of this node.
    std::uint64_t m_incarnation;
    transport::PeerNetwork m_network;
    PeerRpc m_rpc;
    Replica m_replica;
    CommandSubmitter m_submitter;
    NodeTable m_nodes;
    BackendRegistry m_backends;
    Gateway m_gateway;
    SlotCoordinator m_slots;
    EntryNodeController m_entryNodes;
    JobController m_jobs;
    std::optional<PlatformClient> m_platform;
    std::optional<MaintenanceController> m_maintenance;
    DocumentApi m_documentApi;
    FleetApi m_fleetApi;
    StatusApi m_statusApi;
    HttpRouter m_router;
    http::HttpServer m_adminServer;
    std::optional<http::HttpServer> m_clientServer;
    http::Timer m_statusTimer;
    http::Timer m_leaderTimer;
    http::Timer m_shutdownTimer;
    base::MonotonicTime m_shutdownDeadline;
    bool m_isShuttingDown = false;
    bool m_wasLeader = false;
};

} // namespace crocuscove::server
