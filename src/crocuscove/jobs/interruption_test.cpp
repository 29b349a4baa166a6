#include "crocuscove/jobs/interruption.h"

#include <gtest/gtest.h>

#include <set>

namespace crocuscove::jobs {
namespace {

Job lastingJob(std::uint32_t tasks, std::uint32_t mayInterrupt)
{
    Job job;
    job.id = 1;
    StepSpec step;
    step.taskCount = tasks;
    step.isLasting = true;
    step.mayInterrupt = mayInterrupt;
    job.spec.steps = { step };
    job.occurrences = { { StepProgress { std::vector<Task>(tasks), 0, 0, 0 } } };
    return job;
}

// Guards against stopping two tasks of one step in the same tick, before the first is reported as ended.
TEST(InterruptionTest, ASecondTaskIsKeptWhileTheFirstIsToldToStop)
{
    const Job job = lastingJob(5, 1);
    std::set<std::uint32_t> stopping;
    const auto isAtWork = [&](const TaskKey& key, const Task&) { return !stopping.contains(key.index); };
    EXPECT_TRUE(mayInterrupt(job, { 1, 0, 0, 3 }, isAtWork));
    stopping.insert(3);
    EXPECT_FALSE(mayInterrupt(job, { 1, 0, 0, 2 }, isAtWork));
    EXPECT_TRUE(mayInterrupt(job, { 1, 0, 0, 3 }, isAtWork));
}

TEST(InterruptionTest, TheStatedNumberMayBeAway)
{
    const Job job = lastingJob(8, 2);
    const auto oneAway = [](const TaskKey& key, const Task&) { return key.index != 0; };
    const auto twoAway = [](const TaskKey& key, const Task&) { return key.index > 1; };
    EXPECT_TRUE(mayInterrupt(job, { 1, 0, 0, 5 }, oneAway));
    EXPECT_FALSE(mayInterrupt(job, { 1, 0, 0, 5 }, twoAway));
}

} // namespace
} // namespace crocuscove::jobs
