#pragma once

#include "peer_rpc.h"
#include "replica.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocuscove::server {

/// Brings commands to the leader, wherever it is, and tells truthfully what became of them.
class CommandSubmitter {
public:
    /// The references must outlive this.
    CommandSubmitter(http::EventLoop& loop, Replica& replica, PeerRpc& rpc);

    /// Submits a command that may be applied twice with the same effect as once, since it is sent again when an answer
    /// is lost. `callback` runs exactly once, at `deadline` at the latest: NotExecuted only if no attempt can take
    /// effect.
    void submit(const state::Command& command, base::MonotonicTime deadline, ProposalCallback callback);

    /// Handles a command that another node submits here.
    void receive(const std::string& payload, const PeerRpc::Reply& reply);

private:
    struct Submission {
        state::Command command;
        base::MonotonicTime deadline;
        ProposalCallback callback;
        /// An earlier attempt may have taken effect.
        bool mayBeApplied = false;
        http::Timer timer;
    };
    using SubmissionId = std::uint64_t;

    void attempt(SubmissionId id);
    bool attemptAt(SubmissionId id, const base::NodeId& leader, base::MonotonicTime deadline);
    void finishAttempt(SubmissionId id, const ProposalResult& result);
    void conclude(SubmissionId id, const ProposalResult& result);
    void retryLater(SubmissionId id);

    http::EventLoop& m_loop;
    Replica& m_replica;
    PeerRpc& m_rpc;
    SubmissionId m_nextId = 1;
    std::map<SubmissionId, Submission> m_submissions;
};

} // namespace crocuscove::server
