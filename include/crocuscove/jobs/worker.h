#pragma once

#include "crocuscove/jobs/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuscove::jobs {

/// Identifies one incarnation of a worker in the replicated state. Numbers are never reused.
using WorkerNumber = std::uint64_t;

/// The state that a worker reports about itself.
struct WorkerReport {
    std::string id;
    /// When this incarnation started, in Unix milliseconds. A worker may restart with the same id.
    std::int64_t incarnation = 0;
    std::string service;
    /// "IPv4:port" of its interface.
    std::string address;
    std::string zone;
    Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    /// Increases with each report of the same incarnation.
    std::uint64_t sequence = 0;

    bool operator==(const WorkerReport&) const = default;
};

CROCUSCOVE_FIELDS(
    WorkerReport, v.id, v.incarnation, v.service, v.address, v.zone, v.capacity, v.labels, v.isDraining, v.sequence)

/// One incarnation of a worker that may run tasks.
struct Worker {
    WorkerNumber number = 0;
    WorkerReport report;
    /// Resources reserved by the tasks that are assigned to the worker and have not ended.
    Resources reserved;
    std::uint64_t assignedTasks = 0;
    /// Number of the last ended run of this worker that is recorded in the replicated state.
    std::uint64_t lastRecordedEnd = 0;

    [[nodiscard]] Resources free() const { return report.capacity - reserved; }
    [[nodiscard]] bool hasLabel(const std::string& label) const;
};

/// What is remembered of a worker that was removed, so that a delayed report doesn't bring it back.
struct RemovedWorker {
    std::int64_t incarnation = 0;
    /// Sequence of its last recorded report.
    std::uint64_t sequence = 0;
    bool wasDraining = false;
    /// It had left, so that it can't come back; otherwise it may only have been silent.
    bool hasLeft = false;
    /// Increases with each removal.
    std::uint64_t order = 0;
};

CROCUSCOVE_FIELDS(RemovedWorker, v.incarnation, v.sequence, v.wasDraining, v.hasLeft, v.order)

CROCUSCOVE_FIELDS(Worker, v.number, v.report, v.reserved, v.assignedTasks, v.lastRecordedEnd)

} // namespace crocuscove::jobs
