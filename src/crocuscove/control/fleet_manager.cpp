#include "fleet_manager.h"

namespace crocuscove::control {

namespace {

constexpr base::Milliseconds tickInterval { 100 };
/// Share of the time that waves and pools may take.
constexpr double maxTickShare = 0.05;

} // namespace

FleetManager::Parts::Parts(http::HttpClient& client, const ControlOptions& options, const base::Log& log,
    Cluster& cluster, const SessionFinder& findSession, const WorkerPredicate& isHeld)
    : directory(client, *options.vmInterface, log)
    , waves(client, directory, options, log, cluster, findSession, isHeld)
    , moves(client, directory, options, log, cluster, findSession)
{
}

FleetManager::FleetManager(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, Cluster& cluster,
    const jobs::RunTimes& runTimes, WorkTimes& workTimes, const SessionFinder& findSession,
    const WorkerPredicate& isHeld)
    : m_cluster(cluster)
    , m_runTimes(runTimes)
    , m_workTimes(workTimes)
    , m_client(loop, http::HttpClientOptions {})
    , m_pacer(tickInterval / 2, maxTickShare)
{
    if (options.vmInterface) {
        m_parts = std::make_unique<Parts>(m_client, options, log, cluster, findSession, isHeld);
        m_timer = loop.runEvery(tickInterval, [this] { tick(); });
    }
}

bool FleetManager::isReserved(const std::string& workerId) const
{
    return m_parts && (m_parts->waves.isReserved(workerId) || m_parts->moves.isReserved(workerId));
}

bool FleetManager::isDue(const std::string& workerId) const { return m_parts && m_parts->waves.isDue(workerId); }

void FleetManager::addArrival(const jobs::Job& job)
{
    if (m_parts) {
        m_parts->moves.addArrival(m_runTimes, job);
    }
}

void FleetManager::tick()
{
    const auto now = base::monotonicNow();
    if (now < m_pacer.nextAt() || m_cluster.state().configuration().version == 0 || !m_cluster.hasLeadership(now)) {
        return;
    }
    m_parts->directory.refresh(now);
    if (!m_parts->directory.askedAt()) {
        return;
    }
    m_workTimes.measure(Work::Maintenance,
        [&] { m_parts->waves.advance(now, [this](const std::string& vm) { return m_parts->moves.isMoving(vm); }); });
    m_workTimes.measure(Work::Pools, [&] {
        m_parts->moves.advance(
            m_runTimes, now, [this](const std::string& vm) { return m_parts->waves.isDraining(vm); });
    });
    m_pacer.record(now, base::monotonicNow());
}

} // namespace crocuscove::control
