#include "crocuscove/jobs/crash.h"

#include "crocuscove/jobs/restart_history.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

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

// Guards against a task that is started three times more after three workers have crashed under it, as none of them is
// back yet (review case 3).
TEST(CrashTest, ATaskThatHasLostRunsWaitsForItsSilentWorkers)
{
    const TaskKey key { 1, 0, 0, 0 };
    EXPECT_EQ(nextStartMs(key, { lostRunsBeforePause - 1, 2, 50'000 }, true), 0);
    EXPECT_EQ(nextStartMs(key, { lostRunsBeforePause, 3, 50'000 }, true), 50'000 + confirmationWait.count());
    EXPECT_EQ(nextStartMs(key, { maxLostRuns - 1, 4, 50'000 }, true), 50'000 + confirmationWait.count());
    EXPECT_EQ(nextStartMs(key, { maxLostRuns, 5, 50'000 }, true), 50'000 + lastConfirmationWait.count());
}

// Guards against tasks that crash their workers in step again and again, so that each crash is taken for one of a rack
// or a burst.
TEST(CrashTest, TasksThatHaveLostRunsStartApartFromEachOther)
{
    constexpr std::uint32_t tasks = 40;
    std::vector<std::int64_t> starts;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        starts.push_back(nextStartMs({ 1, 0, 0, index }, { lostRunsBeforePause, 3, 50'000 }, false));
    }
    std::ranges::sort(starts);
    EXPECT_GE(starts.front(), 50'000);
    EXPECT_LT(starts.back(), 50'000 + lostRunSpread.count());
    for (const std::int64_t startMs : starts) {
        const auto beside = [&](base::Milliseconds spread) {
            return std::ranges::count_if(
                starts, [&](std::int64_t other) { return std::abs(other - startMs) <= spread.count(); });
        };
        EXPECT_LT(
            100 * beside(restartSpread), static_cast<std::int64_t>(minTogetherPercent) * beside(restartNeighbourhood))
            << startMs;
    }
    EXPECT_NE(nextStartMs({ 1, 0, 0, 0 }, { 3, 3, 0 }, false), nextStartMs({ 1, 0, 0, 0 }, { 4, 4, 0 }, false))
        << "two tasks don't stay in step";
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
