#include "crocuscove/consensus/raft_core.h"

#include <algorithm>

namespace crocuscove::consensus {

namespace {

using NodeList = std::vector<base::NodeId>;

void insertSorted(NodeList& nodes, const base::NodeId& node)
{
    nodes.insert(std::ranges::upper_bound(nodes, node), node);
}

Membership changed(Membership membership, const MembershipChange& change)
{
    std::erase(membership.learners, change.node);
    std::erase(membership.voters, change.node);
    if (change.kind == ChangeKind::AddLearner) {
        insertSorted(membership.learners, change.node);
    } else if (change.kind == ChangeKind::PromoteLearner) {
        insertSorted(membership.voters, change.node);
    }
    return membership;
}

} // namespace

std::optional<ChangeRefusal> Raft::Core::changeRefusal(const MembershipChange& change) const
{
    const Membership& membership = m_log.membership();
    const bool isVoter = membership.isVoter(change.node);
    const bool isLearner = membership.isLearner(change.node);
    if (m_role != Role::Leader) {
        return ChangeRefusal::NotLeader;
    }
    // A change before the first commit of a term could overlap a change of the previous leader that this one has not
    // seen, and two overlapping changes can form disjoint quorums.
    const bool inProgress = m_log.membershipIndex() > m_commit || !hasCommittedInTerm();
    if (inProgress && m_options.fault != Fault::ChangesManyVotersAtOnce) {
        return ChangeRefusal::ChangeInProgress;
    }
    if (!hasRoomFor(maxEntryBytes)) {
        return ChangeRefusal::Busy;
    }
    if (change.kind == ChangeKind::AddLearner) {
        if (isVoter || isLearner) {
            return ChangeRefusal::AlreadyMember;
        }
        const bool isFull = membership.voters.size() + membership.learners.size() >= maxMembers;
        return isFull || change.node.empty() ? std::optional(ChangeRefusal::TooManyMembers) : std::nullopt;
    }
    if (change.kind == ChangeKind::PromoteLearner) {
        if (!isLearner) {
            return isVoter ? ChangeRefusal::AlreadyMember : ChangeRefusal::NotMember;
        }
        // A node with an empty log grants no votes. As a voter it could leave the cluster without a quorum that votes.
        // A voter that lags holds up commits only if the quorum grows with it.
        const Index match = matchIndex(change.node).value_or(0);
        const bool isQuorumLarger = quorumOf(membership.voters.size() + 1) > quorum();
        const bool lags = match == 0 || (isQuorumLarger && match + m_options.maxPromotionLag < m_commit);
        return lags ? std::optional(ChangeRefusal::LearnerLagsBehind) : std::nullopt;
    }
    if (!isVoter && !isLearner) {
        return ChangeRefusal::NotMember;
    }
    return isVoter && membership.voters.size() == 1 ? std::optional(ChangeRefusal::LastVoter) : std::nullopt;
}

std::optional<Index> Raft::Core::proposeMembership(base::MonotonicTime now, const MembershipChange& change)
{
    advanceTo(now);
    if (changeRefusal(change)) {
        return std::nullopt;
    }
    const std::optional<Index> index
        = propose(now, EntryKind::Membership, encodeMembership(changed(m_log.membership(), change)));
    if (index) {
        updateProgress();
    }
    return index;
}

/// Tracks replication progress for every member except this node, and drops it for removed members.
void Raft::Core::updateProgress()
{
    const Membership& membership = m_log.membership();
    std::erase_if(m_progress, [&membership](const auto& item) {
        return !membership.isVoter(item.first) && !membership.isLearner(item.first);
    });
    Progress fresh;
    fresh.next = m_log.lastIndex() + 1;
    const auto follow = [this, &fresh](const base::NodeId& node) {
        if (!isSelf(node)) {
            m_progress.try_emplace(node, fresh);
        }
    };
    std::ranges::for_each(membership.voters, follow);
    std::ranges::for_each(membership.learners, follow);
}

std::optional<Index> Raft::Core::matchIndex(const base::NodeId& node) const
{
    if (m_role != Role::Leader) {
        return std::nullopt;
    }
    if (isSelf(node)) {
        return m_log.persistedIndex();
    }
    const auto progress = m_progress.find(node);
    return progress == m_progress.end() ? std::nullopt : std::optional(progress->second.match);
}

} // namespace crocuscove::consensus
