#include "crocuscove/placement/worker_health.h"

#include "crocuscove/base/testing/fixed_seed.h"
#include "crocuscove/placement/testing/fake_jobs.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace crocuscove::placement {
namespace {

using testing::FakeJobs;

struct Fixture {
    HealthState state;
    HealthOptions options;
    base::WallTime now { base::Milliseconds(1'000'000'000) };

    void finish(const std::string& worker, const std::string& job, bool hasFailed)
    {
        now += base::Milliseconds(1);
        recordOutcome(state, { base::WorkerId(worker), base::JobId(job), hasFailed }, options, now);
    }

    void failThree(const std::string& worker)
    {
        for (const char* job : { "-a", "-b", "-c" }) {
            finish(worker, worker + job, true);
        }
    }

    static std::vector<WorkerView> known(std::size_t count)
    {
        FakeJobs jobs;
        for (std::size_t worker = 0; worker < count; ++worker) {
            jobs.addWorker("w" + std::to_string(worker), {});
        }
        return jobs.view.workers;
    }

    WorkerHealth update(const std::string& worker, std::size_t workers = 10)
    {
        updateHealth(state, known(workers), options, now);
        return healthOf(state, base::WorkerId(worker));
    }
};

// Guards against a broken worker taking job after job, and against one that never returns after its repair.
TEST(WorkerHealth, QuarantinesProbesAndReturns)
{
    Fixture fixture;
    fixture.failThree("w1");
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Quarantined);
    fixture.now += fixture.options.firstProbeDelay;
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Probing);
    fixture.finish("w1", "probe", true);
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Quarantined);
    fixture.now += fixture.options.firstProbeDelay;
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Quarantined);
    fixture.now += fixture.options.firstProbeDelay;
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Probing);
    fixture.finish("w1", "probe2", false);
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Healthy);
}

// Guards against a success being ignored, which would quarantine a worker whose jobs fail only sometimes.
TEST(WorkerHealth, KeepsAWorkerThatSucceedsInBetween)
{
    Fixture fixture;
    for (const char* job : { "a", "b", "c", "d" }) {
        fixture.finish("w1", job, true);
        fixture.finish("w1", std::string(job) + "-good", false);
    }
    EXPECT_EQ(fixture.update("w1"), WorkerHealth::Healthy);
}

// Guards against jobs that fail on every worker causing the quarantine of many workers.
TEST(WorkerHealth, BlamesJobsThatFailOnSeveralWorkers)
{
    Fixture fixture;
    for (const char* worker : { "w1", "w2", "w3", "w4" }) {
        fixture.failThree(worker);
        for (const char* job : { "bad1", "bad2", "bad3" }) {
            fixture.finish(worker, job, true);
        }
    }
    EXPECT_TRUE(isBlamed(fixture.state, base::JobId("bad1"), fixture.options));
    HealthState onlyBad;
    for (const char* worker : { "w1", "w2", "w3", "w4" }) {
        for (const char* job : { "bad1", "bad2", "bad3" }) {
            recordOutcome(onlyBad, { base::WorkerId(worker), base::JobId(job), true }, fixture.options, fixture.now);
        }
    }
    EXPECT_TRUE(updateHealth(onlyBad, Fixture::known(100), fixture.options, fixture.now).empty());
}

std::string checkLimit(double maxQuarantinedShare)
{
    return base::testing::counterexample(20261208, 30, base::testing::Shrinking::Off, [&] {
        Fixture fixture;
        fixture.options.maxQuarantinedShare = maxQuarantinedShare;
        int workers = *rc::gen::inRange(1, 20);
        for (int step = 0; step < 200; ++step) {
            fixture.finish("w" + std::to_string(*rc::gen::inRange(0, workers)), "j" + std::to_string(step),
                *rc::gen::inRange(0, 20) != 0);
            workers -= step == 100 ? workers / 2 : 0;
            fixture.update("w0", static_cast<std::size_t>(workers));
            const auto out = std::ranges::count_if(
                fixture.state.workers, [](const auto& entry) { return entry.second.health != WorkerHealth::Healthy; });
            RC_ASSERT(5 * out <= workers);
        }
    });
}

// Guards against a correlated failure quarantining most of the fleet, also while workers are removed.
TEST(WorkerHealth, NeverQuarantinesMoreThanAFifth) { EXPECT_EQ(checkLimit(HealthOptions {}.maxQuarantinedShare), ""); }

// Guards against a check that can't fail: a limit of one half exceeds the checked fifth.
TEST(WorkerHealth, LimitCheckFailsForALargerShare) { EXPECT_NE(checkLimit(0.5).find("RC_ASSERT"), std::string::npos); }

// Guards against a probe with a non-idempotent job, and against more than one job on a probing worker.
TEST(WorkerHealth, ProbesWithOneIdempotentJob)
{
    FakeJobs jobs;
    jobs.addWorker("w1", { 8, 100, 0 });
    jobs.view.workers[0].health = WorkerHealth::Quarantined;
    jobs.addJob("once", { 1, 1, 0 }).spec.isIdempotent = false;
    jobs.addJob("again", { 1, 1, 0 });
    jobs.addJob("third", { 1, 1, 0 });
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).starts.empty());
    jobs.view.workers[0].health = WorkerHealth::Probing;
    const auto plan = planPlacement(jobs.view, {}, jobs.now);
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].job, base::JobId("again"));
    EXPECT_EQ(plan.starts[0].reason, StartReason::Probe);
    jobs.start(plan);
    EXPECT_TRUE(planPlacement(jobs.view, {}, jobs.now).starts.empty());
}

} // namespace
} // namespace crocuscove::placement
