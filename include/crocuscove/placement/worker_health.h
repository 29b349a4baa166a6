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
    /// The failed jobs fail on other workers too.
    JobsBlamed,
    /// More workers are set aside than the bound allows, since the number of workers fell.
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

/// What is known of a worker on which a job failed.
struct WorkerFailures {
    WorkerHealth health = WorkerHealth::Healthy;
    /// Different jobs that failed since the last success, without blamed ones.
    std::vector<base::JobId> jobs {};
    base::WallTime lastFailure {};
    base::WallTime nextProbe {};
    base::Milliseconds probeDelay { 0 };
};

/// Different workers on which one job failed.
struct JobFailures {
    std::vector<base::WorkerId> workers {};
    base::WallTime lastFailure {};
};

/// Kept by the caller between rounds. Soft: a new leader begins with none.
struct HealthState {
    std::map<base::WorkerId, WorkerFailures> workers {};
    std::map<base::JobId, JobFailures> jobs {};
};

struct HealthOptions {
    /// Different jobs that must fail in a row, with none succeeding.
    std::size_t failuresToQuarantine = 3;
    /// A job that failed on this many different workers counts against itself and no longer against the workers.
    std::size_t workersToBlameJob = 3;
    /// Share of the workers that may be quarantined or probing.
    double maxQuarantinedShare = 0.2;
    base::Milliseconds firstProbeDelay { 60'000 };
    base::Milliseconds maxProbeDelay { 1'800'000 };
    /// Failures are forgotten after this time. Quarantined workers are kept.
    base::Milliseconds memory { 3'600'000 };
    std::size_t maxWorkers = 50'000;
    std::size_t maxJobs = 100'000;
};

/// Takes a finished task into account.
void recordOutcome(HealthState& state, const TaskOutcome& outcome, const HealthOptions& options, base::WallTime now);

/// Quarantines, probes and returns workers, and forgets old failures and workers that are not in `known`.
std::vector<HealthChange> updateHealth(
    HealthState& state, const std::vector<WorkerView>& known, const HealthOptions& options, base::WallTime now);

WorkerHealth healthOf(const HealthState& state, const base::WorkerId& worker);

/// Tells whether the job failed on so many different workers that it counts against itself.
bool isBlamed(const HealthState& state, const base::JobId& job, const HealthOptions& options);

} // namespace crocuscove::placement
