#include "crocuscove/jobs/job_rank.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace crocuscove::jobs {

namespace {

/// A job that takes longer than this multiple of its objective earns no benefit (RULES, benefit).
constexpr std::int64_t lateFactor = 3;

/// Returns the length of the critical path through the steps, in milliseconds. With `onlyRemaining`, finished steps
/// count as 0.
std::int64_t criticalPathMs(const Job& job, const RunTimes& runTimes, bool onlyRemaining)
{
    std::vector<std::int64_t> ends;
    const auto& steps = job.occurrences.back();
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec& spec = job.spec.steps[step];
        std::int64_t start = 0;
        std::ranges::for_each(spec.dependencies, [&](std::uint32_t other) { start = std::max(start, ends[other]); });
        const bool isDone = onlyRemaining && steps[step].doneTasks == steps[step].tasks.size();
        ends.push_back(start + (isDone ? 0 : runTimes.expectedMs(job.queue, spec.estimateMs)));
    }
    return ends.empty() ? 0 : std::ranges::max(ends);
}

double remainingWork(const Job& job, const RunTimes& runTimes)
{
    double work = 0;
    for (const auto& steps : job.occurrences) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const StepSpec& spec = job.spec.steps[step];
            const auto unfinished = static_cast<double>(steps[step].tasks.size() - steps[step].doneTasks);
            const auto cpuMilli = static_cast<double>(std::max<std::int64_t>(1, spec.perTask.cpuMilli));
            const auto expectedMs = static_cast<double>(runTimes.expectedMs(job.queue, spec.estimateMs));
            work += std::floor(unfinished * cpuMilli * expectedMs / 1000);
        }
    }
    return work;
}

} // namespace

Urgency urgencyOf(const Job& job, const Queue& queue, const RunTimes& runTimes, std::int64_t nowMs)
{
    if (std::ranges::any_of(job.spec.steps, &StepSpec::isLongRunning)) {
        return Urgency::LongRunning;
    }
    const std::int64_t start = std::max(job.acceptedMs, job.spec.dueMs(0));
    const auto objective = static_cast<std::int64_t>(
        queue.stretch * static_cast<double>(criticalPathMs(job, runTimes, false)) + queue.objectiveMarginMs);
    const std::int64_t expectedEnd = nowMs + criticalPathMs(job, runTimes, true);
    if (expectedEnd <= start + objective) {
        return Urgency::OnTime;
    }
    return expectedEnd <= start + lateFactor * objective ? Urgency::Late : Urgency::Missed;
}

JobRank rankOf(const Job& job, const Queue& queue, const RunTimes& runTimes, std::int64_t nowMs)
{
    return { urgencyOf(job, queue, runTimes, nowMs), queue.priority, remainingWork(job, runTimes), job.id };
}

} // namespace crocuscove::jobs
