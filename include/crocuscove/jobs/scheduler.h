#pragma once

#include "crocuscove/jobs/command.h"
#include "crocuscove/jobs/fleet_state.h"
#include "crocuscove/jobs/run_times.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace crocuscove::jobs {

/// Input of a scheduling decision.
struct SchedulingView {
    const FleetState& state;
    const RunTimes& runTimes;
    /// Wall clock in Unix milliseconds.
    std::int64_t nowMs = 0;
    /// Returns whether tasks may be assigned to a worker now.
    std::function<bool(const Worker&)> isUsable;
    /// Returns the cost of choosing a worker; lower is preferred. Workers that fail often or are slow cost more.
    std::function<double(const Worker&)> penalty;
    /// Returns how long it takes, in milliseconds, until the run of a task that is assigned to the worker has executed
    /// for crashProbation; 0 if it has. Asked only while crashes are on record.
    std::function<std::int64_t(const Worker&, const TaskKey&)> unprovenMs;
};

/// Urgency of a job by its latency objective, most urgent first.
enum class Urgency : std::uint8_t {
    /// A long-running job, which earns its benefit as long as it runs.
    LongRunning,
    /// The job can still meet its objective.
    OnTime,
    /// The job can still finish within three times its objective.
    Late,
    Missed,
};

/// Returns the urgency of a job at `nowMs`.
Urgency urgencyOf(const Job& job, const Queue& queue, const RunTimes& runTimes, std::int64_t nowMs);

/// Assigns waiting tasks to workers, at most `maxTasks` in total. Each returned command is committed separately.
std::vector<AssignTasks> planAssignments(const SchedulingView& view, std::size_t maxTasks);

} // namespace crocuscove::jobs
