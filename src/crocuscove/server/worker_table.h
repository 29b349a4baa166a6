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

/// State and resource usage of one task, as reported by its worker.
struct TaskReport {
    base::JobId job;
    std::uint64_t token = 0;
    TaskState state = TaskState::Running;
    state::Resources usage;
};

/// What a worker reports each time it renews its lease.
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

/// Parses the body of a worker's report. Throws base::InvalidInput or nlohmann::json::exception.
WorkerReport parseWorkerReport(const nlohmann::json& body);

/// The last report of a worker and the time at which its lease expires.
struct WorkerEntry {
    WorkerReport report;
    base::MonotonicTime leaseDeadline;
    base::WallTime reportedAt;
};

/// The workers that report to this leader. A new leader starts with an empty table and fills it from their next
/// reports.
class WorkerTable {
public:
    /// Stores a report and renews the lease of its worker. Returns false when the report is of an older incarnation, or
    /// of a new worker when the table is full.
    bool report(base::MonotonicTime now, WorkerReport report);

    /// Removes workers whose lease has expired.
    void expire(base::MonotonicTime now);

    void clear() { m_workers.clear(); }

    [[nodiscard]] const std::map<base::WorkerId, WorkerEntry>& workers() const { return m_workers; }

private:
    std::map<base::WorkerId, WorkerEntry> m_workers;
};

} // namespace crocuscove::server
