#include "pool_mover.h"

#include <algorithm>
#include <utility>

namespace crocuscove::control {

namespace {

constexpr base::Milliseconds callTimeout { 2'000 };
constexpr base::Milliseconds callPause { 400 };
constexpr base::Milliseconds poolLogInterval { 1'000 };
/// Assignments that were planned before a VM was reserved are applied or refused by then.
constexpr base::Milliseconds settleTime { 150 };
/// A moved VM whose worker hasn't come by then is counted by the list alone.
constexpr base::Milliseconds arrivalTimeout { 6'000 };

} // namespace

PoolMover::PoolMover(http::HttpClient& client, const VmDirectory& directory, const ControlOptions& options,
    const base::Log& log, Cluster& cluster, SessionFinder findSession)
    : m_client(client)
    , m_directory(directory)
    , m_options(options)
    , m_log(log)
    , m_cluster(cluster)
    , m_findSession(std::move(findSession))
{
}

void PoolMover::addArrival(const jobs::RunTimes& runTimes, const jobs::Job& job)
{
    m_planner.addArrival(m_cluster.state(), runTimes, job, base::monotonicNow());
}

void PoolMover::dropFinished(base::MonotonicTime now)
{
    std::erase_if(m_moves, [&](const auto& entry) {
        const Move& move = entry.second;
        const auto vm = m_directory.vms().find(entry.first);
        if (vm == m_directory.vms().end()) {
            return !move.isCalling;
        }
        const bool isListedAfter = move.orderedAt && *move.orderedAt < *m_directory.askedAt();
        const bool hasArrived = vm->second.isUp && vm->second.pool == move.plan.to;
        return isListedAfter && (hasArrived || now - *move.orderedAt > arrivalTimeout);
    });
}

jobs::PoolView PoolMover::view(
    base::MonotonicTime now, const std::function<bool(const std::string& vm)>& isExcluded) const
{
    const jobs::FleetState& state = m_cluster.state();
    jobs::PoolView result;
    for (const auto& [id, vm] : m_directory.vms()) {
        if (m_moves.contains(id)) {
            continue;
        }
        jobs::PoolVm entry { id, vm.pool, vm.isUp && !isExcluded(id), false, vm.capacity };
        const jobs::Service* service = state.configuration().findService(vm.pool);
        const jobs::Worker* worker = state.findWorker(vm.workerId);
        const WorkerSession* session = worker == nullptr ? nullptr : m_findSession(worker->number);
        if (service != nullptr && service->isStandby) {
            entry.isEmpty = true;
        } else if (worker == nullptr || worker->report.isDraining) {
            entry.isAvailable = false;
        } else {
            entry.isEmpty = worker->assignedTasks == 0 && session != nullptr && session->isUsable(now);
        }
        result.vms.push_back(std::move(entry));
    }
    std::ranges::for_each(m_moves, [&](const auto& move) { ++result.incomingVms[move.second.plan.to]; });
    return result;
}

// Shows once a second what was wanted and what was there, so that a move can be explained afterwards.
void PoolMover::logPools(base::MonotonicTime now)
{
    if (now - m_loggedAt < poolLogInterval) {
        return;
    }
    m_loggedAt = now;
    for (const auto& [name, pool] : m_planner.lastPlan()) {
        m_log.info("pool_plan",
            { { "pool", name }, { "wanted", pool.targetVms }, { "have", pool.currentVms },
                { "demand_cpu_milli", pool.demand.cpuMilli }, { "demand_memory_mb", pool.demand.memoryMb },
                { "idle", pool.idleVms } });
    }
}

void PoolMover::advance(const jobs::RunTimes& runTimes, base::MonotonicTime now,
    const std::function<bool(const std::string& vm)>& isExcluded)
{
    dropFinished(now);
    logPools(now);
    const auto moves = m_planner.plan(
        m_cluster.state(), runTimes, view(now, isExcluded), base::wallNow().time_since_epoch().count(), now);
    for (const jobs::PoolMove& plan : moves) {
        Move move;
        move.plan = plan;
        move.workerId = m_directory.vms().at(plan.vm).workerId;
        move.reservedAt = now;
        m_moves.emplace(plan.vm, std::move(move));
    }
    std::vector<std::string> given;
    for (auto& [vm, move] : m_moves) {
        const jobs::Worker* worker = m_cluster.state().findWorker(move.workerId);
        const bool isBusy = worker != nullptr && worker->assignedTasks > 0;
        if (isBusy && !move.isCalling && !move.isUncertain && !move.orderedAt) {
            given.push_back(vm);
        } else if (!move.orderedAt && !move.isCalling && move.callAgainAt <= now
            && (worker == nullptr || now - move.reservedAt >= settleTime)) {
            order(vm, move);
        }
    }
    std::ranges::for_each(given, [this](const std::string& vm) { m_moves.erase(vm); });
    m_reservedWorkers.clear();
    std::ranges::for_each(m_moves, [this](const auto& entry) { m_reservedWorkers.insert(entry.second.workerId); });
}

void PoolMover::order(const std::string& vm, Move& move)
{
    if (!m_cluster.mayOrderVm(vm, m_options.vmLease, base::monotonicNow())) {
        return;
    }
    move.isCalling = true;
    m_cluster.recordVmOrder(vm, [this, vm, alive = m_isAlive](bool mayOrder) {
        if (*alive) {
            sendOrder(vm, mayOrder);
        }
    });
}

void PoolMover::sendOrder(const std::string& vm, bool mayOrder)
{
    const auto found = m_moves.find(vm);
    if (found == m_moves.end()) {
        return;
    }
    Move& move = found->second;
    const jobs::Worker* worker = m_cluster.state().findWorker(move.workerId);
    // A task may have been assigned before the VM was reserved.
    if (!mayOrder || (worker != nullptr && worker->assignedTasks > 0)) {
        move.isCalling = false;
        return;
    }
    m_log.info("vm_move",
        { { "vm", vm }, { "from", move.plan.from }, { "to", move.plan.to }, { "worker", move.workerId },
            { "term", m_cluster.servingTerm() } });
    m_client.call(*m_options.vmInterface,
        platform::moveRequest({ m_options.name, m_cluster.servingTerm() }, vm, move.plan.to),
        base::monotonicNow() + callTimeout, [this, vm](const http::ExchangeResult& result) { onOrdered(vm, result); });
}

void PoolMover::onOrdered(const std::string& vm, const http::ExchangeResult& result)
{
    constexpr int statusNotThisPool = 400;
    const auto found = m_moves.find(vm);
    if (found == m_moves.end()) {
        return;
    }
    Move& move = found->second;
    move.isCalling = false;
    const int status = result.response ? result.response->status : 0;
    if (status == 200) {
        move.orderedAt = base::monotonicNow();
        // The platform ends all that runs on the VM before it confirms.
        const jobs::Worker* worker = m_cluster.state().findWorker(move.workerId);
        if (worker != nullptr) {
            m_cluster.propose(jobs::RemoveWorker { worker->number, false }, nullptr);
        }
        return;
    }
    m_log.warning("vm_move_refused",
        { { "vm", vm }, { "to", move.plan.to }, { "status", status },
            { "failure", http::exchangeFailureName(result.failure) } });
    if (!result.response || status >= 500) {
        // It may have been carried out; the same order again tells.
        move.isUncertain = true;
        move.callAgainAt = base::monotonicNow() + callPause;
        return;
    }
    if (status == statusNotThisPool) {
        m_planner.recordRefusal(vm, move.plan.to);
    }
    if (!move.isUncertain) {
        m_moves.erase(found);
    } else {
        move.callAgainAt = base::monotonicNow() + callPause;
    }
}

} // namespace crocuscove::control
