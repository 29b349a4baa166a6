#include "crocuscove/consensus/cluster_test.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace crocuscove::consensus {
namespace {

struct RunTotals {
    std::size_t steps = 0;
    std::size_t reads = 0;
    std::size_t snapshots = 0;
    std::size_t changes = 0;
    std::size_t leaders = 0;
    Index committed = 0;
};

/// How many times the usual number of seeds to run, for longer searches by hand.
std::size_t seedFactor()
{
    const char* const factor = std::getenv("CROCUSCOVE_TEST_SEED_FACTOR");
    return factor == nullptr ? 1 : std::stoul(factor);
}

/// Runs clusters with successive seeds and expects that no property is violated.
RunTotals runSeeds(ClusterOptions options, std::size_t seeds, std::size_t stepsEach)
{
    RunTotals totals;
    for (std::size_t i = 0; i < seeds * seedFactor(); ++i, ++options.seed) {
        Cluster cluster(options);
        cluster.run(stepsEach);
        cluster.heal();
        EXPECT_EQ(cluster.violation(), "");
        totals.steps += cluster.steps();
        totals.reads += cluster.confirmedReads();
        totals.snapshots += cluster.installedSnapshots();
        totals.changes += cluster.committedChanges();
        totals.leaders += cluster.electedLeaders();
        totals.committed += cluster.committedIndex();
    }
    std::printf("steps %zu, committed %lu, leaders %zu, reads %zu, snapshots %zu, membership entries %zu\n",
        totals.steps, totals.committed, totals.leaders, totals.reads, totals.snapshots, totals.changes);
    return totals;
}

// Guards against two leaders in a term, diverging logs, lost or different committed entries and stale reads while
// messages are lost, repeated, delayed and reordered, nodes crash and partitions come and go.
TEST(RaftSafety, HoldsUnderFaults)
{
    const RunTotals totals = runSeeds({ .seed = 1000 }, 12, 20000);
    EXPECT_GE(totals.steps, 200000U);
    EXPECT_GT(totals.committed, 1000U);
    EXPECT_GT(totals.reads, 100U);
    EXPECT_GT(totals.snapshots, 10U);
}

// The same with five voters, which have more ways to form a quorum.
TEST(RaftSafety, HoldsUnderFaultsWithFiveVoters)
{
    const RunTotals totals = runSeeds({ .seed = 2000, .voters = 5, .crash = 0.004 }, 6, 20000);
    EXPECT_GT(totals.committed, 500U);
}

// Guards against membership changes that let two disjoint quorums decide.
TEST(RaftSafety, HoldsWhileMembersChange)
{
    const RunTotals totals = runSeeds({ .seed = 3000, .membershipChange = 0.02 }, 8, 20000);
    EXPECT_GT(totals.changes, 200U);
}

// Guards against a lost disk that takes a committed entry or a vote with it.
TEST(RaftSafety, HoldsWhileLostDisksAreReplaced)
{
    const RunTotals totals
        = runSeeds({ .seed = 4000, .crash = 0.001, .membershipChange = 0.02, .diskLoss = 0.002 }, 8, 20000);
    EXPECT_GT(totals.changes, 200U);
}

// Guards against acknowledgements that are sent before the state is durable, and against entries that count as durable
// although they were replaced, when nodes continue during a write.
TEST(RaftSafety, HoldsWhileDisksWrite)
{
    const RunTotals totals = runSeeds({ .seed = 5000, .crash = 0.004, .writeEnd = 0.1 }, 10, 20000);
    EXPECT_GT(totals.committed, 500U);
    EXPECT_GT(totals.snapshots, 5U);
}

TEST(RaftSafety, HoldsWhileDisksWriteAndMembersChange)
{
    const RunTotals totals = runSeeds(
        { .seed = 6000, .voters = 5, .crash = 0.002, .membershipChange = 0.02, .diskLoss = 0.002, .writeEnd = 0.2 }, 8,
        20000);
    EXPECT_GT(totals.changes, 100U);
}

/// Returns the violation found by the first of some seeds, or an empty text.
std::string findViolation(ClusterOptions options, std::size_t seeds = 40)
{
    for (std::size_t i = 0; i < seeds; ++i, ++options.seed) {
        Cluster cluster(options);
        cluster.run(20000);
        if (!cluster.violation().empty()) {
            std::printf("%s\n", cluster.violation().c_str());
            return cluster.violation();
        }
    }
    return {};
}

// The tests below inject one fault each into the Raft core and expect that the checks detect a violation.
TEST(RaftSafetyCanFail, FindsTwoVotesInATerm) { EXPECT_NE(findViolation({ .fault = Fault::VotesTwice }), ""); }

TEST(RaftSafetyCanFail, FindsPromisesBeforeTheWrite)
{
    EXPECT_NE(findViolation({ .seed = 5000, .crash = 0.01, .writeEnd = 0.05, .promisesBeforeWrite = true }), "");
}

TEST(RaftSafetyCanFail, FindsVotesForAnOutdatedCandidate)
{
    EXPECT_NE(findViolation({ .fault = Fault::IgnoresLogOfCandidate }), "");
}

TEST(RaftSafetyCanFail, FindsAMissingCheckOfThePreviousTerm)
{
    EXPECT_NE(findViolation({ .fault = Fault::SkipsPreviousTermCheck }), "");
}

TEST(RaftSafetyCanFail, FindsACommitWithoutQuorum)
{
    EXPECT_NE(findViolation({ .fault = Fault::CommitsBeforeQuorum }), "");
}

TEST(RaftSafetyCanFail, FindsCommitsOfEarlierTermsByCounting)
{
    EXPECT_NE(findViolation({ .fault = Fault::CommitsEarlierTerms, .crash = 0.01, .maxBatchEntries = 1 }), "");
}

TEST(RaftSafetyCanFail, FindsReadsWithoutQuorum)
{
    EXPECT_NE(findViolation({ .fault = Fault::AnswersReadsWithoutQuorum }), "");
}

TEST(RaftSafetyCanFail, FindsOverlappingMembershipChanges)
{
    EXPECT_NE(findViolation({ .fault = Fault::ChangesManyVotersAtOnce, .membershipChange = 0.05 }), "");
}

} // namespace
} // namespace crocuscove::consensus
