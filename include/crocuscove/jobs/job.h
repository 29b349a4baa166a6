#pragma once

#include "crocuscove/jobs/job_spec.h"
#include "crocuscove/jobs/worker.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::jobs {

/// Identifies one task of a job.
struct TaskKey {
    JobId job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // The linter mistakes the 0 in the comparison that the compiler generates for a null pointer.
    auto operator<=>(const TaskKey&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class TaskPhase : std::uint8_t {
    Waiting,
    /// Assigned to a worker, where it may already be running.
    Assigned,
    Done,
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    /// Number of the latest run; 0 before the first.
    std::uint32_t run = 0;
    /// Number of runs that failed.
    std::uint32_t failures = 0;
    /// The worker of the current run, while assigned.
    WorkerNumber worker = 0;
    /// Checkpoint from which the next run resumes; empty if there is none.
    std::string checkpoint;
};

struct StepProgress {
    std::vector<Task> tasks;
    std::uint32_t doneTasks = 0;
    std::uint32_t waitingTasks = 0;
    /// Number of failed runs of the gang as a whole.
    std::uint32_t gangFailures = 0;
};

enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
};

std::string_view jobPhaseName(JobPhase phase);

struct Job {
    JobId id = 0;
    std::string queue;
    JobSpec spec;
    /// Time of acceptance by the wall clock of the leader, in Unix milliseconds.
    std::int64_t acceptedMs = 0;
    /// When the job was done, failed or was cancelled, in Unix milliseconds.
    std::int64_t finishedMs = 0;
    JobPhase phase = JobPhase::Queued;
    /// Indexed by occurrence, then by step. All occurrences are created when the job is accepted. Empty once the job
    /// has ended and none of its tasks is assigned; its payload is empty then too.
    std::vector<std::vector<StepProgress>> occurrences;
    /// Whether a task waits in a step whose dependencies are done. Derived from the members above by the owner of the
    /// job; not encoded.
    bool hasReadyTask = false;

    [[nodiscard]] bool isActive() const { return phase == JobPhase::Queued || phase == JobPhase::Running; }
    /// Returns whether a worker still holds a task of the job.
    [[nodiscard]] bool hasAssignedTask() const;
    /// Returns whether every dependency of `step` is done.
    [[nodiscard]] bool isStepReady(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns whether some task waits in a step whose dependencies are done. Due times are not considered.
    [[nodiscard]] bool findReadyTask() const;
    /// Returns the task with this key, or a null pointer if there is none.
    [[nodiscard]] const Task* find(const TaskKey& key) const;
    [[nodiscard]] Task* find(const TaskKey& key);
};

/// Returns whether a worker that runs `running` tasks of a step has the label that the step requires and may run
/// another of its tasks.
[[nodiscard]] inline bool isAllowedOn(const Worker& worker, const StepSpec& step, std::uint32_t running)
{
    return (step.maxPerWorker == 0 || running < step.maxPerWorker)
        && (step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel));
}

CROCUSCOVE_FIELDS(TaskKey, v.job, v.occurrence, v.step, v.index)
CROCUSCOVE_FIELDS(Task, v.phase, v.run, v.failures, v.worker, v.checkpoint)
CROCUSCOVE_FIELDS(StepProgress, v.tasks, v.doneTasks, v.waitingTasks, v.gangFailures)
CROCUSCOVE_FIELDS(Job, v.id, v.queue, v.spec, v.acceptedMs, v.finishedMs, v.phase, v.occurrences)

} // namespace crocuscove::jobs
