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

/// Runs on the leader: carries out the placement plan, and turns workers' reports into committed entries.
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
    /// A step that a worker is told with its next answers until the job's run ends.
    struct Instruction {
        std::uint64_t token = 0;
        std::string how;
    };

    void finishTask(const state::JobRecord& job, const TaskReport& task);
    void finish(
        const state::JobRecord& job, const TaskReport& task, state::JobState outcome, const std::string& reason);
    void learnFrom(const state::JobRecord& job, const TaskReport& task, bool hasFailed);
    void expireLeases(base::MonotonicTime now);
    void updateHealth(const std::vector<placement::WorkerView>& workers);
    void place();
    [[nodiscard]] placement::PlacementView makeView() const;
    [[nodiscard]] std::vector<placement::WorkerView> workerViews() const;
    [[nodiscard]] std::vector<placement::TeamView> teamViews() const;
    void carryOut(const placement::PlacementPlan& plan);
    void propose(const base::JobId& job, const state::Command& command);
    void refreshIndex();
    [[nodiscard]] nlohmann::ordered_json answer(const WorkerReport& report);
    [[nodiscard]] std::string stopInstruction(
        const WorkerReport& report, const TaskReport& task, bool isDraining) const;
    [[nodiscard]] bool isDraining(const base::VmId& vm) const;

    const base::Log& m_log;
    Replica& m_replica;
    WorkerTable m_table;
    base::MonotonicTime m_leaseGraceEnd;
    base::WallTime m_observingSince;
    placement::HealthState m_health;
    placement::LearnedSizes m_sizes;
    /// Jobs with a command that is proposed and not yet applied, and the worker of a proposed start.
    std::map<base::JobId, base::WorkerId> m_pending;
    std::map<base::JobId, Instruction> m_instructions;
    /// Running jobs of each worker, as of entry m_indexedAt.
    std::map<base::WorkerId, std::vector<const state::JobRecord*>> m_running;
    std::vector<const state::JobRecord*> m_queued;
    consensus::Index m_indexedAt = 0;
};

} // namespace crocuscove::server
