#include "crocuscove/jobs/queue_head.h"

#include "crocuscove/base/enum_names.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace crocuscove::jobs {

namespace {

constexpr auto reasonNames = base::enumNames<WaitReason>({
    { WaitReason::NoWorker, "no-worker" },
    { WaitReason::NotAllowed, "not-allowed" },
    { WaitReason::ExceedsWorkers, "exceeds-workers" },
    { WaitReason::NoRoom, "no-room" },
    { WaitReason::NotPlanned, "not-planned" },
    { WaitReason::LostRuns, "lost-runs" },
    { WaitReason::DelayedStart, "delayed-start" },
});

/// Jobs of a queue that are ranked, since a backlog can be tens of thousands.
constexpr std::size_t maxJobsPerQueue = 256;

/// Calls `visit` with the key of each waiting task of a job that may start now.
template <typename Visitor> void visitStartable(const Job& job, std::int64_t nowMs, const Visitor& visit)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepProgress& progress = job.occurrences[occurrence][step];
            if (progress.waitingTasks == 0 || job.spec.dueMs(occurrence) > nowMs
                || !job.isStepReady(occurrence, step)) {
                continue;
            }
            for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
                if (progress.tasks[index].phase == TaskPhase::Waiting) {
                    visit(TaskKey { job.id, occurrence, step, index });
                }
            }
        }
    }
}

std::optional<TaskKey> firstStartable(const Job& job, std::int64_t nowMs)
{
    std::optional<TaskKey> first;
    visitStartable(job, nowMs, [&](const TaskKey& key) { first = first ? first : key; });
    return first;
}

std::uint64_t countLongRunning(const Job& job, std::int64_t nowMs)
{
    std::uint64_t count = 0;
    visitStartable(job, nowMs, [&](const TaskKey& key) { count += job.spec.steps[key.step].isLongRunning ? 1 : 0; });
    return count;
}

/// Calls `visit` with the first jobs of each queue in an index, and with the queue.
template <typename Visitor>
void visitJobs(const FleetState& state, const std::map<std::string, std::set<JobId>>& index, const Visitor& visit)
{
    for (const auto& [queueName, jobs] : index) {
        const Queue* queue = state.findQueue(queueName);
        if (queue == nullptr) {
            continue;
        }
        std::size_t visited = 0;
        for (const JobId id : jobs) {
            if (++visited > maxJobsPerQueue) {
                break;
            }
            visit(*queue, *state.findJob(id));
        }
    }
}

bool isAllowed(const Worker& worker, const Job& job, const TaskKey& key)
{
    const auto& tasks = job.occurrences[key.occurrence][key.step].tasks;
    const auto running = std::ranges::count_if(
        tasks, [&](const Task& task) { return task.phase == TaskPhase::Assigned && task.worker == worker.number; });
    return isAllowedOn(worker, job.spec.steps[key.step], static_cast<std::uint32_t>(running));
}

/// Returns what a worker has for tasks that end by themselves.
Resources capacityBesideLongRunning(const FleetState& state, const Worker& worker)
{
    Resources result = worker.report.capacity;
    for (const TaskKey& key : state.tasksOf(worker.number)) {
        const StepSpec& spec = state.findJob(key.job)->spec.steps[key.step];
        if (spec.isLongRunning) {
            result -= spec.reservation();
        }
    }
    return result;
}

void explain(QueueHead& head, const SchedulingView& view)
{
    const Job& job = *view.state.findJob(head.task.job);
    const auto improve = [&](WaitReason reason) { head.reason = std::max(head.reason, reason); };
    for (const auto& [number, worker] : view.state.workers()) {
        if (worker.report.service != head.service || worker.report.isDraining || !view.isUsable(worker)) {
            continue;
        }
        improve(WaitReason::NotAllowed);
        if (!isAllowed(worker, job, head.task)) {
            continue;
        }
        ++head.allowedWorkers;
        head.largestFree = componentwiseMax(head.largestFree, worker.free());
        improve(WaitReason::ExceedsWorkers);
        if (head.required.fitsInto(worker.free())) {
            improve(WaitReason::NotPlanned);
        } else if (head.required.fitsInto(capacityBesideLongRunning(view.state, worker))) {
            improve(WaitReason::NoRoom);
        }
    }
    if (isPaused(view.state, head.task, view.nowMs)) {
        const bool isDelayed = view.state.unansweredStarts().delayedUntilMs(head.task) > view.nowMs;
        improve(isDelayed ? WaitReason::DelayedStart : WaitReason::LostRuns);
    }
}

} // namespace

std::string_view waitReasonName(WaitReason reason) { return reasonNames.name(reason); }

std::vector<QueueHead> findQueueHeads(const SchedulingView& view)
{
    struct First {
        JobRank rank;
        TaskKey task;
        std::uint64_t waitingLongRunning = 0;
    };
    std::map<std::string, First> firstByService;
    const auto consider = [&](const Queue& queue, const Job& job) {
        const auto task = firstStartable(job, view.nowMs);
        if (!task) {
            return;
        }
        const JobRank rank = rankOf(job, queue, view.runTimes, view.nowMs);
        const auto [first, isNew] = firstByService.try_emplace(queue.service, First { rank, *task, 0 });
        first->second.waitingLongRunning += countLongRunning(job, view.nowMs);
        if (rank < first->second.rank) {
            first->second.rank = rank;
            first->second.task = *task;
        }
    };
    visitJobs(view.state, view.state.readyLongRunningJobs(), consider);
    // Long-running jobs rank before all others.
    const auto withLongRunning = firstByService;
    visitJobs(view.state, view.state.readyJobs(), [&](const Queue& queue, const Job& job) {
        if (!withLongRunning.contains(queue.service)) {
            consider(queue, job);
        }
    });
    std::vector<QueueHead> result;
    for (const auto& [service, first] : firstByService) {
        QueueHead head;
        head.service = service;
        head.task = first.task;
        head.urgency = first.rank.urgency;
        head.required = view.state.findJob(first.task.job)->spec.steps[first.task.step].reservation();
        head.waitingLongRunning = first.waitingLongRunning;
        explain(head, view);
        result.push_back(std::move(head));
    }
    return result;
}

} // namespace crocuscove::jobs
