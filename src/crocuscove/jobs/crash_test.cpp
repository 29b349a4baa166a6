#include "crocuscove/jobs/crash.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace crocuscove::jobs {
namespace {

RunAtCrash inProbation(JobId job) { return { { job, 0, 0, 0 }, 1, true, true, false }; }

RunAtCrash proven(JobId job, bool hasCrashes) { return { { job, 0, 0, 0 }, 1, false, true, hasCrashes }; }

bool isAttributed(const std::vector<RunAtCrash>& runs, JobId job)
{
    return std::ranges::any_of(
        suspectsOf(runs), [&](const CrashedRun& run) { return run.task.job == job && run.isAttributed; });
}

// Guards against a task that is never counted because it crashes its worker late.
TEST(CrashTest, ARunOfAnyAgeIsASuspect)
{
    const auto suspects = suspectsOf({ proven(1, false), inProbation(2) });
    EXPECT_EQ(suspects.size(), 2U);
    EXPECT_FALSE(isAttributed({ proven(1, false) }, 1)) << "it ran there for long";
}

// Guards against a task that is given up for the crashes of one that had run there for longer.
TEST(CrashTest, ARunBesideAnotherSuspectIsNotTheCertainCause)
{
    EXPECT_TRUE(isAttributed({ inProbation(1) }, 1));
    EXPECT_TRUE(isAttributed({ inProbation(1), proven(2, false) }, 1));
    EXPECT_TRUE(isAttributed({ inProbation(1), proven(1, true) }, 1)) << "of the same job";
    EXPECT_FALSE(isAttributed({ inProbation(1), proven(2, true) }, 1));
    EXPECT_FALSE(isAttributed({ inProbation(1), inProbation(2) }, 1));
    RunAtCrash ofEarlierLeader = inProbation(1);
    ofEarlierLeader.isStartKnown = false;
    EXPECT_FALSE(isAttributed({ ofEarlierLeader }, 1));
    EXPECT_TRUE(suspectsOf({}).empty());
}

} // namespace
} // namespace crocuscove::jobs
