#include "crocuscove/consensus/cluster_test.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace crocuscove::consensus {

void Cluster::disturb()
{
    if (chance(m_options.proposal)) {
        act(anyNode(), [this](Raft& raft) { raft.propose(m_now, fmt::format("value {}", m_nextValue++)); });
    }
    if (chance(m_options.read)) {
        startRead(anyNode());
    }
    if (chance(m_options.crash)) {
        crash(anyNode());
    }
    if (chance(m_options.crash * 4)) {
        const base::NodeId id = anyNode();
        if (!m_nodes.at(id).raft) {
            restart(id);
        }
    }
    if (chance(m_options.partition)) {
        changePartition();
    }
    if (chance(m_options.partition * 2)) {
        m_blocked.clear();
    }
    if (chance(m_options.compaction)) {
        compact(anyNode());
    }
    if (chance(m_options.membershipChange)) {
        changeMembership();
    }
    if (chance(m_options.diskLoss)) {
        replaceDisk();
    }
}

void Cluster::startRead(const base::NodeId& id)
{
    const std::uint64_t context = m_nextContext++;
    m_reads[{ id, context }] = committedIndex();
    act(id, [this, context](Raft& raft) { raft.readIndex(m_now, context); });
}

/// Isolates a node, cuts one direction between two nodes, or cuts everything that a node sends.
void Cluster::changePartition()
{
    const base::NodeId first = anyNode();
    const base::NodeId second = anyNode();
    switch (below(3)) {
    case 0:
        isolate(first, true);
        break;
    case 1:
        setBlocked(first, second, true);
        break;
    default:
        std::ranges::for_each(m_nodes, [this, &first](const auto& item) { setBlocked(first, item.first, true); });
    }
}

void Cluster::changeMembership()
{
    const std::optional<base::NodeId> id = leader();
    if (!id) {
        return;
    }
    const Membership membership = m_nodes.at(*id).raft->membership();
    MembershipChange change { static_cast<ChangeKind>(below(3)), anyNode() };
    constexpr std::size_t maxNodes = 7;
    const bool isFull = membership.voters.size() + membership.learners.size() >= maxNodes;
    if (change.kind == ChangeKind::AddLearner) {
        if (isFull) {
            return;
        }
        change.node = testNodeName(m_nextNode++);
        addNode(change.node);
    } else if (change.kind == ChangeKind::RemoveNode && membership.voters.size() <= 3
        && membership.isVoter(change.node)) {
        return;
    }
    act(*id, [this, &change](Raft& raft) { raft.proposeMembership(m_now, change); });
}

/// Loses the disk of a voter, or lets the leader remove a voter whose disk was lost. No second disk is lost before, as
/// the others must keep a quorum.
void Cluster::replaceDisk()
{
    const Membership committed = committedMembership();
    const auto lost
        = std::ranges::find_if(committed.voters, [this](const base::NodeId& voter) { return m_nodes[voter].isLost; });
    if (lost != committed.voters.end()) {
        const MembershipChange change { ChangeKind::RemoveNode, *lost };
        act(leader().value_or(anyNode()), [this, &change](Raft& raft) { raft.proposeMembership(m_now, change); });
    } else if (committed.voters.size() >= 3 && !isMembershipChanging()) {
        loseDisk(committed.voters[below(committed.voters.size())]);
    }
}

void Cluster::setBlocked(const base::NodeId& from, const base::NodeId& to, bool blocked)
{
    if (blocked) {
        m_blocked.insert({ from, to });
    } else {
        m_blocked.erase({ from, to });
    }
}

void Cluster::isolate(const base::NodeId& id, bool blocked)
{
    for (const auto& item : m_nodes) {
        setBlocked(id, item.first, blocked);
        setBlocked(item.first, id, blocked);
    }
}

base::NodeId Cluster::anyNode()
{
    return std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(below(m_nodes.size())))->first;
}

} // namespace crocuscove::consensus
