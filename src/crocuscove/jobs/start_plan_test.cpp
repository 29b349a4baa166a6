#include "crocuscove/jobs/start_plan.h"

#include "crocuscove/base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace crocuscove::jobs {
namespace {

CapacityClaim claim(std::uint32_t index, ClaimPhase phase, std::int64_t cpuMilli = 1000, std::int64_t acceptedMs = 0)
{
    return { { 1, 0, 0, index }, { cpuMilli, 10, 0 }, phase, false, acceptedMs };
}

std::set<TaskKey> tasks(std::initializer_list<std::uint32_t> indexes)
{
    std::set<TaskKey> result;
    std::ranges::for_each(indexes, [&](std::uint32_t index) { result.insert({ 1, 0, 0, index }); });
    return result;
}

// Guards against starts that bring a worker over a capacity that has shrunk below what runs there.
TEST(StartPlanTest, NothingIsSentToAWorkerThatIsOverItsCapacity)
{
    const StartPlan plan = planStarts({ 1000, 1000, 0 },
        { claim(0, ClaimPhase::Running), claim(1, ClaimPhase::Running), claim(2, ClaimPhase::Unsent),
            claim(3, ClaimPhase::Unsent, 0) });
    EXPECT_TRUE(plan.send.empty());
    EXPECT_EQ(plan.stop, tasks({ 2, 3 }));
}

// Guards against a start beside a task that is being stopped and still counts, and against a task that is moved
// although it fits as soon as the other one has ended.
TEST(StartPlanTest, ATaskWaitsForTheEndOfWhatIsBeingStopped)
{
    const StartPlan plan = planStarts({ 2000, 1000, 0 },
        { claim(0, ClaimPhase::Running), claim(1, ClaimPhase::Stopping), claim(2, ClaimPhase::Unsent) });
    EXPECT_TRUE(plan.send.empty());
    EXPECT_TRUE(plan.stop.empty());
}

// Guards against a choice that depends on the order of the claims, and against a gang whose other members wait in vain.
TEST(StartPlanTest, MembersOfAGangAndTasksOfOlderJobsStayFirst)
{
    CapacityClaim gang = claim(3, ClaimPhase::Unsent, 1000, 300);
    gang.isGang = true;
    std::vector<CapacityClaim> claims { claim(0, ClaimPhase::Unsent, 1000, 200),
        claim(1, ClaimPhase::Unsent, 1000, 100), claim(2, ClaimPhase::Unsent, 1000, 400), gang };
    const StartPlan plan = planStarts({ 2000, 1000, 0 }, claims);
    EXPECT_EQ(plan.send, tasks({ 1, 3 }));
    EXPECT_EQ(plan.stop, tasks({ 0, 2 }));
    std::ranges::reverse(claims);
    EXPECT_EQ(planStarts({ 2000, 1000, 0 }, claims).send, plan.send);
}

// Guards against a small task that is moved because a larger one before it doesn't fit.
TEST(StartPlanTest, ASmallerTaskTakesWhatALargerOneLeaves)
{
    const StartPlan plan = planStarts(
        { 1500, 1000, 0 }, { claim(0, ClaimPhase::Unsent, 2000, 1), claim(1, ClaimPhase::Unsent, 1000, 2) });
    EXPECT_EQ(plan.send, tasks({ 1 }));
    EXPECT_EQ(plan.stop, tasks({ 0 }));
}

// Guards against starts whose sum, with all that runs or is being stopped, is over the capacity.
RC_GTEST_PROP(StartPlanProperty, WhatIsSentFitsBesideAllThatMayRun, (std::uint32_t seed))
{
    base::Random random(seed);
    const Resources capacity { static_cast<std::int64_t>(random() % 8'000), static_cast<std::int64_t>(random() % 80),
        0 };
    std::vector<CapacityClaim> claims;
    const std::uint64_t count = random() % 12;
    for (std::uint32_t index = 0; index < count; ++index) {
        claims.push_back(claim(index, static_cast<ClaimPhase>(random() % 3),
            static_cast<std::int64_t>(random() % 3'000), static_cast<std::int64_t>(random() % 4)));
    }
    const StartPlan plan = planStarts(capacity, claims);
    Resources used;
    for (const CapacityClaim& item : claims) {
        const bool isUnsent = item.phase == ClaimPhase::Unsent;
        used += !isUnsent || plan.send.contains(item.task) ? item.reservation : Resources {};
        RC_ASSERT(isUnsent || (!plan.send.contains(item.task) && !plan.stop.contains(item.task)));
        RC_ASSERT(!plan.send.contains(item.task) || !plan.stop.contains(item.task));
    }
    RC_ASSERT(plan.send.empty() || used.fitsInto(capacity));
}

} // namespace
} // namespace crocuscove::jobs
