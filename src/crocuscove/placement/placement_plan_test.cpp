#include "crocuscove/placement/placement_plan.h"

#include "crocuscove/placement/testing/fake_jobs.h"

#include <gtest/gtest.h>

namespace crocuscove::placement {
namespace {

using testing::FakeJobs;

// Guards against small jobs spreading over workers and leaving no room for a large one.
TEST(Placement, TakesTheTightestWorkerAndSparesAccelerators)
{
    FakeJobs jobs;
    jobs.addWorker("gpu", { 4, 100, 4 });
    jobs.addWorker("large", { 64, 100, 0 });
    jobs.addWorker("small", { 8, 100, 0 });
    jobs.addJob("j1", { 4, 10, 0 });
    jobs.addJob("j2", { 64, 10, 0 });
    const auto plan = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(plan.starts.size(), 2U);
    EXPECT_EQ(plan.starts[0].worker, base::WorkerId("small"));
    EXPECT_EQ(plan.starts[1].worker, base::WorkerId("large"));
}

// Guards against a job that can never run waiting forever, and against one rejected before the workers reported.
TEST(Placement, RejectsWithTheNearestMissOnceWorkersWereObserved)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 64, 1'000, 0 });
    jobs.addWorker("w2", { 8, 4'000, 0 });
    jobs.addJob("j1", { 8, 5'000, 0 });
    jobs.view.observingSince = jobs.now;
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).rejects.empty());
    jobs.view.workers[0].isObserved = false;
    const auto later = jobs.now + PlacementOptions {}.observationBound;
    EXPECT_TRUE(planPlacement(jobs.view, {}, later).rejects.empty());
    jobs.view.workers[0].isObserved = true;
    const auto plan = planPlacement(jobs.view, {}, later);
    ASSERT_EQ(plan.rejects.size(), 1U);
    EXPECT_EQ(plan.rejects[0].miss.resource, ResourceKind::MemoryMb);
    EXPECT_EQ(plan.rejects[0].miss.worker, base::WorkerId("w2"));
    EXPECT_EQ(plan.rejects[0].miss.shortfall(), 1'000U);
}

// Guards against the room of a proposed start being given away while its entry is being committed.
TEST(Placement, CountsProposedStarts)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 8, 100, 0 });
    jobs.addJob("j1", { 8, 10, 0 });
    jobs.addJob("j2", { 8, 10, 0 });
    jobs.view.jobs[0].startingOn = base::WorkerId("w1");
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).starts.empty());
}

} // namespace
} // namespace crocuscove::placement
