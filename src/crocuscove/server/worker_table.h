#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"
#include "crocuscove/state/records.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace crocuscove::server {

enum class TaskState {
    Running,
    Done,
    Failed,
    Checkpointed,
};

/// What a worker says of one of its tasks.
struct TaskReport {
    base::JobId job;
    std::uint64_t token = 0;
    TaskState state = TaskState::Running;
    state::Resources usage;
};

/// What a worker says of itself when it renews its lease.
struct WorkerReport {
    base::WorkerId worker;
    std::uint64_t incarnation = 0;
    base::VmId vm;
    base::DataCentreId dataCentre;
    base::RackId rack;
    state::Resources capacity;
    std::vector<TaskReport> tasks;
    bool isLeaving = false;
};

/// Reads the body of a worker's announcement. Throws base::InvalidInput or a JSON error.
WorkerReport parseWorkerReport(const nlohmann::json& body);

struct WorkerEntry {
    WorkerReport report;
    base::MonotonicTime leaseDeadline;
    base::WallTime reportedAt;
};

/// The workers that report to this leader. Rebuilt from their next reports after a leader change.
class WorkerTable {
public:
    /// Takes a report. Returns false when it comes from an older incarnation, or the table is full.
    bool report(base::MonotonicTime now, WorkerReport report);

    /// Forgets workers whose lease has passed.
    void expire(base::MonotonicTime now);

    void clear() { m_workers.clear(); }

    [[nodiscard]] const std::map<base::WorkerId, WorkerEntry>& workers() const { return m_workers; }

private:
    std::map<base::WorkerId, WorkerEntry> m_workers;
};

} // namespace crocuscove::server
