#pragma once

#include "command_submitter.h"
#include "replica.h"
#include "worker_table.h"

#include "crocuscove/base/log.h"
#include "crocuscove/placement/learned_sizes.h"
#include "crocuscove/placement/placement_plan.h"
#include "crocuscove/placement/worker_health.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crocuscove::server {

/// Runs on the leader: executes the placement plan and proposes log entries for the outcomes that workers report.
class JobController {
public:
    /// The references must outlive this.
    JobController(const base::Log& log, Replica& replica);

    /// Resets the in-memory state at the start of a leadership term. Leases of workers that have not yet reported to
    /// this leader expire only after a grace period.
    void beginLeading(base::MonotonicTime now);

    /// Processes a worker's report and returns the response body.
    nlohmann::ordered_json handleReport(const WorkerReport& report);

    /// Expires leases and plans the placement of queued jobs.
    void tick(base::MonotonicTime now);

    [[nodiscard]] const WorkerTable& workerTable() const { return m_workerTable; }

private:
    /// An action that is repeated in the responses to a worker until the run with this token ends.
    struct Instruction {
        std::uint64_t token = 0;
        std::string action;
    };

    void applyTaskReport(const state::JobRecord& job, const TaskReport& task);
    void proposeFinish(
        const state::JobRecord& job, const TaskReport& task, state::JobState outcome, const std::string& reason);
    void recordTaskOutcome(const state::JobRecord& job, const TaskReport& task, bool hasFailed);
    void expireLeases(base::MonotonicTime now);
    void updateHealth(const std::vector<placement::WorkerView>& workers);
    void runPlacement();
    [[nodiscard]] placement::PlacementView buildPlacementView() const;
    [[nodiscard]] std::vector<placement::WorkerView> workerViews() const;
    [[nodiscard]] std::vector<placement::TeamView> teamViews() const;
    void executePlan(const placement::PlacementPlan& plan);
    void propose(const base::JobId& job, const state::Command& command);
    void rebuildJobIndex();
    [[nodiscard]] nlohmann::ordered_json buildResponse(const WorkerReport& report);
    [[nodiscard]] std::string stopInstruction(
        const WorkerReport& report, const TaskReport& task, bool isDraining) const;
    [[nodiscard]] bool isDraining(const base::VmId& vm) const;

    const base::Log& m_log;
    Replica& m_replica;
    WorkerTable m_workerTable;
    base::MonotonicTime m_leaseGraceEnd;
    base::WallTime m_observingSince;
    placement::HealthState m_health;
    placement::LearnedSizes m_learnedSizes;
    /// Jobs with a proposed command whose outcome is not known yet. The value is the worker of a proposed start and
    /// empty for other commands.
    std::map<base::JobId, base::WorkerId> m_pendingCommands;
    std::map<base::JobId, Instruction> m_instructions;
    /// Running jobs of each worker, as of log entry m_jobIndexEntry.
    std::map<base::WorkerId, std::vector<const state::JobRecord*>> m_runningByWorker;
    std::vector<const state::JobRecord*> m_queuedJobs;
    consensus::Index m_jobIndexEntry = 0;
};

} // namespace crocuscove::server
