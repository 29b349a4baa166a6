#include "command_submitter.h"

#include "../state/codec.h"
#include "crocuscove/base/error.h"

#include <algorithm>
#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds retryInterval { 50 };
/// An attempt without a response after this time is retried.
constexpr base::Milliseconds attemptTimeout { 1000 };
constexpr base::Milliseconds forwardedCommandTimeout { 5000 };
constexpr std::size_t maxPendingSubmissions = 65536;

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
    if (m_submissions.size() >= maxPendingSubmissions) {
        callback({ ProposalOutcome::NotExecuted, {} });
        return;
    }
    const SubmissionId id = m_nextId++;
    m_submissions.emplace(id, Submission { command, deadline, std::move(callback), false, {} });
    startAttempt(id);
}

void CommandSubmitter::startAttempt(SubmissionId id)
{
    const Submission& submission = m_submissions.at(id);
    const auto deadline = std::min(submission.deadline, base::MonotonicTime(base::monotonicNow() + attemptTimeout));
    if (m_replica.isLeader()) {
        m_replica.propose(
            submission.command, deadline, [this, id](const ProposalResult& result) { onAttemptFinished(id, result); });
        return;
    }
    const base::NodeId leader = m_replica.leader();
    if (leader.empty() || !forwardToLeader(id, leader, deadline)) {
        scheduleRetry(id);
    }
}

bool CommandSubmitter::forwardToLeader(SubmissionId id, const base::NodeId& leader, base::MonotonicTime deadline)
{
    const std::string payload = state::encodeCommand(m_submissions.at(id).command);
    return m_rpc.call(
        leader, Procedure::SubmitCommand, payload, deadline, [this, id](const std::optional<std::string>& answer) {
            ProposalResult result;
            if (answer) {
                auto reply = base::decode<SubmitReply>(*answer);
                result = { reply.outcome, std::move(reply.result) };
            }
            onAttemptFinished(id, result);
        });
}

void CommandSubmitter::onAttemptFinished(SubmissionId id, const ProposalResult& result)
{
    if (result.outcome == ProposalOutcome::Applied) {
        complete(id, result);
        return;
    }
    Submission& submission = m_submissions.at(id);
    submission.mayBeApplied = submission.mayBeApplied || result.outcome == ProposalOutcome::Unknown;
    scheduleRetry(id);
}

void CommandSubmitter::complete(SubmissionId id, const ProposalResult& result)
{
    const auto submission = m_submissions.extract(id);
    submission.mapped().callback(result);
}

void CommandSubmitter::scheduleRetry(SubmissionId id)
{
    Submission& submission = m_submissions.at(id);
    const auto now = base::monotonicNow();
    if (submission.deadline <= now) {
        complete(id, { submission.mayBeApplied ? ProposalOutcome::Unknown : ProposalOutcome::NotExecuted, {} });
        return;
    }
    const auto next = std::min(submission.deadline, base::MonotonicTime(now + retryInterval));
    submission.timer = m_loop.runAt(next, [this, id] { startAttempt(id); });
}

void CommandSubmitter::handleForwarded(const std::string& payload, const PeerRpc::Reply& reply)
{
    const auto command = state::decodeCommand(payload);
    m_replica.propose(command, base::monotonicNow() + forwardedCommandTimeout, [reply](const ProposalResult& result) {
        reply(base::encode(SubmitReply { result.outcome, result.result }));
    });
}

} // namespace crocuscove::server
