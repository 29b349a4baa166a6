#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/random.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/control/node_message.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/jobs/fleet_state.h"
#include "crocuscove/link/frame_connection.h"
#include "crocuscove/replication/replicated_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::control {

using replication::ProposalOutcome;

struct ClusterHooks {
    /// Runs after commands were applied, with these commands; with none after a snapshot was installed.
    std::function<void(const std::vector<jobs::Command>&)> onApplied;
    /// Runs when this node starts or stops to serve as the leader.
    std::function<void(bool isServing)> onServing;
    /// Runs when this node's disk has failed to take a write, and when it takes writes again.
    std::function<void(bool isAvailable)> onStorageChange = [](bool /*isAvailable*/) {};
    /// Handles a client's request on the leader and answers it exactly once.
    std::function<void(const ForwardedRequest&, std::function<void(ForwardedAnswer)>)> onRequest;
};

/// This node's part in the cluster of control nodes: connections to the others, the replicated state of the fleet,
/// and, on the leader, who votes.
class Cluster {
public:
    Cluster(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, base::Random& random,
        ClusterHooks hooks);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    [[nodiscard]] const jobs::FleetState& state() const { return m_state; }

    /// Tells whether this node leads, has applied all that earlier leaders committed, and the cluster is formed.
    [[nodiscard]] bool isServing() const { return m_isServing; }
    /// Tells whether no other node can lead at `now`.
    [[nodiscard]] bool hasLeadership(base::MonotonicTime now) const;
    /// Tells whether an order with this fencing token may be sent at `now`.
    [[nodiscard]] bool mayOrder(std::uint64_t fencingToken, base::MonotonicTime now) const
    {
        return fencingToken == m_servingTerm && hasLeadership(now);
    }
    /// Term in which this node serves as the leader; the fencing token of its orders.
    [[nodiscard]] std::uint64_t servingTerm() const { return m_servingTerm; }
    /// Address of the serving leader as far as known; empty when there is none.
    [[nodiscard]] std::string leaderAddress() const;

    /// Tells whether this node has heard from the leader lately, so that its state is at most some heartbeats old.
    [[nodiscard]] bool isInContact(base::MonotonicTime now) const
    {
        return m_log.isCurrent(now) && m_log.raft().hasQuorumContact(now);
    }
    /// Address of the node that a worker's reports should go to. Workers are spread over the other nodes, so that their
    /// reports cost the leader nothing; without another node it is this one.
    [[nodiscard]] std::string reportAddress(const std::string& workerId) const;

    /// Returns false while this node leads, but nothing that it proposed has been committed for about as long as a
    /// proposal may take, so that a further one would wait in vain.
    [[nodiscard]] bool canCommit() const;

    /// Proposes a command; those of one loop turn are committed together. `callback` runs exactly once.
    void propose(jobs::Command command, std::function<void(ProposalOutcome)> callback);

    /// Records an order for a VM. Runs `callback` once that is committed, and tells whether this node still leads.
    void recordVmOrder(const std::string& vm, std::function<void(bool mayOrder)> callback);
    /// Tells whether an order for the VM may be sent at `now`: no other leader has ordered something for it within
    /// `lease`, and what this node sent in an earlier term is no longer on its way (RULES, ONE).
    [[nodiscard]] bool mayOrderVm(const std::string& vm, base::Milliseconds lease, base::MonotonicTime now) const;

    /// Runs `callback` once the state is known to be current, or with false.
    void confirmCurrent(std::function<void(bool)> callback);

private:
    struct Peer {
        std::unique_ptr<link::FrameConnection> connection;
        /// Id of the node that answers at this address; empty until it has said so.
        std::string node;
        bool isReady = false;
        base::MonotonicTime reconnectAt;
        base::MonotonicTime knownSince;
        /// When it answered last, or became known.
        base::MonotonicTime heardAt;
        /// Ticks without an answer on this connection.
        std::uint32_t silentTicks = 0;
    };
    struct Pending {
        std::vector<jobs::Command> commands;
        std::vector<std::function<void(ProposalOutcome)>> callbacks;
    };

    replication::ReplicatedLogOptions logOptions() const;
    replication::ReplicatedLogHooks logHooks();
    void tick();
    void followCommits();
    void connectPeers(base::MonotonicTime now);
    void connect(const std::string& address, Peer& peer);
    void disconnect(const std::string& address, Peer& peer, std::string_view cause);
    void accept(std::unique_ptr<link::FrameConnection> connection);
    void onInbound(std::uint64_t id, std::string_view frame);
    void handleRequest(std::uint64_t id, const ForwardedRequest& request);
    void onOutbound(const std::string& address, std::string_view frame);
    void learn(const std::string& address);
    /// Makes room in the full table of peers. Returns false when each of them is needed.
    bool forgetPeer();
    [[nodiscard]] bool mayForget(const std::string& address, const Peer& peer) const;
    void learnNodes(const ClusterView& view);
    void heardFrom(const std::string& node);
    void send(const consensus::Message& message);
    [[nodiscard]] std::string addressOf(const std::string& node) const;
    /// Tells whether a node's process answers. It may still take no part in the consensus.
    [[nodiscard]] bool isAlive(const std::string& node, base::MonotonicTime now) const;
    /// On the leader, tells whether a member has answered the consensus lately.
    [[nodiscard]] bool isTakingPart(const base::NodeId& member, base::MonotonicTime now) const;
    [[nodiscard]] ClusterView view() const;
    void flushProposals();
    /// Proposes the commands in one entry, or in several where one would be too large.
    void proposeTogether(Pending pending);
    void onRoleChange(const consensus::RoleChange& change);
    void confirmLeadership();
    void setServing(bool isServing);
    [[nodiscard]] bool isFormed() const;
    void manageMembers(base::MonotonicTime now);
    bool admitNodes(base::MonotonicTime now);
    bool removeReplaced(base::MonotonicTime now);
    bool replaceLost(base::MonotonicTime now);
    bool promote(base::MonotonicTime now);
    /// The learner that takes part and has the most entries; nothing when there is none.
    [[nodiscard]] std::optional<base::NodeId> bestLearner(base::MonotonicTime now) const;
    bool change(consensus::ChangeKind kind, const std::string& node, std::string_view reason);

    http::EventLoop& m_loop;
    const ControlOptions& m_options;
    const base::Log& m_logLines;
    ClusterHooks m_hooks;
    jobs::FleetState m_state;
    std::vector<jobs::Command> m_applied;
    /// When this node learned of the last order for each VM.
    std::map<std::string, base::MonotonicTime> m_vmOrderSeenAt;
    replication::ReplicatedLog m_log;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, base::MonotonicTime> m_heard;
    struct Inbound {
        std::unique_ptr<link::FrameConnection> connection;
        Hello hello;
    };
    std::map<std::uint64_t, Inbound> m_inbound;
    std::uint64_t m_nextInbound = 1;
    Pending m_pending;
    consensus::Index m_lastCommit = 0;
    /// Ticks in which entries waited and none was committed.
    std::uint32_t m_stalledTicks = 0;
    bool m_isServing = false;
    std::uint64_t m_servingTerm = 0;
    bool m_isConfirming = false;
    /// When this node last stopped to serve, or started: it sent no order in an earlier term after that.
    base::MonotonicTime m_earlierTermEndedAt = base::monotonicNow();
    /// When this node last became the leader.
    base::MonotonicTime m_leaderSince;
    std::unique_ptr<link::FrameListener> m_listener;
    http::Timer m_timer;
};

} // namespace crocuscove::control
