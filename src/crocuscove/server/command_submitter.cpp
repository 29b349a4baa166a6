#include "command_submitter.h"

#include "../state/codec.h"
#include "crocuscove/base/error.h"

#include <algorithm>
#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds retryInterval { 50 };
/// A command whose answer is later than this is sent again.
constexpr base::Milliseconds attemptTimeout { 1000 };
constexpr base::Milliseconds receivedCommandTimeout { 5000 };
constexpr std::size_t maxSubmissions = 65536;

struct SubmitReply {
    ProposalOutcome outcome = ProposalOutcome::Unknown;
    state::CommandResult result;
};

CROCUSCOVE_FIELDS(SubmitReply, v.outcome, v.result)

} // namespace

CommandSubmitter::CommandSubmitter(http::EventLoop& loop, Replica& replica, PeerRpc& rpc)
    : m_loop(loop)
    , m_replica(replica)
    , m_rpc(rpc)
{
}

void CommandSubmitter::submit(const state::Command& command, base::MonotonicTime deadline, ProposalCallback callback)
{
    if (m_submissions.size() >= maxSubmissions) {
        callback({ ProposalOutcome::NotExecuted, {} });
        return;
    }
    const SubmissionId id = m_nextId++;
    m_submissions.emplace(id, Submission { command, deadline, std::move(callback), false, {} });
    attempt(id);
}

void CommandSubmitter::attempt(SubmissionId id)
{
    const Submission& submission = m_submissions.at(id);
    const auto deadline = std::min(submission.deadline, base::MonotonicTime(base::monotonicNow() + attemptTimeout));
    if (m_replica.isLeader()) {
        m_replica.propose(
            submission.command, deadline, [this, id](const ProposalResult& result) { finishAttempt(id, result); });
        return;
    }
    const base::NodeId leader = m_replica.raft().leader();
    if (leader.empty() || !attemptAt(id, leader, deadline)) {
        retryLater(id);
    }
}

bool CommandSubmitter::attemptAt(SubmissionId id, const base::NodeId& leader, base::MonotonicTime deadline)
{
    const std::string payload = state::encodeCommand(m_submissions.at(id).command);
    return m_rpc.call(
        leader, Procedure::SubmitCommand, payload, deadline, [this, id](const std::optional<std::string>& answer) {
            ProposalResult result;
            if (answer) {
                auto reply = base::decode<SubmitReply>(*answer);
                result = { reply.outcome, std::move(reply.result) };
            }
            finishAttempt(id, result);
        });
}

void CommandSubmitter::finishAttempt(SubmissionId id, const ProposalResult& result)
{
    if (result.outcome == ProposalOutcome::Applied) {
        conclude(id, result);
        return;
    }
    Submission& submission = m_submissions.at(id);
    submission.mayBeApplied = submission.mayBeApplied || result.outcome == ProposalOutcome::Unknown;
    retryLater(id);
}

void CommandSubmitter::conclude(SubmissionId id, const ProposalResult& result)
{
    const auto submission = m_submissions.extract(id);
    submission.mapped().callback(result);
}

void CommandSubmitter::retryLater(SubmissionId id)
{
    Submission& submission = m_submissions.at(id);
    const auto now = base::monotonicNow();
    if (submission.deadline <= now) {
        conclude(id, { submission.mayBeApplied ? ProposalOutcome::Unknown : ProposalOutcome::NotExecuted, {} });
        return;
    }
    const auto next = std::min(submission.deadline, base::MonotonicTime(now + retryInterval));
    submission.timer = m_loop.runAt(next, [this, id] { attempt(id); });
}

void CommandSubmitter::receive(const std::string& payload, const PeerRpc::Reply& reply)
{
    const auto command = state::decodeCommand(payload);
    m_replica.propose(command, base::monotonicNow() + receivedCommandTimeout, [reply](const ProposalResult& result) {
        reply(base::encode(SubmitReply { result.outcome, result.result }));
    });
}

} // namespace crocuscove::server
