#include "crocuscove/base/error.h"
#include "crocuscove/consensus/raft_core.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::consensus {

void Raft::Core::handle(const Message& message, const AppendRequest& request)
{
    if (m_role == Role::Leader) {
        return;
    }
    noteLeader(message.from);
    // Entries through the compacted index are committed, so they match the log of the leader.
    const Index last = request.previousIndex + request.entries.size();
    if (last <= m_log.compactedIndex()) {
        send(message.from, AppendAnswer { true, request.previousIndex, m_log.compactedIndex(), request.round });
        return;
    }
    const std::optional<Term> previousTerm = m_log.termAt(request.previousIndex);
    const bool termMatters = m_options.fault != Fault::SkipsPreviousTermCheck || !previousTerm;
    const bool isCompacted = request.previousIndex < m_log.compactedIndex();
    if (!isCompacted && termMatters && previousTerm != request.previousTerm) {
        send(message.from, rejection(request));
        return;
    }
    appendEntries(request);
    commitThrough(std::min(request.commit, last));
    send(message.from, AppendAnswer { true, request.previousIndex, last, request.round });
}

AppendAnswer Raft::Core::rejection(const AppendRequest& request) const
{
    const Index hint = request.previousIndex > m_log.lastIndex()
        ? m_log.lastIndex()
        : std::max(m_commit, m_log.beforeTermOf(request.previousIndex));
    return { false, request.previousIndex, hint, request.round };
}

void Raft::Core::appendEntries(const AppendRequest& request)
{
    for (const Entry& entry : request.entries) {
        const std::optional<Term> term = m_log.termAt(entry.index);
        if (entry.index <= m_log.compactedIndex() || term == entry.term) {
            continue;
        }
        if (term && entry.index <= m_commit) {
            throw base::Error(fmt::format("entry {} of term {} is committed and conflicts with term {} from {}",
                entry.index, *term, entry.term, m_leader.text()));
        }
        m_log.truncateFrom(entry.index);
        m_log.append(entry);
    }
}

void Raft::Core::commitThrough(Index index) { m_commit = std::max(m_commit, std::min(index, m_log.lastIndex())); }

void Raft::Core::noteLeader(const base::NodeId& node)
{
    if (m_role != Role::Follower || m_leader != node) {
        becomeFollower(m_hardState.term, node);
    }
    m_leaderContact = m_now;
    resetElectionDeadline(m_options.electionTimeoutMin, m_options.electionTimeoutMax);
}

} // namespace crocuscove::consensus
