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

using Decision = std::function<PlacementPlan(const PlacementView&, const PlacementOptions&, base::WallTime)>;

state::Resources someSize(std::uint32_t cores, std::uint64_t memoryMb, std::uint32_t accelerators)
{
    return { *rc::gen::inRange(1U, cores), *rc::gen::inRange<std::uint64_t>(1, memoryMb),
        *rc::gen::inRange(0U, accelerators) };
}

FakeJobs someJobs()
{
    FakeJobs jobs;
    const int workers = *rc::gen::inRange(1, 8);
    for (int worker = 0; worker < workers; ++worker) {
        jobs.addWorker("w" + std::to_string(worker), someSize(64, 1'000, 8));
        jobs.view.workers.back().takesWork = *rc::gen::inRange(0, 4) != 0;
    }
    const int count = *rc::gen::inRange(0, 40);
    for (int job = 0; job < count; ++job) {
        jobs.addJob("j" + std::to_string(job), someSize(32, 600, 4), "t" + std::to_string(job % 3));
        jobs.records.back().spec.isUrgent = *rc::gen::inRange(0, 5) == 0;
        jobs.records.back().spec.isIdempotent = *rc::gen::inRange(0, 3) != 0;
    }
    return jobs;
}

bool exceeds(const state::Resources& used, const state::Resources& limit)
{
    return used.cores > limit.cores || used.memoryMb > limit.memoryMb || used.accelerators > limit.accelerators;
}

std::string checkCapacity(const Decision& decide, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261204, 200, shrinking, [&] {
        FakeJobs jobs = someJobs();
        for (int round = 0; round < 3; ++round) {
            const auto plan = decide(jobs.view, {}, jobs.now);
            for (const StartAction& action : plan.starts) {
                const auto worker = std::ranges::find(jobs.view.workers, action.worker, &WorkerView::worker);
                RC_ASSERT(worker->takesWork);
            }
            jobs.start(plan);
            std::map<base::WorkerId, state::Resources> used;
            for (const state::JobRecord& record : jobs.records) {
                if (record.state == state::JobState::Running) {
                    used[record.worker].cores += record.spec.declared.cores;
                    used[record.worker].memoryMb += record.spec.declared.memoryMb;
                    used[record.worker].accelerators += record.spec.declared.accelerators;
                }
            }
            for (const WorkerView& worker : jobs.view.workers) {
                RC_ASSERT(!exceeds(used[worker.worker], worker.capacity));
            }
        }
    });
}

// Guards against a worker being given more than its capacity, within a round or over rounds.
TEST(PlacementProperty, CapacityIsNeverExceeded) { EXPECT_EQ(checkCapacity(planPlacement, Shrinking::On), ""); }

// Guards against a check that can't fail: the decision forgets the running jobs.
TEST(PlacementProperty, CapacityCheckFailsForADecisionThatForgetsRunningJobs)
{
    EXPECT_NE(checkCapacity([](PlacementView view, const PlacementOptions& options, base::WallTime now) {
        std::erase_if(view.jobs, [](const JobView& job) { return job.record->state == state::JobState::Running; });
        PlacementOptions few = options;
        few.maxStarts = 3;
        return planPlacement(view, few, now);
    }),
        "");
}

} // namespace
} // namespace crocuscove::placement
