#pragma once

#include "backend_registry.h"
#include "capacity_controller.h"
#include "job_controller.h"
#include "platform_client.h"
#include "replica.h"

#include "crocuscove/base/log.h"
#include "crocuscove/maintenance/maintenance_plan.h"

#include <map>
#include <set>
#include <string>

namespace crocuscove::server {

/// Runs on the leader: registers the platform's VMs, proposes the actions of the maintenance plan as log entries, and
/// sends the platform the drain and reboot commands that the committed entries require.
class MaintenanceController {
public:
    /// The references must outlive this.
    MaintenanceController(const base::Log& log, Replica& replica, const BackendRegistry& backends,
        const JobController& jobs, const NodeTable& nodes, PlatformClient& platform);

    void beginLeading();
    void tick(base::MonotonicTime now);

    /// The latest plans of this leader, shown by the status API.
    [[nodiscard]] const maintenance::MaintenancePlan& plan() const { return m_plan; }
    [[nodiscard]] const capacity::CapacityPlan& capacityPlan() const { return m_capacity.plan(); }

private:
    using BackendsByVm = std::map<base::VmId, const routing::Announcement*>;

    void registerVms(const std::map<base::VmId, base::PoolId>& pools);
    void assignVms(const std::map<base::VmId, base::PoolId>& pools);
    [[nodiscard]] std::map<base::VmId, base::PoolId> announcedPools(
        const std::vector<routing::Announcement>& announcements) const;
    maintenance::MaintenanceView buildView(const std::vector<routing::Announcement>& announcements) const;
    [[nodiscard]] maintenance::VmObservation observeVm(
        const state::VmRecord& record, const routing::Announcement* announcement) const;
    void proposeAction(const maintenance::MaintenanceAction& action);
    void sendPlatformCommands(base::MonotonicTime now);
    void logPauses();
    void propose(const base::VmId& vm, const state::Command& command);

    const base::Log& m_log;
    Replica& m_replica;
    const BackendRegistry& m_backends;
    const JobController& m_jobs;
    PlatformClient& m_platform;
    CapacityController m_capacity;
    maintenance::MaintenancePlan m_plan;
    base::WallTime m_observingSince;
    base::MonotonicTime m_nextCommandSend;
    std::set<base::VmId> m_pendingCommands;
    std::set<std::string> m_loggedPauses;
};

} // namespace crocuscove::server
