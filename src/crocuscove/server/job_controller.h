#pragma once

#include "command_submitter.h"
#include "replica.h"
#include "worker_table.h"

#include "crocuscove/base/log.h"

#include <nlohmann/json.hpp>
#include <set>

namespace crocuscove::server {

/// Runs on the leader: gives queued jobs to workers, and turns workers' reports into committed entries.
class JobController {
public:
    /// The references must outlive this.
    JobController(const base::Log& log, Replica& replica);

    /// Starts a term of leadership: every worker gets a full lease before its jobs expire.
    void beginLeading(base::MonotonicTime now);

    /// Takes a worker's report and returns the answer to it.
    nlohmann::ordered_json report(const WorkerReport& report);

    /// Places queued jobs and expires leases.
    void tick(base::MonotonicTime now);

    [[nodiscard]] const WorkerTable& table() const { return m_table; }

private:
    void finishTask(const state::JobRecord& job, const TaskReport& task);
    void expireLeases(base::MonotonicTime now);
    void place(base::MonotonicTime now);
    void propose(const base::JobId& job, const state::Command& command);
    nlohmann::ordered_json answer(const WorkerReport& report) const;
    [[nodiscard]] bool isDraining(const base::VmId& vm) const;

    const base::Log& m_log;
    Replica& m_replica;
    WorkerTable m_table;
    base::MonotonicTime m_leaseGraceEnd;
    /// Jobs with a command that is proposed and not yet applied.
    std::set<base::JobId> m_pending;
};

} // namespace crocuscove::server
