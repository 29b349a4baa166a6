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
TEST(Placement, RejectsWithTheSmallestShortageOnceWorkersWereObserved)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 64, 1'000, 0 });
    jobs.addWorker("w2", { 8, 4'000, 0 });
    jobs.addJob("j1", { 8, 5'000, 0 });
    jobs.view.observingSince = jobs.now;
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).rejects.empty());
    jobs.view.workers[0].isObserved = false;
    const auto later = jobs.now + PlacementOptions {}.minObservationTime;
    EXPECT_TRUE(planPlacement(jobs.view, {}, later).rejects.empty());
    jobs.view.workers[0].isObserved = true;
    const auto plan = planPlacement(jobs.view, {}, later);
    ASSERT_EQ(plan.rejects.size(), 1U);
    EXPECT_EQ(plan.rejects[0].shortage.resource, ResourceKind::MemoryMb);
    EXPECT_EQ(plan.rejects[0].shortage.worker, base::WorkerId("w2"));
    EXPECT_EQ(plan.rejects[0].shortage.shortfall(), 1'000U);
}

// Guards against the capacity of a proposed start being assigned again while its log entry is being committed.
TEST(Placement, CountsProposedStarts)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 8, 100, 0 });
    jobs.addJob("j1", { 8, 10, 0 });
    jobs.addJob("j2", { 8, 10, 0 });
    jobs.view.jobs[0].startingOn = base::WorkerId("w1");
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).starts.empty());
}

// Guards against equal counts of cores instead of dominant shares, and against weights being ignored.
TEST(Placement, SharesByWeightedDominantResource)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 60, 600, 0 });
    for (int job = 0; job < 60; ++job) {
        jobs.addJob("a" + std::to_string(job), { 2, 1, 0 }, "cores");
        jobs.addJob("b" + std::to_string(job), { 1, 20, 0 }, "memory");
    }
    jobs.view.teams = { { base::TeamId("cores"), 2, {} }, { base::TeamId("memory"), 1, {} } };
    jobs.start(planPlacement(jobs.view, {}, jobs.now));
    const auto used = jobs.usedBy([](const state::JobRecord& record) { return record.spec.team.text(); });
    const double cores = used.at("cores").cores / 60.0;
    const double memory = static_cast<double>(used.at("memory").memoryMb) / 600.0;
    EXPECT_NEAR(cores, 2 * memory, 2.0 / 30);
}

// Guards against urgent jobs waiting behind non-urgent jobs, and against a second preemption for the same job while the
// first checkpoint is still being written.
TEST(Placement, MakesRoomForUrgentWorkOnce)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 8, 100, 0 });
    jobs.addRunning("r1", { 4, 10, 0 }, "w1");
    jobs.addRunning("r2", { 4, 10, 0 }, "w1");
    jobs.addJob("patient", { 2, 10, 0 });
    jobs.addJob("urgent", { 4, 10, 0 }).spec.isUrgent = true;
    const auto plan = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(plan.preempts.size(), 1U);
    EXPECT_EQ(plan.preempts[0].forJob, base::JobId("urgent"));
    for (JobView& job : jobs.view.jobs) {
        job.isStopping = job.record->spec.job == plan.preempts[0].job;
    }
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).preempts.empty());
    jobs.job(plan.preempts[0].job.text()).state = state::JobState::Queued;
    const auto next = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(next.starts.size(), 1U);
    EXPECT_EQ(next.starts[0].job, base::JobId("urgent"));
}

// Guards against a job above its team's quota waiting forever.
TEST(Placement, RejectsAJobAboveItsQuota)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 64, 1'000, 1 });
    jobs.addJob("j1", { 1, 1, 1 });
    jobs.view.teams = { { base::TeamId("team"), 1, document::JobQuota { 10, 10, 0 } } };
    const auto plan = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(plan.rejects.size(), 1U);
    EXPECT_EQ(plan.rejects[0].reason, RejectReason::LargerThanQuota);
    EXPECT_EQ(plan.rejects[0].shortage.resource, ResourceKind::Accelerators);
    EXPECT_TRUE(plan.rejects[0].shortage.worker.empty());
}

// Guards against a stale index hint that counts a running job on the wrong worker or for the wrong team.
TEST(Placement, LooksUpWhenHintsAreWrong)
{
    FakeJobs jobs;
    jobs.addWorker("w0", { 8, 100, 0 });
    jobs.addWorker("w1", { 8, 100, 0 });
    jobs.view.teams
        = { { base::TeamId("other"), 1, {} }, { base::TeamId("team"), 1, document::JobQuota { 10, 100, 0 } } };
    jobs.addRunning("running", { 8, 10, 0 }, "w1");
    jobs.addJob("above", { 4, 10, 0 });
    jobs.addJob("within", { 2, 10, 0 });
    for (const std::size_t hint : { 0U, 1U, 99U }) {
        for (JobView& job : jobs.view.jobs) {
            job.workerHint = job.teamHint = hint;
        }
        const auto plan = planPlacement(jobs.view, {}, jobs.now);
        ASSERT_EQ(plan.starts.size(), 1U);
        EXPECT_EQ(plan.starts[0].job, base::JobId("within"));
        EXPECT_EQ(plan.starts[0].worker, base::WorkerId("w0"));
    }
}

// Guards against a worker that runs out of memory although a job on it can be preempted, and against preemption of
// non-idempotent jobs.
TEST(Placement, RelievesWorkersUnderPressure)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 8, 100, 0 });
    jobs.addRunning("once", { 1, 10, 0 }, "w1").spec.isIdempotent = false;
    jobs.addRunning("again", { 1, 10, 0 }, "w1");
    jobs.addJob("waiting", { 1, 10, 0 });
    jobs.view.jobs[0].used = { 1, 60, 0 };
    jobs.view.jobs[1].used = { 1, 40, 0 };
    jobs.view.workers[0].used = { 2, 100, 0 };
    const auto plan = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(plan.preempts.size(), 1U);
    EXPECT_EQ(plan.preempts[0].job, base::JobId("again"));
    EXPECT_EQ(plan.preempts[0].reason, PreemptReason::MemoryPressure);
    EXPECT_TRUE(plan.starts.empty());
    jobs.view.jobs[1].isStopping = true;
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).preempts.empty());
    jobs.records[1].state = state::JobState::Done;
    const auto next = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(next.throttles.size(), 1U);
    EXPECT_EQ(next.throttles[0].job, base::JobId("once"));
    EXPECT_TRUE(next.preempts.empty());
}

} // namespace
} // namespace crocuscove::placement
