// Who votes: decided by the leader from the nodes that it hears.

#include "cluster.h"

#include <algorithm>

namespace crocuscove::control {

namespace {

/// A member that has not answered for this long is not counted on. Longer than the pause between a learner's
/// heartbeats.
constexpr base::Milliseconds aliveWindow { 1'000 };
/// A voter that has acknowledged nothing for this long is replaced when another node is ready for it. Longer than an
/// election.
constexpr base::Milliseconds replacementDelay { 2'500 };

} // namespace

bool Cluster::isAlive(const std::string& node, base::MonotonicTime now) const
{
    const auto heard = m_heard.find(node);
    return node == m_log.node().text() || (heard != m_heard.end() && now - heard->second < aliveWindow);
}

// A node whose disk is full or hangs answers on its connections and acknowledges nothing.
bool Cluster::isTakingPart(const base::NodeId& member, base::MonotonicTime now) const
{
    const auto contact = m_log.raft().lastContact(member);
    return contact && now - *contact < aliveWindow;
}

// One change at a time; the consensus refuses a second one before the first is committed.
void Cluster::manageMembers(base::MonotonicTime now)
{
    static_cast<void>(removeReplaced(now) || admitNodes(now) || replaceLost(now) || promote(now));
}

bool Cluster::change(consensus::ChangeKind kind, const std::string& node, std::string_view reason)
{
    const bool isProposed = m_log.proposeMembership({ kind, base::NodeId(node) });
    if (isProposed) {
        m_logLines.info("membership_change",
            { { "kind", static_cast<int>(kind) }, { "peer", node }, { "reason", reason },
                { "term", m_log.raft().term() } });
    }
    return isProposed;
}

// A node that answers under another id than before has lost its disk, so that its old id is gone for good.
bool Cluster::removeReplaced(base::MonotonicTime now)
{
    const consensus::Membership members = m_log.raft().membership();
    const auto isReplaced = [&](const base::NodeId& member) {
        const auto recorded = m_state.nodes().find(member.text());
        const auto peer = recorded == m_state.nodes().end() ? m_peers.end() : m_peers.find(recorded->second);
        return peer != m_peers.end() && peer->second.isReady && peer->second.node != member.text()
            && isAlive(peer->second.node, now) && !isAlive(member.text(), now);
    };
    for (const auto* list : { &members.learners, &members.voters }) {
        const auto member = std::ranges::find_if(*list, isReplaced);
        if (member != list->end() && change(consensus::ChangeKind::RemoveNode, member->text(), "disk-lost")) {
            return true;
        }
    }
    return false;
}

bool Cluster::admitNodes(base::MonotonicTime now)
{
    const consensus::Membership& members = m_log.raft().membership();
    if (!m_state.nodes().contains(m_log.node().text())) {
        propose(jobs::RecordNode { m_log.node().text(), m_options.listen.host }, nullptr);
    }
    for (const auto& [address, peer] : m_peers) {
        if (!peer.isReady || !isAlive(peer.node, now)) {
            continue;
        }
        const base::NodeId id(peer.node);
        const auto recorded = m_state.nodes().find(peer.node);
        if (recorded == m_state.nodes().end() || recorded->second != address) {
            propose(jobs::RecordNode { peer.node, address }, nullptr);
        }
        if (!members.isVoter(id) && !members.isLearner(id)
            && change(consensus::ChangeKind::AddLearner, peer.node, "joined")) {
            return true;
        }
    }
    return false;
}

// The lost voter goes first, so that the remaining ones are a quorum on their own before the new one counts.
bool Cluster::replaceLost(base::MonotonicTime now)
{
    const consensus::Membership members = m_log.raft().membership();
    const auto isLost = [&](const base::NodeId& voter) {
        const auto contact = m_log.raft().lastContact(voter).value_or(base::MonotonicTime {});
        return now - std::max(contact, m_leaderSince) > replacementDelay;
    };
    const auto lost = std::ranges::find_if(members.voters, isLost);
    const auto spare = bestLearner(now);
    if (lost == members.voters.end() || !spare
        || m_log.raft().changeRefusal({ consensus::ChangeKind::PromoteLearner, *spare })) {
        return false;
    }
    const auto takingPart
        = std::ranges::count_if(members.voters, [&](const base::NodeId& voter) { return isTakingPart(voter, now); });
    const auto quorum = static_cast<std::ptrdiff_t>(members.voters.size() / 2 + 1);
    return takingPart >= quorum && change(consensus::ChangeKind::RemoveNode, lost->text(), "lost");
}

bool Cluster::promote(base::MonotonicTime now)
{
    const auto learner = bestLearner(now);
    if (m_log.raft().membership().voters.size() >= m_options.votersWanted || !learner) {
        return false;
    }
    const auto refusal = m_log.raft().changeRefusal({ consensus::ChangeKind::PromoteLearner, *learner });
    if (refusal == consensus::ChangeRefusal::LearnerLagsBehind) {
        m_logLines.info("learner_lags",
            { { "peer", learner->text() }, { "match", m_log.raft().matchIndex(*learner).value_or(0) },
                { "commit", m_log.raft().commitIndex() } });
    }
    return change(consensus::ChangeKind::PromoteLearner, learner->text(), "voter-wanted");
}

std::optional<base::NodeId> Cluster::bestLearner(base::MonotonicTime now) const
{
    std::vector<base::NodeId> learners = m_log.raft().membership().learners;
    std::erase_if(learners, [&](const base::NodeId& learner) { return !isTakingPart(learner, now); });
    const auto best = std::ranges::max_element(
        learners, {}, [&](const base::NodeId& learner) { return m_log.raft().matchIndex(learner).value_or(0); });
    return best == learners.end() ? std::nullopt : std::optional(*best);
}

} // namespace crocuscove::control
