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

/// Runs on the leader: samples the load of the services and proposes moves of VMs between pools.
class CapacityController {
public:
    /// Proposes a move; the VM counts as pending until it is applied.
    using ProposeMove = std::function<void(const state::MoveVm& move)>;

    /// The references must outlive this.
    CapacityController(const base::Log& log, const Replica& replica, const NodeTable& nodes,
        const PlatformClient& platform, ProposeMove proposeMove);

    void beginLeading();

    /// Takes a sample and plans when they are due. `view` and `plan` are the latest of maintenance.
    void tick(
        base::MonotonicTime now, const maintenance::MaintenanceView& view, const maintenance::MaintenancePlan& plan);

    /// The proposal of a move has ended.
    void moveEnded(const base::VmId& vm) { m_pendingMoves.erase(vm); }

    /// Executors that a service needs: the planned number, or its minimum before the first plan.
    [[nodiscard]] std::uint32_t wantedExecutors(const document::ServiceDocument& document) const;

    /// The last plan of this leader, for status.
    [[nodiscard]] const capacity::CapacityPlan& plan() const { return m_plan; }

private:
    void sampleLoad();
    void noteAvailability(const maintenance::MaintenanceView& view);
    [[nodiscard]] bool servesAService(const base::PoolId& pool) const;
    [[nodiscard]] capacity::CapacityVm makeVm(const maintenance::MaintenanceVm& vm) const;
    [[nodiscard]] capacity::CapacityView makeView(
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
    base::MonotonicTime m_nextPlan;
};

} // namespace crocuscove::server
