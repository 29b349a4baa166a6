#include "maintenance_controller.h"

#include "vm_pools.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds commandTimeout { 5000 };
/// Platform commands are idempotent and are resent at this interval until the list of VMs shows their effect.
constexpr base::Milliseconds platformCommandInterval { 2000 };
const base::PoolId defaultPool("unassigned");

bool hasSameProperties(const state::VmRecord& record, const PlatformVm& vm)
{
    return record.dataCentre == vm.dataCentre && record.rack == vm.rack && record.capacity == vm.capacity;
}

maintenance::PlatformState platformState(PlatformVmState state)
{
    switch (state) {
    case PlatformVmState::Running:
        return maintenance::PlatformState::Running;
    case PlatformVmState::Rebooting:
        return maintenance::PlatformState::Rebooting;
    case PlatformVmState::Off:
        break;
    }
    return maintenance::PlatformState::Off;
}

std::map<base::VmId, const routing::Announcement*> mapByVm(const std::vector<routing::Announcement>& announcements)
{
    std::map<base::VmId, const routing::Announcement*> index;
    std::ranges::for_each(
        announcements, [&](const routing::Announcement& announcement) { index[announcement.vm] = &announcement; });
    return index;
}

} // namespace

MaintenanceController::MaintenanceController(const base::Log& log, Replica& replica, const BackendRegistry& backends,
    const JobController& jobs, const NodeTable& nodes, PlatformClient& platform)
    : m_log(log)
    , m_replica(replica)
    , m_backends(backends)
    , m_jobs(jobs)
    , m_platform(platform)
    , m_capacity(log, replica, nodes, platform, [this](const state::MoveVm& move) { propose(move.vm, move); })
{
}

void MaintenanceController::beginLeading()
{
    m_observingSince = base::wallNow();
    m_pendingCommands.clear();
    m_plan = {};
    m_capacity.beginLeading();
}

void MaintenanceController::tick(base::MonotonicTime now)
{
    m_platform.refreshVms();
    if (!m_platform.listReceivedAt()) {
        return;
    }
    const auto announcements = m_backends.directory().announcements(now);
    const auto pools = announcedPools(announcements);
    registerVms(pools);
    assignVms(pools);
    m_capacity.tick(now, buildView(announcements), m_plan);
    m_plan = maintenance::planMaintenance(buildView(announcements), {}, base::wallNow());
    std::ranges::for_each(
        m_plan.actions, [this](const maintenance::MaintenanceAction& action) { proposeAction(action); });
    logPauses();
    if (m_nextCommandSend <= now) {
        m_nextCommandSend = now + platformCommandInterval;
        sendPlatformCommands(now);
    }
}

// Registers new VMs and updates those whose location or capacity has changed. A new VM joins the pool of the service
// that runs on it, or the spare pool if no service does.
void MaintenanceController::registerVms(const std::map<base::VmId, base::PoolId>& pools)
{
    const auto* fleet = m_replica.state().fleetDocument();
    for (const auto& [id, vm] : m_platform.vms()) {
        const auto record = m_replica.state().vms().find(id);
        const bool isKnown = record != m_replica.state().vms().end();
        if (isKnown && hasSameProperties(record->second, vm)) {
            continue;
        }
        const auto announced = pools.find(id);
        base::PoolId pool = fleet != nullptr ? fleet->sparePool : defaultPool;
        if (announced != pools.end()) {
            pool = announced->second;
        }
        if (!isKnown && !m_pendingCommands.contains(id)) {
            m_log.info("vm_registered",
                { { "vm", id.text() }, { "pool", pool.text() }, { "rack", vm.rack.text() },
                    { "data_centre", vm.dataCentre.text() } });
        }
        propose(id, state::RegisterVm { id, vm.dataCentre, vm.rack, vm.capacity, pool, vm.maintainedAt });
    }
}

// Documents and backend servers may come after the VMs were registered.
void MaintenanceController::assignVms(const std::map<base::VmId, base::PoolId>& pools)
{
    const auto& state = m_replica.state();
    const auto* fleet = state.fleetDocument();
    const VmPoolsView view { .vms = state.vms(),
        .documentPools = state.documentPools(),
        .sparePool = fleet == nullptr ? std::nullopt : std::optional(fleet->sparePool),
        .announcedPools = pools,
        .hasHeardAll = m_observingSince + routing::announcementLease <= base::wallNow() };
    for (const state::AssignVm& assignment : planVmPools(view)) {
        if (!m_pendingCommands.contains(assignment.vm)) {
            m_log.info("vm_assigned",
                { { "vm", assignment.vm.text() }, { "from", assignment.from.text() }, { "pool", assignment.to.text() },
                    { "reason", pools.contains(assignment.vm) ? "backend-announced" : "idle" } });
        }
        propose(assignment.vm, assignment);
    }
}

std::map<base::VmId, base::PoolId> MaintenanceController::announcedPools(
    const std::vector<routing::Announcement>& announcements) const
{
    std::map<base::VmId, base::PoolId> pools;
    for (const routing::Announcement& announcement : announcements) {
        const auto* document = m_replica.state().serviceDocument(announcement.service);
        if (document != nullptr) {
            pools.insert_or_assign(announcement.vm, document->pool.name);
        }
    }
    return pools;
}

maintenance::MaintenanceView MaintenanceController::buildView(
    const std::vector<routing::Announcement>& announcements) const
{
    const auto byVm = mapByVm(announcements);
    maintenance::MaintenanceView view;
    for (const auto& [id, record] : m_replica.state().vms()) {
        const auto backend = byVm.find(id);
        const auto* announcement = backend == byVm.end() ? nullptr : backend->second;
        view.vms.push_back({ &record, observeVm(record, announcement), m_pendingCommands.contains(id) });
    }
    for (const auto& [service, record] : m_replica.state().documents()) {
        if (const auto* document = m_replica.state().serviceDocument(service)) {
            view.services.push_back(maintenance::budgetOf(*document, m_capacity.targetExecutors(*document)));
        }
    }
    if (const auto* fleet = m_replica.state().fleetDocument()) {
        view.period = fleet->maintenancePeriod;
    }
    view.platformSeenAt = m_platform.listReceivedAt();
    view.observingSince = m_observingSince;
    return view;
}

maintenance::VmObservation MaintenanceController::observeVm(
    const state::VmRecord& record, const routing::Announcement* announcement) const
{
    maintenance::VmObservation observation;
    if (announcement != nullptr) {
        const base::Milliseconds age = routing::announcementLease - base::Milliseconds(announcement->leaseRemainingMs);
        observation.observedAt = base::wallNow() - age;
        observation.isAnnounced = announcement->state == routing::BackendState::Serving;
        observation.isHealthy = true;
        observation.requestsInFlight = announcement->inFlight;
    }
    const auto& workers = m_jobs.workerTable().workers();
    const auto worker
        = std::ranges::find_if(workers, [&](const auto& entry) { return entry.second.report.vm == record.vm; });
    if (worker != workers.end()) {
        observation.observedAt = std::max(observation.observedAt.value_or(base::WallTime()), worker->second.reportedAt);
        observation.isAnnounced = observation.isAnnounced || !worker->second.report.isLeaving;
        observation.isHealthy = true;
        observation.tasksRunning = static_cast<std::uint32_t>(worker->second.report.tasks.size());
        observation.tasksCheckpointed = static_cast<std::uint32_t>(
            std::ranges::count(worker->second.report.tasks, TaskState::Checkpointed, &TaskReport::state));
    }
    const auto listed = m_platform.vms().find(record.vm);
    if (listed != m_platform.vms().end()) {
        observation.platform = platformState(listed->second.state);
        observation.boots = listed->second.boots;
    }
    return observation;
}

void MaintenanceController::proposeAction(const maintenance::MaintenanceAction& action)
{
    m_log.info("maintenance_decided",
        { { "vm", action.command.vm.text() }, { "pool", action.pool.text() },
            { "action", maintenance::maintenanceActionKindName(action.kind) },
            { "reason", maintenance::maintenanceReasonName(action.reason) },
            { "operation", action.command.operation } });
    propose(action.command.vm, action.command);
}

void MaintenanceController::sendPlatformCommands(base::MonotonicTime)
{
    const auto epoch = m_replica.raft().term();
    for (const auto& [id, record] : m_replica.state().vms()) {
        const auto listed = m_platform.vms().find(id);
        const bool hasRebooted = listed != m_platform.vms().end() && listed->second.boots > record.bootsAtDrain;
        if (record.phase == state::VmPhase::Draining) {
            m_platform.sendCommand(PlatformCommand::Drain, id, record.operation, epoch, record.pool);
        } else if (record.phase == state::VmPhase::Rebooting && !hasRebooted) {
            m_platform.sendCommand(PlatformCommand::Reboot, id, record.operation, epoch, record.pool);
        }
    }
}

void MaintenanceController::logPauses()
{
    std::set<std::string> pauses;
    for (const maintenance::MaintenancePause& pause : m_plan.pauses) {
        const std::string scope
            = pause.pool ? pause.pool->text() : (pause.dataCentre ? pause.dataCentre->text() : "fleet");
        const auto name = fmt::format("{}:{}", scope, maintenance::pauseReasonName(pause.reason));
        if (!m_loggedPauses.contains(name)) {
            m_log.warning("maintenance_paused",
                { { "scope", scope }, { "reason", maintenance::pauseReasonName(pause.reason) }, { "vms", pause.vms } });
        }
        pauses.insert(name);
    }
    std::ranges::for_each(m_loggedPauses, [&](const std::string& name) {
        if (!pauses.contains(name)) {
            m_log.info("maintenance_resumed", { { "pause", name } });
        }
    });
    m_loggedPauses = std::move(pauses);
}

void MaintenanceController::propose(const base::VmId& vm, const state::Command& command)
{
    if (!m_pendingCommands.insert(vm).second) {
        return;
    }
    m_replica.propose(command, base::monotonicNow() + commandTimeout, [this, vm](const ProposalResult&) {
        m_pendingCommands.erase(vm);
        m_capacity.onMoveFinished(vm);
    });
}

} // namespace crocuscove::server
