#include "capacity_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds maxObservationAge { 5000 };
constexpr base::Milliseconds planInterval { 5000 };
/// Eight hours of samples, which is the history that the capacity planner uses.
constexpr std::size_t maxSamples = std::size_t { 8 } * 3600 / 5;

} // namespace

CapacityController::CapacityController(const base::Log& log, const Replica& replica, const NodeTable& nodes,
    const PlatformClient& platform, ProposeMove proposeMove)
    : m_log(log)
    , m_replica(replica)
    , m_nodes(nodes)
    , m_platform(platform)
    , m_proposeMove(std::move(proposeMove))
{
}

void CapacityController::beginLeading()
{
    m_plan = {};
    m_samples.clear();
    m_unavailableSince.clear();
    m_pendingMoves.clear();
}

void CapacityController::tick(
    base::MonotonicTime now, const maintenance::MaintenanceView& view, const maintenance::MaintenancePlan& plan)
{
    trackAvailability(view);
    if (now < m_nextPlanTime) {
        return;
    }
    m_nextPlanTime = now + planInterval;
    sampleLoad();
    // The fleet document names the spare pool, so VMs can't be moved without one.
    if (m_replica.state().fleetDocument() == nullptr) {
        return;
    }
    m_plan = capacity::planCapacity(buildView(view, plan), {}, base::wallNow());
    for (const capacity::VmMove& move : m_plan.moves) {
        m_log.info("move_decided",
            { { "vm", move.command.vm.text() }, { "from", move.command.from.text() }, { "to", move.command.to.text() },
                { "reason", capacity::moveReasonName(move.reason) } });
        m_pendingMoves.insert_or_assign(move.command.vm, move.command.to);
        m_proposeMove(move.command);
    }
}

std::uint32_t CapacityController::targetExecutors(const document::ServiceDocument& document) const
{
    const auto planned = std::ranges::find(m_plan.services, document.service, &capacity::ServiceCapacity::service);
    return planned == m_plan.services.end() ? document.pool.executors.minimum : planned->wanted;
}

void CapacityController::sampleLoad()
{
    std::map<base::ServiceId, capacity::LoadSample> sums;
    for (const NodeView& node : m_nodes.nodes()) {
        for (const ServiceLoad& load : node.status.loads) {
            auto& sum = sums[load.service];
            sum.busySlots += node.isReachable ? load.inFlight : 0;
            sum.queued += node.isReachable ? load.queued : 0;
        }
    }
    for (auto& [service, sample] : sums) {
        sample.at = base::wallNow();
        auto& samples = m_samples[service];
        samples.push_back(sample);
        if (samples.size() > maxSamples) {
            samples.pop_front();
        }
    }
}

bool CapacityController::hasService(const base::PoolId& pool) const
{
    return std::ranges::any_of(m_replica.state().documents(), [&](const auto& entry) {
        const auto* document = std::get_if<document::ServiceDocument>(entry.second.inForce.get());
        return document != nullptr && document->pool.name == pool;
    });
}

void CapacityController::trackAvailability(const maintenance::MaintenanceView& view)
{
    const auto now = base::wallNow();
    for (const maintenance::MaintenanceVm& vm : view.vms) {
        const auto& observed = vm.observed;
        const bool isFresh = observed.observedAt && now - *observed.observedAt < maxObservationAge;
        // No backend server or worker reports from an idle VM in a pool without a service.
        const bool isIdle = !observed.observedAt && observed.platform == maintenance::PlatformState::Running
            && !hasService(vm.record->pool);
        if ((isFresh && observed.isHealthy) || isIdle) {
            m_unavailableSince.erase(vm.record->vm);
        } else {
            m_unavailableSince.emplace(vm.record->vm, now);
        }
    }
}

capacity::CapacityVm CapacityController::buildVm(const maintenance::MaintenanceVm& vm) const
{
    capacity::CapacityVm entry;
    entry.record = vm.record;
    entry.hasPendingCommand = vm.hasPendingCommand;
    const auto unavailable = m_unavailableSince.find(vm.record->vm);
    if (unavailable != m_unavailableSince.end()) {
        entry.unavailableSince = unavailable->second;
    }
    const auto move = m_pendingMoves.find(vm.record->vm);
    if (move != m_pendingMoves.end()) {
        entry.pendingMoveTo = move->second;
    }
    entry.isRunning = vm.observed.platform == maintenance::PlatformState::Running;
    entry.boots = vm.observed.boots;
    entry.load = vm.observed.requestsInFlight + vm.observed.tasksRunning;
    return entry;
}

capacity::CapacityView CapacityController::buildView(
    const maintenance::MaintenanceView& view, const maintenance::MaintenancePlan& plan) const
{
    capacity::CapacityView result;
    std::ranges::transform(
        view.vms, std::back_inserter(result.vms), [this](const maintenance::MaintenanceVm& vm) { return buildVm(vm); });
    for (const auto& [service, record] : m_replica.state().documents()) {
        const auto* document = m_replica.state().serviceDocument(service);
        if (document == nullptr) {
            continue;
        }
        const auto samples = m_samples.find(service);
        const auto pool = std::ranges::find(plan.pools, document->pool.name, &maintenance::PoolProgress::pool);
        capacity::ServiceView entry;
        entry.document = document;
        if (samples != m_samples.end()) {
            entry.samples.assign(samples->second.begin(), samples->second.end());
        }
        entry.isMaintenanceDue = pool != plan.pools.end() && pool->due > 0;
        result.services.push_back(std::move(entry));
    }
    result.fleet = m_replica.state().fleetDocument();
    result.platformSeenAt = m_platform.listReceivedAt();
    return result;
}

} // namespace crocuscove::server
