#include "pressure.h"

namespace crocuscove::placement {

namespace {

struct Candidates {
    /// Idempotent non-urgent job that uses the most memory.
    const JobView* checkpointable = nullptr;
    /// Non-urgent job that uses the most cores.
    const JobView* busiest = nullptr;
};

bool isAbove(std::uint64_t used, std::uint64_t capacity, double share)
{
    return static_cast<double>(used) > share * static_cast<double>(capacity);
}

Candidates candidatesOf(const std::vector<const JobView*>& jobs)
{
    Candidates found;
    for (const JobView* job : jobs) {
        const state::JobSpec& spec = job->record->spec;
        if (spec.isUrgent) {
            continue;
        }
        if (spec.isIdempotent
            && (found.checkpointable == nullptr || job->used.memoryMb > found.checkpointable->used.memoryMb)) {
            found.checkpointable = job;
        }
        if (!job->isThrottled && (found.busiest == nullptr || job->used.cores > found.busiest->used.cores)) {
            found.busiest = job;
        }
    }
    return found;
}

void relieve(const std::vector<const JobView*>& jobs, bool isMemoryShort, PlacementPlan& plan)
{
    // A checkpoint in progress already frees capacity, so no further action is needed.
    if (std::ranges::any_of(jobs, &JobView::isStopping)) {
        return;
    }
    const Candidates found = candidatesOf(jobs);
    if (isMemoryShort && found.checkpointable != nullptr) {
        const state::JobRecord& record = *found.checkpointable->record;
        plan.preempts.push_back({ record.spec.job, record.worker, record.token, PreemptMethod::Checkpoint,
            PreemptReason::MemoryPressure, {} });
    } else if (found.busiest != nullptr) {
        const state::JobRecord& record = *found.busiest->record;
        plan.throttles.push_back({ record.spec.job, record.worker, record.token,
            isMemoryShort ? ThrottleReason::MemoryPressure : ThrottleReason::ProcessorPressure });
    }
}

} // namespace

void relievePressure(
    const PlacementView& view, const PlacementOptions& options, WorkerIndex& index, PlacementPlan& plan)
{
    std::map<std::size_t, std::vector<const JobView*>> jobs;
    for (std::size_t worker = 0; worker < view.workers.size() && jobs.size() < options.maxRelievedWorkers; ++worker) {
        const WorkerView& entry = view.workers[worker];
        if (isAbove(entry.used.memoryMb, entry.capacity.memoryMb, options.memoryPressure)
            || isAbove(entry.used.cores, entry.capacity.cores, options.processorPressure)) {
            jobs[worker];
            index.markUnschedulable(worker);
        }
    }
    if (jobs.empty()) {
        return;
    }
    for (const JobView& job : view.jobs) {
        if (job.record->state == state::JobState::Running) {
            const auto worker = index.find(job.record->worker, job.workerHint);
            if (const auto entry = worker ? jobs.find(*worker) : jobs.end(); entry != jobs.end()) {
                entry->second.push_back(&job);
            }
        }
    }
    for (const auto& [worker, running] : jobs) {
        const WorkerView& entry = view.workers[worker];
        relieve(running, isAbove(entry.used.memoryMb, entry.capacity.memoryMb, options.memoryPressure), plan);
    }
}

} // namespace crocuscove::placement
