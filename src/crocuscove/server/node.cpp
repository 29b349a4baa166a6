#include "node.h"

#include "crocuscove/base/error.h"

#include <algorithm>
#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds statusBroadcastInterval { 500 };
constexpr base::Milliseconds leaderTickInterval { 200 };
constexpr base::Milliseconds shutdownPollInterval { 50 };
/// Time that open requests get to finish after shutdown was requested.
constexpr base::Milliseconds shutdownTimeout { 30'000 };
/// An admin request holds at most one document, or the report of a worker with many tasks.
constexpr std::size_t maxAdminBodyBytes = std::size_t { 1 } * 1024 * 1024;
/// Upper limit of maxBodyBytes in a service document.
constexpr std::size_t maxClientBodyBytes = std::size_t { 64 } * 1024 * 1024;

std::uint64_t processIncarnation() { return static_cast<std::uint64_t>(base::wallNow().time_since_epoch().count()); }

transport::PeerNetworkOptions networkOptions(const ServerOptions& options, std::uint64_t incarnation)
{
    return { options.cluster, options.node, incarnation, options.peerListen, options.peers };
}

http::HttpServerOptions serverOptions(const base::Endpoint& listen, std::size_t maxBodyBytes)
{
    http::HttpServerOptions options;
    options.listen = listen;
    options.maxBodyBytes = maxBodyBytes;
    return options;
}

} // namespace

Node::Node(http::EventLoop& loop, ServerOptions options, const base::Log& log)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_log(log)
    , m_random(*m_options.seed)
    , m_incarnation(processIncarnation())
    , m_network(loop, networkOptions(m_options, m_incarnation),
          [this](const transport::PeerMessage& message) { receivePeerMessage(message); })
    , m_rpc(
          loop,
          [this](const auto& peer, auto kind, const auto& payload) { return m_network.send(peer, kind, payload); },
          [this](Procedure procedure, const std::string& payload, const PeerRpc::Reply& reply) {
              handlePeerCall(procedure, payload, reply);
          })
    , m_replica(loop, m_options, log, m_random,
          { [this](const consensus::Message& message) {
               m_network.send(message.to, transport::MessageKind::Consensus, consensus::encodeMessage(message));
           },
              [this] { onEntriesApplied(); }, [this](const consensus::RoleChange& change) { onRoleChanged(change); } })
    , m_submitter(loop, m_replica, m_rpc)
    , m_nodes(m_options, m_incarnation, m_replica, [this] { return m_gateway.serviceLoads(); })
    , m_backends(loop, log, m_options.node,
          { [this](const std::string& payload) { broadcast(transport::MessageKind::Backends, payload); },
              [this](const base::ServiceId& service) { onBackendsChanged(service); },
              [this](const InFlightReport& report) { m_slots.report(report); },
              [this] { return m_nodes.clockReadings(); } })
    , m_gateway(loop, m_options, log, m_random, m_replica, m_submitter, m_backends,
          [this](const base::ServiceId& service) { onBackendsChanged(service); })
    , m_slots(loop, m_options, m_incarnation, log, m_replica,
          { [this](const base::NodeId& node, const std::string& payload) {
               m_network.send(node, transport::MessageKind::Slots, payload);
           },
              [this](const base::ServiceId& service) { return m_gateway.slotUsage(service); },
              [this](const base::ServiceId& service, const std::vector<routing::SlotLimit>& limits) {
                  m_gateway.updateSlots(service, limits);
              } })
    , m_entryNodes(log, m_options, m_replica, m_nodes)
    , m_jobs(log, m_replica)
    , m_platform(m_options.platform ? std::make_optional<PlatformClient>(loop, log, *m_options.platform) : std::nullopt)
    , m_maintenance(m_platform
              ? std::make_optional<MaintenanceController>(log, m_replica, m_backends, m_jobs, m_nodes, *m_platform)
              : std::nullopt)
    , m_documentApi(log, m_replica, m_submitter, m_nodes)
    , m_fleetApi(log, m_replica, m_submitter, m_backends, m_gateway, m_jobs, m_rpc)
    , m_statusApi({ m_replica, m_nodes, m_backends, m_gateway, m_maintenance ? &*m_maintenance : nullptr, m_network })
    , m_adminServer(loop, serverOptions(m_options.adminListen, maxAdminBodyBytes),
          [this](http::HttpRequest request, const http::Responder& responder) {
              m_router.handle(std::move(request), responder);
          })
    , m_statusTimer(loop.runEvery(statusBroadcastInterval,
          [this] { broadcast(transport::MessageKind::NodeStatus, m_nodes.encodeOwnStatus()); }))
    , m_leaderTimer(loop.runEvery(leaderTickInterval, [this] { tickLeader(); }))
{
    m_documentApi.addRoutes(m_router);
    m_fleetApi.addRoutes(m_router);
    m_statusApi.addRoutes(m_router);
    if (m_options.isEntry) {
        m_clientServer.emplace(loop, serverOptions(m_options.clientListen, maxClientBodyBytes),
            [this](http::HttpRequest request, http::Responder responder) {
                m_gateway.handle(std::move(request), std::move(responder));
            });
    }
    onEntriesApplied();
    m_log.info("node_started",
        { { "client_port", m_clientServer ? m_clientServer->port() : 0 }, { "admin_port", m_adminServer.port() },
            { "peer_listen", m_options.peerListen.text() }, { "seed", *m_options.seed } });
}

void Node::receivePeerMessage(const transport::PeerMessage& message)
{
    try {
        dispatchPeerMessage(message);
    } catch (const storage::StorageError&) {
        throw;
    } catch (const std::exception& error) {
        m_log.warning("peer_message_refused", { { "sender", message.sender.text() }, { "cause", error.what() } });
    }
}

void Node::dispatchPeerMessage(const transport::PeerMessage& message)
{
    using transport::MessageKind;
    switch (message.kind) {
    case MessageKind::Consensus: {
        const auto decoded = consensus::decodeMessage(message.payload);
        if (decoded.from == message.sender) {
            m_replica.step(decoded);
        }
        break;
    }
    case MessageKind::ForwardRequest:
    case MessageKind::ForwardResponse:
        m_rpc.receive(message);
        break;
    case MessageKind::Backends:
        m_backends.receive(message.payload);
        break;
    case MessageKind::NodeStatus:
        m_nodes.receive(message);
        break;
    case MessageKind::Slots:
        m_slots.receive(message.sender, message.payload);
        break;
    case MessageKind::Membership:
        break;
    }
}

void Node::handlePeerCall(Procedure procedure, const std::string& payload, const PeerRpc::Reply& reply)
{
    switch (procedure) {
    case Procedure::SubmitCommand:
        m_submitter.handleForwarded(payload, reply);
        break;
    case Procedure::WorkerReport:
        m_fleetApi.handleForwardedReport(payload, reply);
        break;
    }
}

void Node::broadcast(transport::MessageKind kind, const std::string& payload)
{
    std::ranges::for_each(m_options.peers, [&](const auto& peer) {
        if (peer.first != m_options.node) {
            m_network.send(peer.first, kind, payload);
        }
    });
}

void Node::onEntriesApplied()
{
    m_gateway.updateDocuments();
    m_slots.updateEntryNodes();
}

// The gateway is updated first because its dispatcher must know a backend server before it receives slots there.
void Node::onBackendsChanged(const base::ServiceId& service)
{
    const auto views = m_backends.directory().views(service);
    m_gateway.updateBackends(service, views);
    m_slots.updateBackends(service, views);
}

void Node::onRoleChanged(const consensus::RoleChange& change)
{
    const bool isLeader = change.role == consensus::Role::Leader;
    if (isLeader && !m_wasLeader) {
        m_jobs.beginLeading(base::monotonicNow());
        m_entryNodes.beginLeading(base::monotonicNow());
        if (m_maintenance) {
            m_maintenance->beginLeading();
        }
        m_replica.confirmServing();
    }
    m_wasLeader = isLeader;
}

void Node::tickLeader()
{
    if (!m_replica.isLeader()) {
        return;
    }
    if (!m_replica.isServing()) {
        m_replica.confirmServing();
        return;
    }
    const auto now = base::monotonicNow();
    m_entryNodes.tick(now);
    m_jobs.tick(now);
    if (m_maintenance) {
        m_maintenance->tick(now);
    }
}

void Node::beginShutdown()
{
    if (m_isShuttingDown) {
        return;
    }
    m_isShuttingDown = true;
    m_shutdownDeadline = base::monotonicNow() + shutdownTimeout;
    m_nodes.beginStop();
    if (m_clientServer) {
        m_clientServer->stopAccepting();
    }
    m_log.info("stop_requested", { { "open_requests", m_gateway.openRequests() } });
    m_shutdownTimer = m_loop.runEvery(shutdownPollInterval, [this] { pollShutdown(); });
}

void Node::pollShutdown()
{
    const bool isDone = m_gateway.openRequests() == 0 && (!m_clientServer || m_clientServer->openRequests() == 0);
    if (isDone || m_shutdownDeadline <= base::monotonicNow()) {
        m_log.info("node_stopped", { { "open_requests", m_gateway.openRequests() } });
        m_loop.stop();
    }
}

} // namespace crocuscove::server
