#include "crocuscove/consensus/raft_core.h"

#include <algorithm>

namespace crocuscove::consensus {

void Raft::Core::sendToFollowers()
{
    for (auto& [node, progress] : m_progress) {
        sendTo(node, progress);
    }
}

void Raft::Core::sendTo(const base::NodeId& node, Progress& progress)
{
    // A heartbeat also asks again for the answer to a probe or a snapshot chunk that may have been lost.
    const bool heartbeat = std::exchange(progress.heartbeatDue, false);
    if (progress.state != ProgressState::Snapshot && progress.next <= m_log.compactedIndex()) {
        progress.becomeSnapshot(m_snapshot);
    }
    if (progress.state == ProgressState::Snapshot) {
        if (heartbeat || !progress.awaitsAnswer) {
            sendSnapshotChunk(node, progress);
        }
        return;
    }
    if (progress.state == ProgressState::Probe) {
        if (heartbeat || !progress.awaitsAnswer) {
            const bool isRepeated = std::exchange(progress.awaitsAnswer, true);
            sendAppend(node, progress, !isRepeated);
        }
        return;
    }
    bool sent = false;
    while (progress.next <= m_log.lastIndex() && progress.inFlight.size() < m_options.maxBatchesInFlight) {
        sendAppend(node, progress, true);
        sent = true;
    }
    if (!sent && (heartbeat || progress.sentCommit < m_commit)) {
        sendAppend(node, progress, false);
    }
}

void Raft::Core::sendAppend(const base::NodeId& node, Progress& progress, bool withEntries)
{
    AppendRequest request;
    request.previousIndex = progress.next - 1;
    request.previousTerm = *m_log.termAt(request.previousIndex);
    request.commit = m_commit;
    request.round = m_round;
    if (withEntries) {
        request.entries
            = m_log.slice(progress.next, m_log.lastIndex(), m_options.maxBatchEntries, m_options.maxBatchBytes);
    }
    if (progress.state == ProgressState::Replicate && !request.entries.empty()) {
        progress.next += request.entries.size();
        progress.inFlight.push_back(progress.next - 1);
    }
    progress.sentCommit = m_commit;
    send(node, std::move(request));
}

void Raft::Core::handle(const Message& message, const AppendAnswer& answer)
{
    Progress* const progress = noteContact(message.from, answer.round);
    if (progress == nullptr || answer.index > m_log.lastIndex()) {
        return;
    }
    if (!answer.accepted) {
        handleRejection(*progress, answer, !m_log.membership().isVoter(message.from));
        return;
    }
    progress->match = std::max(progress->match, answer.index);
    progress->next = std::max(progress->next, progress->match + 1);
    while (!progress->inFlight.empty() && progress->inFlight.front() <= progress->match) {
        progress->inFlight.pop_front();
    }
    if (progress->state == ProgressState::Probe) {
        progress->becomeReplicate();
    }
    advanceCommit();
}

void Raft::Core::handleRejection(Progress& progress, const AppendAnswer& answer, bool isLearner)
{
    if (progress.state == ProgressState::Snapshot) {
        return;
    }
    const bool isStale = progress.state == ProgressState::Probe && answer.previousIndex + 1 != progress.next;
    if (isStale) {
        return;
    }
    // A learner without a disk restarts with an empty log. A voter never loses what it acknowledged.
    if (isLearner && answer.index < progress.match) {
        progress.match = 0;
    }
    if (answer.previousIndex <= progress.match) {
        return;
    }
    progress.becomeProbe(std::max(progress.match, std::min(answer.index, answer.previousIndex - 1)) + 1);
}

void Raft::Core::advanceCommit()
{
    if (m_role != Role::Leader) {
        return;
    }
    const Index index = m_options.fault == Fault::CommitsBeforeQuorum ? m_log.persistedIndex() : quorumMatch();
    const bool ofThisTerm = m_log.termAt(index) == m_hardState.term || m_options.fault == Fault::CommitsEarlierTerms;
    if (index <= m_commit || !ofThisTerm) {
        return;
    }
    for (Index committed = m_commit + 1; committed <= index; ++committed) {
        m_uncommittedBytes -= m_log.at(committed).data.size();
    }
    commitThrough(index);
    stepDownIfRemoved();
}

void Raft::Core::stepDownIfRemoved()
{
    if (!isVoter() && m_log.membershipIndex() <= m_commit) {
        // The followers learn from these messages that the removal is committed.
        markHeartbeatsDue(true);
        sendToFollowers();
        becomeFollower(m_hardState.term, {});
    }
}

void Raft::Core::markHeartbeatsDue(bool withLearners)
{
    for (auto& [node, progress] : m_progress) {
        progress.heartbeatDue = progress.heartbeatDue || withLearners || m_log.membership().isVoter(node);
    }
}

Progress* Raft::Core::noteContact(const base::NodeId& node, std::uint64_t round)
{
    const auto found = m_progress.find(node);
    if (m_role != Role::Leader || found == m_progress.end() || round > m_round) {
        return nullptr;
    }
    Progress& progress = found->second;
    progress.lastContact = m_now;
    progress.answeredRound = std::max(progress.answeredRound, round);
    finishReads();
    return &progress;
}

} // namespace crocuscove::consensus
