#include "crocuscove/consensus/raft_core.h"

#include <algorithm>

namespace crocuscove::consensus {

namespace {

/// Largest number of unanswered heartbeat rounds; the leader steps down long before that many heartbeats.
constexpr std::size_t maxRoundStarts = 4096;

} // namespace

Index Raft::Core::quorumMatch() const
{
    return quorumValue(m_log.persistedIndex(), [](const Progress& progress) { return progress.match; });
}

std::uint64_t Raft::Core::quorumRound() const
{
    return quorumValue(m_round, [](const Progress& progress) { return progress.answeredRound; });
}

std::optional<base::MonotonicTime> Raft::Core::lastContact(const base::NodeId& node) const
{
    if (m_role != Role::Leader) {
        return std::nullopt;
    }
    if (isSelf(node)) {
        return m_now;
    }
    const auto progress = m_progress.find(node);
    const bool hasAnswered = progress != m_progress.end() && progress->second.lastContact != base::MonotonicTime {};
    return hasAnswered ? std::optional(progress->second.lastContact) : std::nullopt;
}

std::optional<base::MonotonicTime> Raft::Core::lastQuorumContact() const
{
    if (m_role != Role::Leader) {
        return m_leaderContact;
    }
    return quorumValue(m_now, [](const Progress& progress) { return progress.lastContact; });
}

std::optional<base::MonotonicTime> Raft::Core::leadershipConfirmedAt() const
{
    if (m_role != Role::Leader) {
        return std::nullopt;
    }
    const std::uint64_t answered = quorumRound();
    std::optional<base::MonotonicTime> start;
    for (const auto& [round, startedAt] : m_roundStarts) {
        if (round > answered) {
            break;
        }
        start = startedAt;
    }
    return start;
}

void Raft::Core::startRound()
{
    m_roundStarts.emplace_back(++m_round, m_now);
    const std::uint64_t answered = quorumRound();
    while (m_roundStarts.size() > 1 && (m_roundStarts[1].first <= answered || m_roundStarts.size() > maxRoundStarts)) {
        m_roundStarts.pop_front();
    }
}

bool Raft::Core::hasQuorumContact(base::MonotonicTime now) const
{
    const std::optional<base::MonotonicTime> contact = lastQuorumContact();
    return contact && now - *contact <= m_options.electionTimeoutMax;
}

bool Raft::Core::isSendingSnapshot() const
{
    return std::ranges::any_of(m_progress, [this](const auto& item) {
        const Progress& progress = item.second;
        return progress.state == ProgressState::Snapshot
            && m_now - progress.lastContact <= m_options.electionTimeoutMax;
    });
}

} // namespace crocuscove::consensus
