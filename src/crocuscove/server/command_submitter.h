#pragma once

#include "peer_rpc.h"
#include "replica.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocuscove::server {

/// Proposes commands on the leader, locally or over RPC, retries until the deadline, and reports the outcome.
class CommandSubmitter {
public:
    /// The references must outlive this.
    CommandSubmitter(http::EventLoop& loop, Replica& replica, PeerRpc& rpc);

    /// Submits a command. It must be idempotent, because it is retried when a response is lost. `callback` runs exactly
    /// once, at `deadline` at the latest. The outcome is NotExecuted only if no attempt can take effect.
    void submit(const state::Command& command, base::MonotonicTime deadline, ProposalCallback callback);

    /// Proposes a command that another node has forwarded to this one, and replies with the outcome.
    void handleForwarded(const std::string& payload, const PeerRpc::Reply& reply);

private:
    struct Submission {
        state::Command command;
        base::MonotonicTime deadline;
        ProposalCallback callback;
        /// An earlier attempt has an unknown outcome and may have taken effect.
        bool mayBeApplied = false;
        http::Timer timer;
    };
    using SubmissionId = std::uint64_t;

    void startAttempt(SubmissionId id);
    bool forwardToLeader(SubmissionId id, const base::NodeId& leader, base::MonotonicTime deadline);
    void onAttemptFinished(SubmissionId id, const ProposalResult& result);
    void complete(SubmissionId id, const ProposalResult& result);
    void scheduleRetry(SubmissionId id);

    http::EventLoop& m_loop;
    Replica& m_replica;
    PeerRpc& m_rpc;
    SubmissionId m_nextId = 1;
    std::map<SubmissionId, Submission> m_submissions;
};

} // namespace crocuscove::server
