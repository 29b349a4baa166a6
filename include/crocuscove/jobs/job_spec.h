#pragma once

#include "crocuscove/jobs/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuscove::jobs {

/// Identifier of a job, chosen by the client.
using JobId = std::uint64_t;

/// One step of a job: identical tasks that become ready together.
struct StepSpec {
    std::uint32_t taskCount = 0;
    /// Resources that each task needs on its worker; see reservation().
    Resources perTask;
    /// The client's rough estimate of a task's run time, in milliseconds.
    std::uint32_t estimateMs = 0;
    /// Indexes of the earlier steps that must be done before this one starts.
    std::vector<std::uint32_t> dependencies;
    bool hasCheckpoints = false;
    /// All tasks are scheduled at the same time, under one run number (gang scheduling).
    bool isGang = false;
    /// The tasks run slower if they are spread over several racks.
    bool prefersOneRack = false;
    /// Label that the worker must have; empty for none.
    std::string requiredLabel;
    /// Preferred rack, close to the input data; empty for none.
    std::string dataRack;
    /// Maximum number of tasks of this step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Several copies of a task may run at the same time (speculative execution).
    bool allowsCopies = false;
    /// The tasks run until the job is cancelled and are restarted whenever they end, also after success.
    bool isLasting = false;
    /// The tasks use only processor time that other tasks leave idle, so that no processor time is reserved for them.
    bool usesLeftover = false;
    std::string image;
    /// Target of the tail latency of a task that serves requests, in milliseconds; 0 if it serves none.
    std::uint32_t targetTailMs = 0;
    /// Number of tasks that planned maintenance may interrupt at the same time; 0 is treated as 1.
    std::uint32_t mayInterrupt = 0;

    /// Returns the free resources that a worker must have to be assigned one task.
    [[nodiscard]] Resources reservation() const
    {
        return { usesLeftover ? 0 : perTask.cpuMilli, perTask.memoryMb, perTask.accelerators };
    }

    bool operator==(const StepSpec&) const = default;
};

/// A job as a client submits it.
struct JobSpec {
    /// Opaque text that is passed to the workers.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of occurrences of a scheduled job; 0 for a job that runs once, as soon as it is accepted.
    std::uint32_t repeatCount = 0;
    /// When the first occurrence is due, in Unix milliseconds.
    std::int64_t firstDueMs = 0;
    std::int64_t periodMs = 0;

    [[nodiscard]] std::uint32_t occurrences() const { return repeatCount == 0 ? 1 : repeatCount; }
    [[nodiscard]] std::int64_t dueMs(std::uint32_t occurrence) const
    {
        return repeatCount == 0 ? 0 : firstDueMs + static_cast<std::int64_t>(occurrence) * periodMs;
    }

    bool operator==(const JobSpec&) const = default;
};

CROCUSCOVE_FIELDS(StepSpec, v.taskCount, v.perTask, v.estimateMs, v.dependencies, v.hasCheckpoints, v.isGang,
    v.prefersOneRack, v.requiredLabel, v.dataRack, v.maxPerWorker, v.allowsCopies, v.isLasting, v.usesLeftover, v.image,
    v.targetTailMs, v.mayInterrupt)
CROCUSCOVE_FIELDS(JobSpec, v.payload, v.steps, v.repeatCount, v.firstDueMs, v.periodMs)

} // namespace crocuscove::jobs
