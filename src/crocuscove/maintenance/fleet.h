#pragma once

#include "crocuscove/maintenance/maintenance_plan.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace crocuscove::maintenance {

/// How a VM counts towards the budget of its pool.
enum class Standing {
    /// Serving, freshly observed and healthy.
    InService,
    /// As InService, but repaired so recently that no planned stop may rely on it.
    Repaired,
    /// Serving by its record, but observed as unhealthy, suspect or not announced.
    Unwell,
    /// Serving by its record, without a fresh observation.
    Unobserved,
    /// Draining, rebooting, returning, or about to be.
    Stopped,
    Lost,
};

/// When a VM was last heard of, and whether it then could serve.
struct Sighting {
    std::optional<base::WallTime> at {};
    bool canServe = false;
    bool isFresh = false;
};

struct PoolLedger {
    base::PoolId pool;
    bool hasService = false;
    /// Planned stops keep to one data centre at a time.
    bool isPerDataCentre = false;
    std::uint32_t wanted = 0;
    /// VMs that must stay in service.
    std::uint32_t required = 0;
    /// VMs whose record names the pool, without lost ones.
    std::uint32_t members = 0;
    std::uint32_t inService = 0;
    std::uint32_t repaired = 0;
    std::uint32_t due = 0;
    base::Milliseconds lead { 0 };

    /// Whether one more VM that is in service may stop.
    [[nodiscard]] bool allowsStop() const { return inService >= repaired + required + 1; }
    [[nodiscard]] bool isBelowBudget() const { return inService < required; }
    [[nodiscard]] bool canEverStop() const { return members > required; }
    /// Stops that may run at once when every member serves, at least 1.
    [[nodiscard]] std::uint32_t concurrentStops() const { return canEverStop() ? members - required : 1; }
};

/// The view, sorted by pools, with the standing of each VM. Lives for one plan.
struct Fleet {
    const MaintenanceView& view;
    const MaintenanceOptions& options;
    base::WallTime now;
    std::vector<PoolLedger> pools {};
    /// For each VM of the view: index of its pool, its standing and its last sighting.
    std::vector<std::size_t> poolOf {};
    std::vector<Standing> standings {};
    std::vector<Sighting> sightings {};
    bool isPlatformFresh = false;

    [[nodiscard]] bool isDue(std::size_t vm) const
    {
        return view.vms[vm].record->lastMaintained + view.period - pools[poolOf[vm]].lead <= now;
    }
    [[nodiscard]] bool isOverdue(std::size_t vm) const
    {
        return view.vms[vm].record->lastMaintained + view.period <= now;
    }
};

Fleet describeFleet(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now);

/// Whether the VM is stopped by maintenance now.
bool isInMaintenance(const state::VmRecord& record);

} // namespace crocuscove::maintenance
