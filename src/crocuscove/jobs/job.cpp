#include "crocuscove/jobs/job.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/jobs/command.h"

#include <algorithm>

namespace crocuscove::jobs {

namespace {

constexpr auto phaseNames = base::enumNames<JobPhase>({
    { JobPhase::Queued, "queued" },
    { JobPhase::Running, "running" },
    { JobPhase::Done, "done" },
    { JobPhase::Failed, "failed" },
    { JobPhase::Cancelled, "cancelled" },
});

constexpr auto endReasonNames = base::enumNames<TaskEndReason>({
    { TaskEndReason::Done, "done" },
    { TaskEndReason::Failed, "failed" },
    { TaskEndReason::Stopped, "stopped" },
    { TaskEndReason::LeaseExpired, "lease-expired" },
    { TaskEndReason::GangBroken, "gang-broken" },
    { TaskEndReason::GangIncomplete, "gang-incomplete" },
});

} // namespace

std::string_view jobPhaseName(JobPhase phase) { return phaseNames.name(phase); }

std::string_view taskEndReasonName(TaskEndReason kind) { return endReasonNames.name(kind); }

bool Job::hasAssignedTask() const
{
    return std::ranges::any_of(occurrences, [](const auto& steps) {
        return std::ranges::any_of(
            steps, [](const StepProgress& step) { return step.doneTasks + step.waitingTasks < step.tasks.size(); });
    });
}

bool Job::isStepReady(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& steps = occurrences[occurrence];
    return std::ranges::all_of(spec.steps[step].dependencies,
        [&](std::uint32_t dependency) { return steps[dependency].doneTasks == steps[dependency].tasks.size(); });
}

bool Job::findReadyTask() const
{
    for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < occurrences[occurrence].size(); ++step) {
            if (occurrences[occurrence][step].waitingTasks > 0 && isStepReady(occurrence, step)) {
                return true;
            }
        }
    }
    return false;
}

const Task* Job::find(const TaskKey& key) const
{
    const bool exists = key.occurrence < occurrences.size() && key.step < occurrences[key.occurrence].size()
        && key.index < occurrences[key.occurrence][key.step].tasks.size();
    return exists ? &occurrences[key.occurrence][key.step].tasks[key.index] : nullptr;
}

Task* Job::find(const TaskKey& key) { return const_cast<Task*>(std::as_const(*this).find(key)); }

} // namespace crocuscove::jobs
