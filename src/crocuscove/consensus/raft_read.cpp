#include "crocuscove/consensus/raft_core.h"

#include <algorithm>

namespace crocuscove::consensus {

bool Raft::Core::readIndex(base::MonotonicTime now, std::uint64_t context)
{
    advanceTo(now);
    if (m_role == Role::Leader) {
        return addLeaderRead(m_options.self, context);
    }
    if (m_leader.empty() || m_forwardedReads.size() >= m_options.maxPendingReads) {
        return false;
    }
    m_forwardedReads.push_back({ context, m_now + m_options.electionTimeoutMax });
    send(m_leader, ReadRequest { context });
    return true;
}

bool Raft::Core::addLeaderRead(const base::NodeId& origin, std::uint64_t context)
{
    if (m_leaderReads.size() >= m_options.maxPendingReads) {
        return false;
    }
    m_leaderReads.push_back({ origin, context, 0, std::nullopt, m_now + m_options.electionTimeoutMax });
    return true;
}

/// All reads since the last Ready share one round of heartbeats.
void Raft::Core::assignReadRound()
{
    // Until an entry of this term is committed, the leader may not know the latest commit index.
    const bool isWaiting = !m_leaderReads.empty() && !m_leaderReads.back().round;
    if (!isWaiting || !hasCommittedInTerm()) {
        return;
    }
    startRound();
    for (LeaderRead& read : m_leaderReads) {
        if (!read.round) {
            read.round = m_round;
            read.index = m_commit;
        }
    }
    markHeartbeatsDue(false);
}

void Raft::Core::finishReads()
{
    const std::uint64_t round = m_options.fault == Fault::AnswersReadsWithoutQuorum ? m_round : quorumRound();
    while (!m_leaderReads.empty() && m_leaderReads.front().round && *m_leaderReads.front().round <= round) {
        answerRead(m_leaderReads.front(), true);
        m_leaderReads.pop_front();
    }
}

void Raft::Core::expireReads()
{
    while (!m_leaderReads.empty() && m_leaderReads.front().deadline <= m_now) {
        answerRead(m_leaderReads.front(), false);
        m_leaderReads.pop_front();
    }
    while (!m_forwardedReads.empty() && m_forwardedReads.front().deadline <= m_now) {
        m_readResults.push_back({ m_forwardedReads.front().context, false, 0 });
        m_forwardedReads.pop_front();
    }
}

void Raft::Core::failReads()
{
    std::ranges::for_each(m_leaderReads, [this](const LeaderRead& read) { answerRead(read, false); });
    m_leaderReads.clear();
    std::ranges::for_each(m_forwardedReads, [this](const ForwardedRead& read) {
        m_readResults.push_back({ read.context, false, 0 });
    });
    m_forwardedReads.clear();
}

void Raft::Core::answerRead(const LeaderRead& read, bool confirmed)
{
    if (isSelf(read.origin)) {
        m_readResults.push_back({ read.context, confirmed, read.index });
    } else {
        send(read.origin, ReadAnswer { read.context, confirmed, read.index });
    }
}

void Raft::Core::handle(const Message& message, const ReadRequest& request)
{
    if (m_role != Role::Leader || !addLeaderRead(message.from, request.context)) {
        send(message.from, ReadAnswer { request.context, false, 0 });
    }
}

void Raft::Core::handle(const Message& /*message*/, const ReadAnswer& answer)
{
    const auto read = std::ranges::find(m_forwardedReads, answer.context, &ForwardedRead::context);
    if (read != m_forwardedReads.end()) {
        m_forwardedReads.erase(read);
        m_readResults.push_back({ answer.context, answer.confirmed, answer.index });
    }
}

bool Raft::Core::hasCommittedInTerm() const { return m_log.termAt(m_commit) == m_hardState.term; }

} // namespace crocuscove::consensus
