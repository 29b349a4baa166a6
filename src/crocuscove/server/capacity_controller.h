#pragma once

#include "node_table.h"
#include "platform_client.h"
#include "replica.h"

#include "crocuscove/base/log.h"
#include "crocuscove/capacity/capacity_plan.h"
#include "crocuscove/maintenance/maintenance_plan.h"

#include <deque>
#include <functional>
#include <map>

namespace crocuscove::server {

/// Runs on the leader: samples the load of each service and proposes moves of VMs between pools.
class CapacityController {
public:
    /// Proposes a move. The move counts as pending until onMoveFinished is called.
    using ProposeMove = std::function<void(const state::MoveVm& move)>;

    /// The references must outlive this.
    CapacityController(const base::Log& log, const Replica& replica, const NodeTable& nodes,
        const PlatformClient& platform, ProposeMove proposeMove);

    void beginLeading();

    /// Updates the availability of VMs and, at a fixed interval, samples the load and plans moves. `view` and `plan`
    /// are the latest of the maintenance controller.
    void tick(
        base::MonotonicTime now, const maintenance::MaintenanceView& view, const maintenance::MaintenancePlan& plan);

    /// Clears the pending move of `vm` once its proposal has concluded with any outcome.
    void onMoveFinished(const base::VmId& vm) { m_pendingMoves.erase(vm); }

    /// Number of executors that a service needs: the planned number, or its minimum before the first plan.
    [[nodiscard]] std::uint32_t targetExecutors(const document::ServiceDocument& document) const;

    /// The latest plan of this leader, shown by the status API.
    [[nodiscard]] const capacity::CapacityPlan& plan() const { return m_plan; }

private:
    void sampleLoad();
    void trackAvailability(const maintenance::MaintenanceView& view);
    [[nodiscard]] bool hasService(const base::PoolId& pool) const;
    [[nodiscard]] capacity::CapacityVm buildVm(const maintenance::MaintenanceVm& vm) const;
    [[nodiscard]] capacity::CapacityView buildView(
        const maintenance::MaintenanceView& view, const maintenance::MaintenancePlan& plan) const;

    const base::Log& m_log;
    const Replica& m_replica;
    const NodeTable& m_nodes;
    const PlatformClient& m_platform;
    ProposeMove m_proposeMove;
    capacity::CapacityPlan m_plan;
    std::map<base::ServiceId, std::deque<capacity::LoadSample>> m_samples;
    std::map<base::VmId, base::WallTime> m_unavailableSince;
    std::map<base::VmId, base::PoolId> m_pendingMoves;
    base::MonotonicTime m_nextPlanTime;
};

} // namespace crocuscove::server
