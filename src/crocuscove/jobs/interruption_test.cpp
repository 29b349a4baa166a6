#include "crocuscove/jobs/interruption.h"

#include <gtest/gtest.h>

#include <set>

namespace crocuscove::jobs {
namespace {

Job longRunningJob(std::uint32_t tasks, std::uint32_t mayInterrupt)
{
    Job job;
    job.id = 1;
    StepSpec step;
    step.taskCount = tasks;
    step.isLongRunning = true;
    step.mayInterrupt = mayInterrupt;
    job.spec.steps = { step };
    job.occurrences = { { StepProgress { std::vector<Task>(tasks), 0, 0, 0 } } };
    return job;
}

// Guards against stopping two tasks of one step in the same tick, before the first is reported as ended.
TEST(InterruptionTest, ASecondTaskIsNotInterruptedWhileTheFirstStops)
{
    const Job job = longRunningJob(5, 1);
    std::set<std::uint32_t> stopping;
    const auto isAvailable = [&](const TaskKey& key, const Task&) { return !stopping.contains(key.index); };
    EXPECT_TRUE(mayInterrupt(job, { 1, 0, 0, 3 }, isAvailable));
    stopping.insert(3);
    EXPECT_FALSE(mayInterrupt(job, { 1, 0, 0, 2 }, isAvailable));
    EXPECT_TRUE(mayInterrupt(job, { 1, 0, 0, 3 }, isAvailable));
}

TEST(InterruptionTest, TheStepLimitAppliesToUnavailableTasks)
{
    const Job job = longRunningJob(8, 2);
    const auto oneUnavailable = [](const TaskKey& key, const Task&) { return key.index != 0; };
    const auto twoUnavailable = [](const TaskKey& key, const Task&) { return key.index > 1; };
    EXPECT_TRUE(mayInterrupt(job, { 1, 0, 0, 5 }, oneUnavailable));
    EXPECT_FALSE(mayInterrupt(job, { 1, 0, 0, 5 }, twoUnavailable));
}

} // namespace
} // namespace crocuscove::jobs
