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
    /// Returns for how long, in milliseconds, the run of a task that is assigned to the worker has executed; 0 if that
    /// isn't known. Asked only while a long-running task finds no room.
    std::function<std::int64_t(const Worker&, const TaskKey&)> ranMs;
};

/// Room on a worker that is kept free for a long-running task until it fits there.
struct HeldRoom {
    TaskKey task;
    WorkerNumber worker = 0;
    /// When the task is expected to fit, in milliseconds from now.
    std::int64_t expectedMs = 0;
};

struct AssignmentPlan {
    /// Each command is committed separately.
    std::vector<AssignTasks> commands;
    std::vector<HeldRoom> held;
};

/// Tells whether a task of a known job waits because it has lost runs with workers that crashed or may have crashed, or
/// because a delayed start of an earlier run may yet be carried out by a worker that has started again. A long-running
/// task doesn't, since it has to be at work again at once (RULES, LOST).
bool isPaused(const FleetState& state, const TaskKey& task, std::int64_t nowMs);

/// Assigns waiting tasks to workers, at most `maxTasks` in total.
///
/// A long-running task that fits nowhere has room held for it, since smaller tasks would otherwise take each place that
/// becomes free: on the worker where it is expected to fit first, tasks that rank after it use only what it leaves
/// (backfill around a reservation). Room is held on at most half of a service's workers, and nowhere for a task that
/// wouldn't fit beside the long-running tasks there.
AssignmentPlan planAssignments(const SchedulingView& view, std::size_t maxTasks);

} // namespace crocuscove::jobs
