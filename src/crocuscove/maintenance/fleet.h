#pragma once

#include "crocuscove/maintenance/maintenance_plan.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace crocuscove::maintenance {

/// How a VM counts towards the budget of its pool.
enum class VmStatus {
    /// Serving, freshly observed and healthy.
    InService,
    /// In service, but repaired so recently that the budget of planned stops does not count it.
    OnProbation,
    /// The record says serving, but the VM is observed as unhealthy, suspect or not announced.
    Unhealthy,
    /// The record says serving, but there is no fresh observation.
    Unobserved,
    /// Draining, rebooting or returning, or with a pending command.
    Stopped,
    Lost,
};

/// Time of the last observation of a VM, and whether the VM could serve then.
struct LastObservation {
    std::optional<base::WallTime> at {};
    bool canServe = false;
    bool isFresh = false;
};

/// VM counts of one pool and the planned stops that its budget allows.
struct PoolBudget {
    base::PoolId pool;
    bool hasService = false;
    /// Planned stops run in one data centre at a time.
    bool isPerDataCentre = false;
    std::uint32_t wanted = 0;
    /// VMs that must stay in service.
    std::uint32_t required = 0;
    /// VMs of the pool by their records, without lost ones.
    std::uint32_t members = 0;
    std::uint32_t inService = 0;
    std::uint32_t onProbation = 0;
    std::uint32_t due = 0;
    /// A VM is due this long before its maintenance period ends.
    base::Milliseconds leadTime { 0 };

    /// Whether one more VM that is in service may stop.
    [[nodiscard]] bool allowsStop() const { return inService >= onProbation + required + 1; }
    [[nodiscard]] bool isBelowBudget() const { return inService < required; }
    /// Whether a stop is possible when every member is in service.
    [[nodiscard]] bool hasMaintenanceHeadroom() const { return members > required; }
    /// Stops that may run at once when every member is in service, at least 1.
    [[nodiscard]] std::uint32_t concurrentStops() const { return hasMaintenanceHeadroom() ? members - required : 1; }
};

/// State derived from the view for one plan: the budget of each pool and the status of each VM.
struct Fleet {
    const MaintenanceView& view;
    const MaintenanceOptions& options;
    base::WallTime now;
    std::vector<PoolBudget> pools {};
    /// For each VM of the view: index of its pool, its status and its last observation.
    std::vector<std::size_t> poolOf {};
    std::vector<VmStatus> statuses {};
    std::vector<LastObservation> lastObservations {};
    bool isPlatformFresh = false;

    [[nodiscard]] bool isDue(std::size_t vm) const
    {
        return view.vms[vm].record->lastMaintained + view.period - pools[poolOf[vm]].leadTime <= now;
    }
    [[nodiscard]] bool isOverdue(std::size_t vm) const
    {
        return view.vms[vm].record->lastMaintained + view.period <= now;
    }
};

Fleet describeFleet(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now);

/// Whether the VM is draining, rebooting or returning for maintenance.
bool isInMaintenance(const state::VmRecord& record);

} // namespace crocuscove::maintenance
