#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/jobs/pool_plan.h"
#include "vm_directory.h"
#include "worker_session.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace crocuscove::control {

using SessionFinder = std::function<WorkerSession*(jobs::WorkerNumber)>;
/// Tells whether something holds for the worker with an id.
using WorkerPredicate = std::function<bool(const std::string& workerId)>;

/// Carries out the moves between pools that the planner chooses.
class PoolMover {
public:
    PoolMover(http::HttpClient& client, const VmDirectory& directory, const ControlOptions& options,
        const base::Log& log, Cluster& cluster, SessionFinder findSession);
    ~PoolMover() { *m_isAlive = false; }
    PoolMover(const PoolMover&) = delete;
    PoolMover& operator=(const PoolMover&) = delete;

    /// Tells whether the VM of a worker is about to move, so that nothing new starts there.
    [[nodiscard]] bool isReserved(const std::string& workerId) const { return m_reservedWorkers.contains(workerId); }

    [[nodiscard]] bool isMoving(const std::string& vm) const { return m_moves.contains(vm); }

    void addArrival(const jobs::RunTimes& runTimes, const jobs::Job& job);

    /// Plans and orders moves. VMs for which `isExcluded` holds are left alone.
    void advance(const jobs::RunTimes& runTimes, base::MonotonicTime now,
        const std::function<bool(const std::string& vm)>& isExcluded);

private:
    struct Move {
        jobs::PoolMove plan;
        std::string workerId;
        base::MonotonicTime reservedAt;
        bool isCalling = false;
        bool isUncertain = false;
        /// The platform has confirmed the move; the VM is away until it is listed as up again.
        std::optional<base::MonotonicTime> orderedAt;
        base::MonotonicTime callAgainAt;
    };

    void dropFinished(base::MonotonicTime now);
    void logPools(base::MonotonicTime now);
    [[nodiscard]] jobs::PoolView view(
        base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isExcluded) const;
    void order(const std::string& vm, Move& move);
    void sendOrder(const std::string& vm, bool mayOrder);
    void onOrdered(const std::string& vm, const http::ExchangeResult& result);

    http::HttpClient& m_client;
    const VmDirectory& m_directory;
    const ControlOptions& m_options;
    const base::Log& m_log;
    Cluster& m_cluster;
    SessionFinder m_findSession;
    jobs::PoolPlanner m_planner;
    std::map<std::string, Move> m_moves;
    std::set<std::string> m_reservedWorkers;
    base::MonotonicTime m_loggedAt;
    /// Cleared at the end, for callbacks that come later.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuscove::control
