#pragma once

#include "crocuscove/placement/placement_view.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

namespace crocuscove::placement {

enum class HealthReason {
    /// Several different jobs failed in a row and none succeeded.
    FailsEverything,
    ProbeDue,
    ProbeFailed,
    /// A job succeeded.
    Recovered,
    /// The failed jobs also fail on other workers.
    JobsBlamed,
    /// The number of workers fell, so that the quarantined share exceeded `maxQuarantinedShare`.
    AboveLimit,
};

std::string_view workerHealthName(WorkerHealth health);
std::string_view healthReasonName(HealthReason reason);

struct TaskOutcome {
    base::WorkerId worker {};
    base::JobId job {};
    bool hasFailed = false;
};

struct HealthChange {
    base::WorkerId worker {};
    WorkerHealth health = WorkerHealth::Healthy;
    HealthReason reason = HealthReason::FailsEverything;
};

/// Failure history of a worker on which a job failed.
struct WorkerFailures {
    WorkerHealth health = WorkerHealth::Healthy;
    /// Distinct jobs that failed since the last success. Excludes jobs that fail on several workers.
    std::vector<base::JobId> jobs {};
    base::WallTime lastFailure {};
    base::WallTime nextProbe {};
    base::Milliseconds probeDelay { 0 };
};

/// Distinct workers on which one job failed.
struct JobFailures {
    std::vector<base::WorkerId> workers {};
    base::WallTime lastFailure {};
};

/// Health state that the caller keeps between rounds. Not replicated: a new leader starts empty.
struct HealthState {
    std::map<base::WorkerId, WorkerFailures> workers {};
    std::map<base::JobId, JobFailures> jobs {};
};

struct HealthOptions {
    /// Number of distinct jobs that must fail consecutively before a worker is quarantined.
    std::size_t failuresToQuarantine = 3;
    /// A job that failed on this many distinct workers is considered faulty and no longer counts against the workers.
    std::size_t workersToBlameJob = 3;
    /// Largest share of the workers that may be quarantined or probing at the same time.
    double maxQuarantinedShare = 0.2;
    base::Milliseconds firstProbeDelay { 60'000 };
    base::Milliseconds maxProbeDelay { 1'800'000 };
    /// Failures are discarded after this time. Quarantined workers are kept.
    base::Milliseconds failureRetention { 3'600'000 };
    std::size_t maxWorkers = 50'000;
    std::size_t maxJobs = 100'000;
};

/// Records whether a finished task failed.
void recordOutcome(HealthState& state, const TaskOutcome& outcome, const HealthOptions& options, base::WallTime now);

/// Quarantines, probes and reinstates workers. Discards old failures and workers that are not in `known`.
std::vector<HealthChange> updateHealth(
    HealthState& state, const std::vector<WorkerView>& known, const HealthOptions& options, base::WallTime now);

WorkerHealth healthOf(const HealthState& state, const base::WorkerId& worker);

/// Returns whether the job failed on so many distinct workers that the job itself is considered faulty.
bool isBlamed(const HealthState& state, const base::JobId& job, const HealthOptions& options);

} // namespace crocuscove::placement
