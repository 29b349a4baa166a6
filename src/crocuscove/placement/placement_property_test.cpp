#include "crocuscove/placement/placement_plan.h"

#include "crocuscove/base/testing/fixed_seed.h"
#include "crocuscove/placement/testing/fake_jobs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace crocuscove::placement {
namespace {

using base::testing::counterexample;
using base::testing::Shrinking;
using testing::FakeJobs;

/// Returns whether a counterexample shows a failed assertion of the property, not an exception.
bool isViolation(const std::string& text) { return text.find("RC_ASSERT") != std::string::npos; }

using PlanFunction = std::function<PlacementPlan(const PlacementView&, const PlacementOptions&, base::WallTime)>;

state::Resources randomSize(std::uint32_t cores, std::uint64_t memoryMb, std::uint32_t accelerators)
{
    return { *rc::gen::inRange(1U, cores), *rc::gen::inRange<std::uint64_t>(1, memoryMb),
        *rc::gen::inRange(0U, accelerators) };
}

FakeJobs randomJobs()
{
    FakeJobs jobs;
    const int workers = *rc::gen::inRange(1, 8);
    for (int worker = 0; worker < workers; ++worker) {
        jobs.addWorker("w" + std::to_string(worker), randomSize(64, 1'000, 8));
        jobs.view.workers.back().acceptsJobs = *rc::gen::inRange(0, 4) != 0;
    }
    const int count = *rc::gen::inRange(0, 40);
    for (int job = 0; job < count; ++job) {
        jobs.addJob("j" + std::to_string(job), randomSize(32, 600, 4), "t" + std::to_string(job % 3));
        jobs.records.back().spec.isUrgent = *rc::gen::inRange(0, 5) == 0;
        jobs.records.back().spec.isIdempotent = *rc::gen::inRange(0, 3) != 0;
    }
    return jobs;
}

bool exceeds(const state::Resources& used, const state::Resources& limit)
{
    return used.cores > limit.cores || used.memoryMb > limit.memoryMb || used.accelerators > limit.accelerators;
}

std::string checkCapacity(const PlanFunction& decide, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261204, 200, shrinking, [&] {
        FakeJobs jobs = randomJobs();
        for (int round = 0; round < 3; ++round) {
            const auto plan = decide(jobs.view, {}, jobs.now);
            for (const StartAction& action : plan.starts) {
                const auto worker = std::ranges::find(jobs.view.workers, action.worker, &WorkerView::worker);
                RC_ASSERT(worker->acceptsJobs);
            }
            jobs.start(plan);
            auto used = jobs.usedBy([](const state::JobRecord& record) { return record.worker.text(); });
            for (const WorkerView& worker : jobs.view.workers) {
                RC_ASSERT(!exceeds(used[worker.worker.text()], worker.capacity));
            }
        }
    });
}

// Guards against a worker being given more than its capacity, within a round or over rounds.
TEST(PlacementProperty, CapacityIsNeverExceeded) { EXPECT_EQ(checkCapacity(planPlacement, Shrinking::On), ""); }

// Guards against a check that can't fail: the planner ignores the running jobs.
TEST(PlacementProperty, CapacityCheckFailsForADecisionThatForgetsRunningJobs)
{
    EXPECT_TRUE(isViolation(checkCapacity([](PlacementView view, const PlacementOptions& options, base::WallTime now) {
        std::erase_if(view.jobs, [](const JobView& job) { return job.record->state == state::JobState::Running; });
        PlacementOptions few = options;
        few.maxStarts = 3;
        return planPlacement(view, few, now);
    })));
}

void addTeams(FakeJobs& jobs)
{
    for (int team = 0; team < 3; ++team) {
        const auto quota = randomSize(128, 2'000, 8);
        jobs.view.teams.push_back({ base::TeamId("t" + std::to_string(team)), *rc::gen::inRange(1U, 5U),
            document::JobQuota { quota.cores, quota.memoryMb, quota.accelerators } });
    }
}

std::string checkQuotas(const PlanFunction& decide, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261205, 200, shrinking, [&] {
        FakeJobs jobs = randomJobs();
        addTeams(jobs);
        for (int round = 0; round < 3; ++round) {
            jobs.start(decide(jobs.view, {}, jobs.now));
            jobs.now += std::chrono::minutes(30);
        }
        auto used = jobs.usedBy([](const state::JobRecord& record) { return record.spec.team.text(); });
        for (const TeamView& team : jobs.view.teams) {
            const state::Resources quota { team.quota->cores, team.quota->memoryMb, team.quota->accelerators };
            RC_ASSERT(!exceeds(used[team.team.text()], quota));
        }
    });
}

// Guards against a team, also with urgent or overdue work, using more than its quota.
TEST(PlacementProperty, QuotasAreNeverExceeded) { EXPECT_EQ(checkQuotas(planPlacement, Shrinking::On), ""); }

// Guards against a check that can't fail: the planner sees no quotas.
TEST(PlacementProperty, QuotaCheckFailsForADecisionWithoutQuotas)
{
    EXPECT_TRUE(isViolation(checkQuotas([](PlacementView view, const PlacementOptions& options, base::WallTime now) {
        view.teams.clear();
        return planPlacement(view, options, now);
    })));
}

std::string checkPreemption(const PlanFunction& decide, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261206, 300, shrinking, [&] {
        FakeJobs jobs = randomJobs();
        std::ranges::for_each(jobs.records, [](state::JobRecord& record) { record.spec.isUrgent = false; });
        jobs.start(planPlacement(jobs.view, {}, jobs.now));
        jobs.addJob("urgent", randomSize(48, 800, 4)).spec.isUrgent = true;
        const auto plan = decide(jobs.view, {}, jobs.now);
        std::map<base::WorkerId, state::Resources> reachable;
        for (const PreemptAction& action : plan.preempts) {
            const auto& victim = jobs.job(action.job.text());
            RC_ASSERT(victim.spec.isIdempotent && !victim.spec.isUrgent);
            RC_ASSERT(action.forJob == base::JobId("urgent"));
        }
        // One worker has room for the urgent job once its victims are checkpointed.
        for (const PreemptAction& action : plan.preempts) {
            RC_ASSERT(action.worker == plan.preempts.front().worker);
            jobs.job(action.job.text()).state = state::JobState::Done;
        }
        if (!plan.preempts.empty()) {
            jobs.start(planPlacement(jobs.view, {}, jobs.now));
            RC_ASSERT(jobs.job("urgent").state == state::JobState::Running);
        }
    });
}

// Guards against preemption of non-idempotent jobs, and against preemption that does not free enough capacity.
TEST(PlacementProperty, OnlyIdempotentNonUrgentJobsArePreempted)
{
    EXPECT_EQ(checkPreemption(planPlacement, Shrinking::On), "");
}

// Guards against a check that can't fail: the planner treats every job as idempotent.
TEST(PlacementProperty, PreemptionCheckFailsForADecisionThatIgnoresIdempotency)
{
    EXPECT_TRUE(
        isViolation(checkPreemption([](PlacementView view, const PlacementOptions& options, base::WallTime now) {
            std::deque<state::JobRecord> copies;
            for (JobView& job : view.jobs) {
                copies.push_back(*job.record);
                copies.back().spec.isIdempotent = true;
                job.record = &copies.back();
            }
            return planPlacement(view, options, now);
        })));
}

/// One job needs a whole worker while other teams keep submitting small and urgent jobs of random length.
std::string checkStarvation(const PlanFunction& decide, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261207, 10, shrinking, [&] {
        FakeJobs jobs;
        jobs.addWorker("w1", { 8, 1'000, 0 });
        jobs.addWorker("w2", { 8, 1'000, 0 });
        jobs.addJob("large", { 8, 900, 0 }, "t0");
        const std::string flood = *rc::gen::element<std::string>("t0", "t1");
        std::map<std::string, int> remaining { { "large", 5 } };
        for (int minute = 0; minute < 120 && jobs.job("large").state != state::JobState::Done; ++minute) {
            for (int added = 0; added < 4; ++added) {
                const auto id = "j" + std::to_string(minute) + "-" + std::to_string(added);
                jobs.addJob(id, { 2, 10, 0 }, flood).spec.isUrgent = added == 0;
                remaining[id] = *rc::gen::inRange(4, 9);
            }
            const auto plan = decide(jobs.view, {}, jobs.now);
            for (const PreemptAction& action : plan.preempts) {
                jobs.job(action.job.text()).state = state::JobState::Queued;
                jobs.job(action.job.text()).changedAt = jobs.now;
            }
            jobs.start(plan);
            for (state::JobRecord& record : jobs.records) {
                if (record.state == state::JobState::Running && --remaining[record.spec.job.text()] <= 0) {
                    record.state = state::JobState::Done;
                }
            }
            jobs.now += std::chrono::minutes(1);
        }
        RC_ASSERT(jobs.job("large").state == state::JobState::Done);
    });
}

// Guards against a large non-urgent job waiting forever behind small or urgent ones, of its own or another team.
TEST(PlacementProperty, NonUrgentWorkIsNotStarved) { EXPECT_EQ(checkStarvation(planPlacement, Shrinking::On), ""); }

// Guards against a check that can't fail: the planner reserves no worker for a waiting job.
TEST(PlacementProperty, StarvationCheckFailsForADecisionWithoutReservations)
{
    EXPECT_TRUE(
        isViolation(checkStarvation([](const PlacementView& view, PlacementOptions options, base::WallTime now) {
            options.overdueTimeout = options.starvationTimeout = std::chrono::hours(1'000);
            return planPlacement(view, options, now);
        })));
}

} // namespace
} // namespace crocuscove::placement
