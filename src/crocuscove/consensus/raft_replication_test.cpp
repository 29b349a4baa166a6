#include "crocuscove/consensus/cluster_test.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace crocuscove::consensus {
namespace {

using base::Milliseconds;
using base::NodeId;

std::vector<NodeId> followers(const Cluster& cluster)
{
    std::vector<NodeId> ids;
    for (const auto& [id, node] : cluster.nodes()) {
        if (id != cluster.leader()) {
            ids.push_back(id);
        }
    }
    return ids;
}

void proposeMany(Cluster& cluster, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        cluster.act(cluster.leader().value(), [&cluster](Raft& raft) { raft.propose(cluster.now(), "some value"); });
    }
    cluster.waitForLeader();
}

bool hasCaughtUp(Cluster& cluster, const NodeId& id)
{
    return cluster.node(id).state.index == cluster.committedIndex();
}

// Guards against a catch-up that floods a follower or the leader's memory, or that sends the log many times over.
TEST(RaftReplication, CatchesUpWithBoundedBatchesInFlight)
{
    constexpr std::size_t entries = 20000;
    const RaftOptions defaults;
    Cluster cluster({ .seed = 1, .maxBatchEntries = 64, .maxBatchBytes = 4096 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId lagging = followers(cluster).front();
    cluster.crash(lagging);
    proposeMany(cluster, entries);

    std::size_t sentEntries = 0;
    std::size_t unanswered = 0;
    std::size_t mostUnanswered = 0;
    cluster.filter = [&](const Message& message) {
        if (const auto* const append = std::get_if<AppendRequest>(&message.body); append && message.to == lagging) {
            EXPECT_LE(append->entries.size(), 64U);
            sentEntries += append->entries.size();
            unanswered += append->entries.empty() ? 0 : 1;
            mostUnanswered = std::max(mostUnanswered, unanswered);
        }
        if (std::holds_alternative<AppendAnswer>(message.body) && message.from == lagging && unanswered > 0) {
            --unanswered;
        }
        return true;
    };
    cluster.restart(lagging);
    cluster.runCalmly(Milliseconds(60000), [&] { return hasCaughtUp(cluster, lagging); });
    EXPECT_TRUE(hasCaughtUp(cluster, lagging));
    EXPECT_LE(mostUnanswered, defaults.maxBatchesInFlight + 1);
    EXPECT_LE(sentEntries, entries * 3 / 2);
}

// Guards against a leader that accepts proposals without bound while it can't commit.
TEST(RaftReplication, RefusesProposalsAboveTheBounds)
{
    Cluster cluster({ .seed = 2 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId leader = cluster.leader().value();
    cluster.isolate(leader, true);
    cluster.act(leader, [&cluster](Raft& raft) {
        const std::string large(maxEntryBytes, 'x');
        EXPECT_FALSE(raft.propose(cluster.now(), large + "x"));
        std::size_t accepted = 0;
        while (raft.propose(cluster.now(), large)) {
            ++accepted;
        }
        EXPECT_EQ(accepted, RaftOptions().maxUncommittedBytes / maxEntryBytes);
        const MembershipChange change { ChangeKind::AddLearner, NodeId("n9") };
        EXPECT_EQ(raft.changeRefusal(change), ChangeRefusal::Busy);
    });
}

/// Counts the snapshot data sent to a node, and loses messages to it once `limit` bytes were sent.
struct TransferProbe {
    NodeId receiver;
    std::size_t limit = 0;
    std::size_t sentBytes = 0;

    bool operator()(const Message& message)
    {
        const auto* const chunk = std::get_if<SnapshotChunk>(&message.body);
        if (chunk == nullptr || message.to != receiver) {
            return true;
        }
        if (limit > 0 && sentBytes >= limit) {
            return false;
        }
        sentBytes += chunk->data.size();
        return true;
    }
};

/// Interrupts a snapshot transfer after some chunks, optionally kills the sender, and returns the bytes sent in all
/// per byte of the snapshot.
double bytesSentPerSnapshotByte(bool killLeader)
{
    Cluster cluster({ .seed = 3 });
    EXPECT_TRUE(cluster.waitForLeader());
    const std::vector<NodeId> others = followers(cluster);
    cluster.crash(others[0]);
    proposeMany(cluster, 50);
    cluster.runCalmly(Milliseconds(500), [&] { return hasCaughtUp(cluster, others[1]); });
    const NodeId leader = cluster.leader().value();
    cluster.compact(leader);
    cluster.compact(others[1]);
    const std::size_t size = cluster.node(leader).disk.snapshotData.size();

    TransferProbe probe { others[0], size / 2 };
    cluster.filter = [&probe](const Message& message) { return probe(message); };
    cluster.restart(others[0]);
    cluster.runCalmly(Milliseconds(700));
    EXPECT_GE(probe.sentBytes, size / 2);
    EXPECT_LT(probe.sentBytes, size);
    probe.limit = 0;
    if (killLeader) {
        cluster.crash(leader);
    }
    cluster.runCalmly(Milliseconds(10000), [&] { return hasCaughtUp(cluster, others[0]); });
    EXPECT_TRUE(hasCaughtUp(cluster, others[0]));
    EXPECT_EQ(cluster.violation(), "");
    return static_cast<double>(probe.sentBytes) / static_cast<double>(size);
}

// Guards against an interrupted snapshot transfer that starts again from the beginning.
TEST(RaftReplication, InterruptedSnapshotTransferResumes)
{
    EXPECT_LE(bytesSentPerSnapshotByte(false), 1.3);
    EXPECT_LE(bytesSentPerSnapshotByte(true), 1.3) << "after a leader change";
}

// Guards against an unreachable node to which snapshot data is sent again and again.
TEST(RaftReplication, UnreachableNodeGetsNoRepeatedSnapshotData)
{
    Cluster cluster({ .seed = 4 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId away = followers(cluster).front();
    cluster.crash(away);
    proposeMany(cluster, 50);
    const NodeId leader = cluster.leader().value();
    cluster.compact(leader);
    TransferProbe probe { away };
    cluster.filter = [&probe](const Message& message) { return probe(message); };
    cluster.runCalmly(Milliseconds(10000));
    EXPECT_LE(probe.sentBytes, cluster.node(leader).disk.snapshotData.size());
}

void changeMember(Cluster& cluster, ChangeKind kind, const NodeId& id)
{
    cluster.act(cluster.leader().value(), [&](Raft& raft) {
        EXPECT_TRUE(raft.proposeMembership(cluster.now(), { kind, id }));
    });
    cluster.runCalmly(Milliseconds(1000));
}

// Guards against a learner without a disk that never catches up after a restart, because the leader trusts what it
// acknowledged before.
TEST(RaftReplication, LearnerWithoutDiskCatchesUpAfterRestart)
{
    Cluster cluster({ .seed = 5 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId learner("n9");
    cluster.addNode(learner);
    changeMember(cluster, ChangeKind::AddLearner, learner);
    proposeMany(cluster, 20);
    cluster.runCalmly(Milliseconds(1000), [&] { return hasCaughtUp(cluster, learner); });
    cluster.loseDisk(learner, true);
    cluster.restart(learner);
    EXPECT_FALSE(hasCaughtUp(cluster, learner));
    cluster.runCalmly(Milliseconds(3000), [&] { return hasCaughtUp(cluster, learner); });
    EXPECT_TRUE(hasCaughtUp(cluster, learner));
    EXPECT_EQ(cluster.node(learner).raft->role(), Role::Learner);
}

// Guards against idle traffic that grows with every learner, and against a learner that takes the leader for lost.
TEST(RaftReplication, IdleLearnerGetsFewerHeartbeats)
{
    Cluster cluster({ .seed = 9 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId learner("n9");
    cluster.addNode(learner);
    changeMember(cluster, ChangeKind::AddLearner, learner);
    std::map<NodeId, std::size_t> heartbeats;
    std::size_t outOfContact = 0;
    cluster.filter = [&](const Message& message) {
        heartbeats[message.to] += std::holds_alternative<AppendRequest>(message.body) ? 1 : 0;
        outOfContact += cluster.node(learner).raft->hasQuorumContact(cluster.now()) ? 0 : 1;
        return true;
    };
    cluster.runCalmly(Milliseconds(10000));
    const NodeId voter = cluster.leader() == NodeId("n1") ? NodeId("n2") : NodeId("n1");
    EXPECT_GE(heartbeats[voter], heartbeats[learner] * 4);
    EXPECT_GE(heartbeats[learner], 10U);
    EXPECT_EQ(outOfContact, 0U);
}

// Guards against a learner that becomes a voter before it holds any entry. It can't vote then, and together with a
// lost voter that leaves the cluster without a quorum. Found by RaftSafety.HoldsWhileLostDisksAreReplaced, seed 4001.
TEST(RaftReplication, EmptyLearnerIsNotPromoted)
{
    Cluster cluster({ .seed = 6 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId learner("n9");
    changeMember(cluster, ChangeKind::AddLearner, learner);
    const MembershipChange promotion { ChangeKind::PromoteLearner, learner };
    const NodeId leader = cluster.leader().value();
    EXPECT_EQ(cluster.node(leader).raft->changeRefusal(promotion), ChangeRefusal::LearnerLagsBehind);
    cluster.addNode(learner);
    cluster.runCalmly(Milliseconds(1000));
    EXPECT_EQ(cluster.node(leader).raft->changeRefusal(promotion), std::nullopt);
    changeMember(cluster, ChangeKind::PromoteLearner, learner);
    EXPECT_EQ(cluster.node(learner).raft->role(), Role::Follower);
}

// Guards against two lost disks that leave no quorum, because a third voter was replaced shortly before and its
// replacement, which lags, doesn't vote yet.
TEST(RaftReplication, TwoDisksMayBeLostWhileAReplacementCatchesUp)
{
    constexpr std::size_t entries = 20000;
    Cluster cluster({ .seed = 10, .voters = 5, .maxBatchEntries = 64, .maxBatchBytes = 4096 });
    ASSERT_TRUE(cluster.waitForLeader());
    proposeMany(cluster, entries);
    const NodeId leader = cluster.leader().value();
    const std::vector<NodeId> others = followers(cluster);
    cluster.loseDisk(others[0]);
    changeMember(cluster, ChangeKind::RemoveNode, others[0]);
    const NodeId replacement("n9");
    changeMember(cluster, ChangeKind::AddLearner, replacement);
    cluster.addNode(replacement);
    const auto match = [&] { return cluster.node(leader).raft->matchIndex(replacement).value_or(0); };
    cluster.runCalmly(Milliseconds(5000), [&] { return match() > 0; });
    ASSERT_LT(match(), entries / 2);
    cluster.act(leader, [&](Raft& raft) {
        EXPECT_TRUE(raft.proposeMembership(cluster.now(), { ChangeKind::PromoteLearner, replacement }));
    });
    cluster.runCalmly(Milliseconds(5000),
        [&] { return cluster.node(leader).raft->commitIndex() == cluster.node(leader).raft->lastIndex(); });
    EXPECT_LT(match(), entries / 2);
    cluster.loseDisk(others[1]);
    cluster.loseDisk(leader);
    EXPECT_TRUE(cluster.waitForLeader());
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against a second change that starts while the first isn't committed, and against removing the last voter.
TEST(RaftReplication, RefusesUnsafeMembershipChanges)
{
    Cluster cluster({ .seed = 7, .voters = 1 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId leader = cluster.leader().value();
    Raft& raft = *cluster.node(leader).raft;
    EXPECT_EQ(raft.changeRefusal({ ChangeKind::RemoveNode, leader }), ChangeRefusal::LastVoter);
    EXPECT_EQ(raft.changeRefusal({ ChangeKind::RemoveNode, NodeId("n9") }), ChangeRefusal::NotMember);
    EXPECT_EQ(raft.changeRefusal({ ChangeKind::AddLearner, leader }), ChangeRefusal::AlreadyMember);
    EXPECT_TRUE(raft.proposeMembership(cluster.now(), { ChangeKind::AddLearner, NodeId("n9") }));
    EXPECT_EQ(raft.changeRefusal({ ChangeKind::AddLearner, NodeId("n8") }), ChangeRefusal::ChangeInProgress);
}

// Guards against a removed leader that goes on leading.
TEST(RaftReplication, RemovedLeaderStepsDown)
{
    Cluster cluster({ .seed = 8 });
    ASSERT_TRUE(cluster.waitForLeader());
    const NodeId old = cluster.leader().value();
    changeMember(cluster, ChangeKind::RemoveNode, old);
    cluster.runCalmly(Milliseconds(3000));
    ASSERT_TRUE(cluster.leader().has_value());
    EXPECT_NE(cluster.leader(), old);
    EXPECT_EQ(cluster.node(old).raft->role(), Role::Learner);
    EXPECT_EQ(cluster.node(*cluster.leader()).raft->membership().voters.size(), 2U);
}

} // namespace
} // namespace crocuscove::consensus
