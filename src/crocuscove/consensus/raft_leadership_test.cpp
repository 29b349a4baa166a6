#include "crocuscove/consensus/cluster_test.h"

#include <gtest/gtest.h>

namespace crocuscove::consensus {
namespace {

using base::Milliseconds;

// Guards against a leader that was paused, then reads old answers and treats its leadership as confirmed.
TEST(RaftLeadership, AnswersThatAreReadLateConfirmNothingNew)
{
    Cluster cluster({ .seed = 11 });
    ASSERT_TRUE(cluster.waitForLeader());
    const base::NodeId leader = cluster.leader().value();
    cluster.runCalmly(Milliseconds(1000));
    Raft& raft = *cluster.node(leader).raft;
    ASSERT_TRUE(raft.leadershipConfirmedAt());
    // Keeps the answers to the heartbeats that are sent from now on.
    std::vector<Message> kept;
    cluster.filter = [&](const Message& message) {
        if (message.to == leader) {
            kept.push_back(message);
            return false;
        }
        return true;
    };
    cluster.runCalmly(Milliseconds(300));
    const auto sentBefore = cluster.now();
    ASSERT_FALSE(kept.empty());
    const auto late = cluster.now() + Milliseconds(7000);
    for (const Message& answer : kept) {
        raft.step(late, answer);
    }
    ASSERT_TRUE(raft.leadershipConfirmedAt());
    EXPECT_LE(*raft.leadershipConfirmedAt(), sentBefore);
}

// Guards against a follower that loses its last leader contact in a restart, and votes for another leader while the
// leadership of the current one is still confirmed.
TEST(RaftLeadership, ARestartedFollowerElectsNobodyBeforeTheLeaseHasEnded)
{
    for (int offset = 300; offset < 1100; offset += 10) {
        Cluster cluster({ .seed = 13 });
        ASSERT_TRUE(cluster.waitForLeader());
        cluster.runCalmly(Milliseconds(1000));
        const base::NodeId leader = cluster.leader().value();
        std::vector<base::NodeId> followers;
        for (const auto& [id, node] : cluster.nodes()) {
            if (id != leader) {
                followers.push_back(id);
            }
        }
        cluster.setBlocked(leader, followers[0], true);
        cluster.setBlocked(followers[0], leader, true);
        cluster.runCalmly(Milliseconds(offset));
        cluster.crash(followers[1]);
        cluster.restart(followers[1]);
        cluster.runCalmly(Milliseconds(400));
        ASSERT_EQ(cluster.violation(), "") << offset;
    }
}

TEST(RaftLeadership, ARestartedNodeHasNoContactBeforeItHearsFromTheLeader)
{
    Cluster cluster({ .seed = 14 });
    ASSERT_TRUE(cluster.waitForLeader());
    cluster.runCalmly(Milliseconds(1000));
    for (const auto& [id, node] : cluster.nodes()) {
        cluster.crash(id);
        cluster.restart(id);
        EXPECT_FALSE(node.raft->hasQuorumContact(cluster.now()));
        ASSERT_TRUE(cluster.waitForLeader());
        cluster.runCalmly(Milliseconds(2000));
        EXPECT_TRUE(node.raft->hasQuorumContact(cluster.now()));
    }
}

TEST(RaftLeadership, OnlyTheLeaderIsConfirmed)
{
    Cluster cluster({ .seed = 12 });
    ASSERT_TRUE(cluster.waitForLeader());
    cluster.runCalmly(Milliseconds(2000));
    for (const auto& [id, node] : cluster.nodes()) {
        const auto confirmed = node.raft->leadershipConfirmedAt();
        EXPECT_EQ(confirmed.has_value(), id == cluster.leader());
        EXPECT_TRUE(!confirmed || cluster.now() - *confirmed < Milliseconds(300));
    }
}

// Guards against a leader that takes a member for healthy which answers nothing, or a learner that has never answered.
TEST(RaftLeadership, LastContactIsTheLastAnswerOfAMember)
{
    Cluster cluster({ .seed = 6 });
    ASSERT_TRUE(cluster.waitForLeader());
    const base::NodeId leader = cluster.leader().value();
    const base::NodeId silent = leader == base::NodeId("n1") ? base::NodeId("n2") : base::NodeId("n1");
    const base::NodeId learner("n9");
    const auto contact = [&](const base::NodeId& id) { return cluster.node(leader).raft->lastContact(id); };
    cluster.runCalmly(Milliseconds(1000), [&] { return contact(silent).has_value(); });
    cluster.act(leader, [&](Raft& raft) {
        EXPECT_TRUE(raft.proposeMembership(cluster.now(), { ChangeKind::AddLearner, learner }));
    });
    cluster.setBlocked(silent, leader, true);
    const auto before = contact(silent);
    cluster.runCalmly(Milliseconds(1000));
    ASSERT_EQ(cluster.leader(), leader);
    EXPECT_TRUE(before.has_value());
    EXPECT_EQ(contact(silent), before);
    EXPECT_EQ(contact(learner), std::nullopt);
    EXPECT_TRUE(contact(leader).has_value());
    EXPECT_EQ(cluster.node(silent).raft->lastContact(leader), std::nullopt);
}

} // namespace
} // namespace crocuscove::consensus
