#include "crocuscove/consensus/raft_core.h"

#include <algorithm>

namespace crocuscove::consensus {

Index Raft::Core::quorumMatch() const
{
    return quorumValue(m_log.persistedIndex(), [](const Progress& progress) { return progress.match; });
}

std::uint64_t Raft::Core::quorumRound() const
{
    return quorumValue(m_round, [](const Progress& progress) { return progress.answeredRound; });
}

std::optional<base::MonotonicTime> Raft::Core::lastQuorumContact() const
{
    if (m_role != Role::Leader) {
        return m_leaderContact;
    }
    return quorumValue(m_now, [](const Progress& progress) { return progress.lastContact; });
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
