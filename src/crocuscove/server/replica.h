#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/random.h"
#include "crocuscove/base/time.h"
#include "crocuscove/consensus/raft.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/replication/replicated_log.h"
#include "crocuscove/server/server_options.h"
#include "crocuscove/state/state.h"

#include <functional>
#include <optional>

namespace crocuscove::server {

using replication::ProposalOutcome;

struct ProposalResult {
    ProposalOutcome outcome = ProposalOutcome::Unknown;
    state::CommandResult result;
};

using ProposalCallback = std::function<void(const ProposalResult&)>;

struct ReplicaHooks {
    std::function<void(const consensus::Message&)> send;
    /// Runs after log entries were applied or a snapshot was installed.
    std::function<void()> onApplied;
    std::function<void(const consensus::RoleChange&)> onRoleChange;
};

/// This node's copy of the replicated state: the Raft log and the state machine that applies its entries.
class Replica {
public:
    /// Opens the data folder of a voter. Throws base::Error when it is locked, corrupt or in an unsupported format.
    Replica(http::EventLoop& loop, const ServerOptions& options, const base::Log& log, base::Random& random,
        ReplicaHooks hooks);

    void step(const consensus::Message& message) { m_replicatedLog.step(message); }

    /// Proposes a command when this node leads. `callback` runs exactly once; NotExecuted when the node doesn't lead.
    void propose(const state::Command& command, base::MonotonicTime deadline, ProposalCallback callback);

    /// See replication::ReplicatedLog::confirmCurrent.
    void confirmCurrent(base::MonotonicTime deadline, std::function<void(bool isCurrent)> callback);

    [[nodiscard]] const state::State& state() const { return m_state; }
    [[nodiscard]] const consensus::Raft& raft() const { return m_replicatedLog.raft(); }
    [[nodiscard]] bool isLeader() const { return m_replicatedLog.isLeader(); }
    /// See replication::ReplicatedLog::leader.
    [[nodiscard]] base::NodeId leader() const { return m_replicatedLog.leader(); }

    /// Tells whether this node leads and has applied everything that was committed before its term.
    [[nodiscard]] bool isServing() const { return isLeader() && raft().term() == m_servingTerm; }

    /// Finds out whether a leader has applied what was committed before its term; see isServing().
    void confirmServing();

    /// Index of the last log entry that this node has applied.
    [[nodiscard]] consensus::Index appliedIndex() const { return m_replicatedLog.appliedIndex(); }

    /// See replication::ReplicatedLog::isCurrent.
    [[nodiscard]] bool isCurrent(base::MonotonicTime now) const { return m_replicatedLog.isCurrent(now); }

private:
    replication::ReplicatedLogHooks replicatedLogHooks(ReplicaHooks hooks);
    void advanceStaleTime(base::MonotonicTime deadline);

    state::State m_state;
    /// Result of the last applied log entry.
    state::CommandResult m_lastResult;
    bool m_isConfirming = false;
    std::optional<consensus::Term> m_servingTerm;
    replication::ReplicatedLog m_replicatedLog;
};

} // namespace crocuscove::server
