#include "cluster.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::control {

namespace {

using namespace std::chrono_literals;

constexpr base::Milliseconds tickInterval { 200 };
constexpr base::Milliseconds reconnectPause { 200 };
/// How long a proposal or a confirmation may take. Callers ask again after a second without an answer.
constexpr base::Milliseconds proposalTimeout { 2'000 };
/// Short, since nothing starts without a leader; a few syncs of a slow disk and round trips between regions fit.
constexpr base::Milliseconds heartbeatInterval { 80 };
constexpr base::Milliseconds electionTimeoutMin { 350 };
constexpr base::Milliseconds electionTimeoutMax { 700 };
/// Below the shortest election timeout, with room for the clocks' drift.
constexpr base::Milliseconds leadershipValidity { 300 };
/// How long an order may be on its way. Added to the lease of another leader's order.
constexpr base::Milliseconds vmOrderMargin { 500 };
/// An address that belongs to no member and doesn't answer is forgotten after this time.
constexpr base::Milliseconds strangerMemory { 30'000 };
constexpr std::size_t maxKnownAddresses = 64;
/// A peer that leaves the requests of so many ticks without an answer is connected to again: 3 s, longer than a pause
/// of a busy node. Ticks are counted, since a pause of this node is no silence of the peer.
constexpr std::uint32_t maxSilentTicks = 15;
/// 1.6 s; below the time that a proposal may take, so that only the first ones that can't be committed are held for it.
constexpr std::uint32_t maxStalledTicks = 8;
constexpr std::uint32_t statusInternalError = 500;

std::string nodeName(std::uint64_t folderId) { return fmt::format("n{:016x}", folderId); }

} // namespace

Cluster::Cluster(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, base::Random& random,
    ClusterHooks hooks)
    : m_loop(loop)
    , m_options(options)
    , m_logLines(log)
    , m_hooks(std::move(hooks))
    , m_log(loop, logOptions(), log, random, logHooks())
{
    std::ranges::for_each(options.seeds, [this](const base::Endpoint& seed) { learn(seed.host); });
    std::ranges::for_each(m_state.nodes(), [this](const auto& node) { learn(node.second); });
    m_listener
        = std::make_unique<link::FrameListener>(loop, base::Endpoint { options.listen.host, options.internalPort },
            link::FrameOptions {}, [this](auto connection) { accept(std::move(connection)); });
    m_timer = loop.runEvery(tickInterval, [this] { tick(); });
    connectPeers(base::monotonicNow());
}

Cluster::~Cluster() = default;

// The first of the seeds founds the cluster alone, and serves once enough others have joined. All nodes that start for
// the first time have the same seeds, so that there is one founder. A node that lost its disk is not told that it is a
// first start, and joins.
replication::ReplicatedLogOptions Cluster::logOptions() const
{
    replication::ReplicatedLogOptions result;
    result.dataFolder = m_options.dataFolder;
    result.heartbeatInterval = heartbeatInterval;
    result.electionTimeoutMin = electionTimeoutMin;
    result.electionTimeoutMax = electionTimeoutMax;
    result.nodeFromFolder = [](std::uint64_t folderId) { return base::NodeId(nodeName(folderId)); };
    const auto founder = std::ranges::min_element(m_options.seeds, {}, &base::Endpoint::host);
    const bool isAlone = m_options.seeds.empty();
    if (m_options.isFirstStart && (isAlone || founder->host == m_options.listen.host)) {
        result.firstMembership = [](const base::NodeId& self) { return consensus::Membership { { self }, {} }; };
    }
    return result;
}

replication::ReplicatedLogHooks Cluster::logHooks()
{
    replication::ReplicatedLogHooks hooks;
    hooks.send = [this](const consensus::Message& message) { send(message); };
    hooks.apply = [this](consensus::Index, std::string_view data) {
        for (jobs::Command& command : jobs::decodeCommands(data)) {
            m_state.apply(command);
            if (const auto* order = std::get_if<jobs::RecordVmOrder>(&command)) {
                m_vmOrderSeenAt[order->vm] = base::monotonicNow();
            }
            m_applied.push_back(std::move(command));
        }
    };
    hooks.encodeSnapshot = [this] { return m_state.encodeSnapshot(); };
    hooks.restoreSnapshot = [this](std::string_view bytes) {
        m_state.restoreSnapshot(bytes);
        std::ranges::for_each(m_state.vmOrderHolders(),
            [this](const auto& order) { m_vmOrderSeenAt[order.first] = base::monotonicNow(); });
    };
    hooks.onApplied = [this] { m_hooks.onApplied(std::exchange(m_applied, {})); };
    hooks.onRoleChange = [this](const consensus::RoleChange& change) { onRoleChange(change); };
    hooks.onStorageChange = [this](bool isAvailable) { m_hooks.onStorageChange(isAvailable); };
    return hooks;
}

void Cluster::learn(const std::string& address)
{
    if (address == m_options.listen.host || m_peers.contains(address)) {
        return;
    }
    if (m_peers.size() >= maxKnownAddresses && !forgetPeer()) {
        m_logLines.warning("peer_not_kept", { { "address", address }, { "peers", m_peers.size() } });
        return;
    }
    Peer& peer = m_peers[address];
    peer.knownSince = base::monotonicNow();
    peer.heardAt = peer.knownSince;
}

bool Cluster::mayForget(const std::string& address, const Peer& peer) const
{
    const bool isSeed
        = std::ranges::any_of(m_options.seeds, [&](const base::Endpoint& seed) { return seed.host == address; });
    const auto& voters = m_log.raft().membership().voters;
    const bool isVoter = std::ranges::any_of(voters, [&](const base::NodeId& voter) {
        const auto node = m_state.nodes().find(voter.text());
        return node != m_state.nodes().end() && node->second == address;
    });
    return !peer.isReady && !isSeed && !isVoter;
}

// The nodes that were ever recorded include those that were replaced, which never answer again.
bool Cluster::forgetPeer()
{
    auto longestSilent = m_peers.end();
    for (auto peer = m_peers.begin(); peer != m_peers.end(); ++peer) {
        if (mayForget(peer->first, peer->second)
            && (longestSilent == m_peers.end() || peer->second.heardAt < longestSilent->second.heardAt)) {
            longestSilent = peer;
        }
    }
    if (longestSilent == m_peers.end()) {
        return false;
    }
    m_logLines.info("peer_forgotten", { { "address", longestSilent->first } });
    m_peers.erase(longestSilent);
    return true;
}

void Cluster::tick()
{
    const auto now = base::monotonicNow();
    connectPeers(now);
    followCommits();
    const std::string request = encodeNodeMessage(ViewRequest {});
    for (auto& [address, peer] : m_peers) {
        if (peer.connection && ++peer.silentTicks > maxSilentTicks) {
            disconnect(address, peer, "silent");
        }
        if (peer.isReady) {
            peer.connection->send(request);
        }
    }
    if (m_log.isLeader() && !m_isServing) {
        confirmLeadership();
    }
    if (m_log.isLeader()) {
        manageMembers(now);
    }
}

// What waits is committed without a further proposal once a quorum can store again.
void Cluster::followCommits()
{
    const bool couldCommit = canCommit();
    const consensus::Index commit = m_log.raft().commitIndex();
    const bool isWaiting = m_log.isLeader() && m_log.raft().lastIndex() > commit && commit == m_lastCommit;
    m_stalledTicks = isWaiting ? m_stalledTicks + 1 : 0;
    m_lastCommit = commit;
    if (couldCommit != canCommit()) {
        m_logLines.warning(canCommit() ? "commit_resumed" : "commit_stalled",
            { { "term", m_log.raft().term() }, { "commit", commit }, { "last", m_log.raft().lastIndex() } });
    }
}

bool Cluster::canCommit() const { return m_stalledTicks < maxStalledTicks; }

void Cluster::connectPeers(base::MonotonicTime now)
{
    std::erase_if(m_peers, [&](const auto& entry) {
        const Peer& peer = entry.second;
        const bool isMember
            = std::ranges::any_of(m_state.nodes(), [&](const auto& node) { return node.second == entry.first; });
        return !peer.isReady && !isMember && m_state.nodes().size() > 0 && now - peer.knownSince > strangerMemory;
    });
    for (auto& [address, peer] : m_peers) {
        if (!peer.connection && peer.reconnectAt <= now) {
            connect(address, peer);
        }
    }
}

void Cluster::connect(const std::string& address, Peer& peer)
{
    link::FrameHooks hooks;
    hooks.onFrame = [this, address](std::string_view frame) { onOutbound(address, frame); };
    hooks.onClosed = [this, address](std::string_view cause) {
        m_loop.post([this, address, cause = std::string(cause)] {
            const auto found = m_peers.find(address);
            if (found == m_peers.end() || !found->second.connection || found->second.connection->isOpen()) {
                return;
            }
            disconnect(address, found->second, cause);
        });
    };
    peer.silentTicks = 0;
    peer.connection = link::FrameConnection::connect(
        m_loop, { address, m_options.internalPort }, link::FrameOptions {}, std::move(hooks));
    peer.connection->send(encodeNodeMessage(Hello { m_log.node().text(), m_options.listen.host }));
}

void Cluster::disconnect(const std::string& address, Peer& peer, std::string_view cause)
{
    if (peer.isReady) {
        m_logLines.warning("peer_lost", { { "address", address }, { "peer", peer.node }, { "cause", cause } });
    }
    peer.connection.reset();
    peer.isReady = false;
    peer.reconnectAt = base::monotonicNow() + reconnectPause;
}

void Cluster::accept(std::unique_ptr<link::FrameConnection> connection)
{
    const std::uint64_t id = m_nextInbound++;
    link::FrameHooks hooks;
    hooks.onFrame = [this, id](std::string_view frame) { onInbound(id, frame); };
    hooks.onClosed = [this, id](std::string_view cause) {
        m_logLines.info("connection_closed", { { "peer", m_inbound.at(id).hello.address }, { "cause", cause } });
        m_loop.post([this, id] { m_inbound.erase(id); });
    };
    connection->setHooks(std::move(hooks));
    m_inbound.emplace(id, Inbound { std::move(connection), {} });
}

void Cluster::onInbound(std::uint64_t id, std::string_view frame)
{
    const auto found = m_inbound.find(id);
    if (found == m_inbound.end()) {
        return;
    }
    Inbound& inbound = found->second;
    const auto message = decodeNodeMessage(frame);
    heardFrom(inbound.hello.node);
    if (const auto* hello = std::get_if<Hello>(&message)) {
        inbound.hello = *hello;
        if (!hello->node.empty()) {
            learn(hello->address);
        }
        inbound.connection->send(encodeNodeMessage(Hello { m_log.node().text(), m_options.listen.host }));
        inbound.connection->send(encodeNodeMessage(view()));
    } else if (const auto* consensusFrame = std::get_if<ConsensusFrame>(&message)) {
        m_log.step(decodeConsensusFrame(*consensusFrame));
    } else if (std::holds_alternative<ViewRequest>(message)) {
        inbound.connection->send(encodeNodeMessage(view()));
    } else if (const auto* request = std::get_if<ForwardedRequest>(&message)) {
        handleRequest(id, *request);
    }
}

void Cluster::handleRequest(std::uint64_t id, const ForwardedRequest& request)
{
    const auto reply = [this, id](const ForwardedAnswer& answer) {
        const auto caller = m_inbound.find(id);
        if (caller != m_inbound.end()) {
            caller->second.connection->send(encodeNodeMessage(answer));
        }
    };
    try {
        m_hooks.onRequest(request, reply);
    } catch (const std::exception& error) {
        // Entry nodes would send the request again to the next leader, which it would end as well.
        m_logLines.error("request_failed", { { "path", request.path }, { "cause", error.what() } });
        reply({ request.id, ForwardOutcome::Answered, statusInternalError, {} });
    }
}

void Cluster::onOutbound(const std::string& address, std::string_view frame)
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    const auto message = decodeNodeMessage(frame);
    Peer& peer = found->second;
    peer.silentTicks = 0;
    peer.heardAt = base::monotonicNow();
    if (const auto* hello = std::get_if<Hello>(&message)) {
        peer.node = hello->node;
        peer.isReady = true;
        m_logLines.info("peer_connected", { { "address", address }, { "peer", hello->node } });
    }
    heardFrom(peer.node);
    if (const auto* other = std::get_if<ClusterView>(&message)) {
        // The last step, since a peer that hasn't said who it is may be forgotten by it.
        learnNodes(*other);
    }
}

void Cluster::learnNodes(const ClusterView& view)
{
    std::ranges::for_each(view.nodes, [this](const auto& node) { learn(node.second); });
}

void Cluster::heardFrom(const std::string& node)
{
    if (!node.empty()) {
        m_heard[node] = base::monotonicNow();
    }
}

std::string Cluster::addressOf(const std::string& node) const
{
    const auto connected = std::ranges::find_if(
        m_peers, [&](const auto& peer) { return peer.second.isReady && peer.second.node == node; });
    return connected == m_peers.end() ? std::string() : connected->first;
}

void Cluster::send(const consensus::Message& message)
{
    const auto peer = m_peers.find(addressOf(message.to.text()));
    if (peer != m_peers.end() && peer->second.isReady) {
        peer->second.connection->send(encodeNodeMessage(ConsensusFrame { consensus::encodeMessage(message) }));
    }
}

ClusterView Cluster::view() const
{
    ClusterView result;
    result.leader = leaderAddress();
    result.nodes[m_log.node().text()] = m_options.listen.host;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isReady) {
            result.nodes[peer.node] = address;
        }
    }
    return result;
}

std::string Cluster::leaderAddress() const
{
    if (m_isServing) {
        return m_options.listen.host;
    }
    // A node that is cut off must not send callers to a leader that may be deposed.
    const std::string& leader = m_log.raft().leader().text();
    const bool isKnown = !leader.empty() && !m_log.isLeader() && m_log.raft().hasQuorumContact(base::monotonicNow());
    return isKnown ? addressOf(leader) : std::string();
}

std::string Cluster::reportAddress(const std::string& workerId) const
{
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isReady) {
            addresses.push_back(address);
        }
    }
    return addresses.empty() ? m_options.listen.host
                             : addresses[std::hash<std::string> {}(workerId) % addresses.size()];
}

bool Cluster::hasLeadership(base::MonotonicTime now) const
{
    const auto confirmed = m_log.raft().leadershipConfirmedAt();
    // The term rises as soon as a vote for another node is seen, before the change of role is handled.
    return m_isServing && m_log.isLeader() && m_log.raft().term() == m_servingTerm && confirmed
        && now - *confirmed < leadershipValidity;
}

void Cluster::propose(jobs::Command command, std::function<void(ProposalOutcome)> callback)
{
    m_pending.commands.push_back(std::move(command));
    m_pending.callbacks.push_back(std::move(callback));
    if (m_pending.commands.size() == 1) {
        m_loop.post([this] { flushProposals(); });
    }
}

void Cluster::flushProposals() { proposeTogether(std::exchange(m_pending, {})); }

void Cluster::proposeTogether(Pending pending)
{
    std::string entry = jobs::encodeCommands(pending.commands);
    if (entry.size() > consensus::maxEntryBytes && pending.commands.size() > 1) {
        // An entry that is too large is refused as a whole, so that a large command would have the others refused.
        const auto half = static_cast<std::ptrdiff_t>(pending.commands.size() / 2);
        Pending rest;
        std::move(pending.commands.begin() + half, pending.commands.end(), std::back_inserter(rest.commands));
        std::move(pending.callbacks.begin() + half, pending.callbacks.end(), std::back_inserter(rest.callbacks));
        pending.commands.resize(static_cast<std::size_t>(half));
        pending.callbacks.resize(static_cast<std::size_t>(half));
        proposeTogether(std::move(pending));
        proposeTogether(std::move(rest));
        return;
    }
    m_log.propose(std::move(entry), base::monotonicNow() + proposalTimeout,
        [callbacks = std::move(pending.callbacks)](ProposalOutcome outcome) {
            std::ranges::for_each(callbacks, [&](const auto& callback) {
                if (callback) {
                    callback(outcome);
                }
            });
        });
}

void Cluster::recordVmOrder(const std::string& vm, std::function<void(bool mayOrder)> callback)
{
    propose(jobs::RecordVmOrder { vm, m_options.name },
        [this, term = m_servingTerm, callback = std::move(callback)](ProposalOutcome outcome) {
            callback(
                outcome == ProposalOutcome::Applied && term == m_servingTerm && hasLeadership(base::monotonicNow()));
        });
}

bool Cluster::mayOrderVm(const std::string& vm, base::Milliseconds lease, base::MonotonicTime now) const
{
    const auto order = m_state.vmOrderHolders().find(vm);
    if (order == m_state.vmOrderHolders().end()) {
        return true;
    }
    if (order->second == m_options.name) {
        return now - m_earlierTermEndedAt >= vmOrderMargin;
    }
    const auto seen = m_vmOrderSeenAt.find(vm);
    return seen != m_vmOrderSeenAt.end() && now - seen->second >= lease + vmOrderMargin;
}

void Cluster::confirmCurrent(std::function<void(bool)> callback)
{
    m_log.confirmCurrent(base::monotonicNow() + proposalTimeout, std::move(callback));
}

void Cluster::onRoleChange(const consensus::RoleChange& change)
{
    if (change.role != consensus::Role::Leader) {
        setServing(false);
        return;
    }
    m_leaderSince = base::monotonicNow();
    confirmLeadership();
}

bool Cluster::isFormed() const
{
    const std::size_t wanted
        = std::min<std::size_t>(m_options.votersWanted, std::max<std::size_t>(1, m_options.seeds.size()));
    return m_state.configuration().version > 0 || m_log.raft().membership().voters.size() >= wanted;
}

// A new leader serves once it has applied everything that was committed before its term.
void Cluster::confirmLeadership()
{
    if (m_isConfirming || !isFormed()) {
        return;
    }
    m_isConfirming = true;
    m_log.confirmCurrent(base::monotonicNow() + proposalTimeout, [this](bool isCurrent) {
        m_isConfirming = false;
        if (isCurrent && m_log.isLeader()) {
            setServing(true);
        }
    });
}

void Cluster::setServing(bool isServing)
{
    if (m_isServing == isServing) {
        return;
    }
    m_isServing = isServing;
    m_servingTerm = m_log.raft().term();
    if (!isServing) {
        m_earlierTermEndedAt = base::monotonicNow();
    }
    m_logLines.info(isServing ? "serving_started" : "serving_stopped",
        { { "term", m_log.raft().term() }, { "applied", m_log.appliedIndex() } });
    m_hooks.onServing(isServing);
}

} // namespace crocuscove::control
