#pragma once

#include "crocuscove/jobs/job_rank.h"
#include "crocuscove/jobs/scheduler.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::jobs {

/// Why a task that may start is not assigned to a worker.
enum class WaitReason : std::uint8_t {
    /// No worker of the service can be given tasks now.
    NoWorker,
    /// No such worker has the required label, or all that have it run as many tasks of the step as are allowed.
    NotAllowed,
    /// The task exceeds the capacity that each allowed worker has beside its long-running tasks.
    ExceedsWorkers,
    /// Each allowed worker is full for now.
    NoRoom,
    /// A worker has room: the next plan, the rest of a gang, or a worker that is kept free for another task is missing.
    NotPlanned,
    /// Workers have crashed, or may have, under its last runs.
    LostRuns,
    /// A delayed start of an earlier run may yet be carried out.
    DelayedStart,
};

std::string_view waitReasonName(WaitReason reason);

/// The waiting task that ranks first among the jobs of a service.
struct QueueHead {
    std::string service;
    TaskKey task;
    Urgency urgency = Urgency::Missed;
    WaitReason reason = WaitReason::NoWorker;
    /// The free resources that a worker must have.
    Resources required;
    /// The largest amount of each resource that is free on an allowed worker; no single worker may have all of it.
    Resources largestFree;
    std::uint32_t allowedWorkers = 0;
    /// Long-running tasks of the service that may start and wait.
    std::uint64_t waitingLongRunning = 0;
};

/// Returns the head of the queue of each service that has a task that may start: the first one of its long-running
/// jobs, which rank before all others, or else the first one of the others. At most 256 jobs of a queue, those with the
/// lowest ids, are looked at and counted in either case.
std::vector<QueueHead> findQueueHeads(const SchedulingView& view);

} // namespace crocuscove::jobs
