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

/// Assigns waiting tasks to workers, at most `maxTasks` in total. Each returned command is committed separately.
std::vector<AssignTasks> planAssignments(const SchedulingView& view, std::size_t maxTasks);

} // namespace crocuscove::jobs
