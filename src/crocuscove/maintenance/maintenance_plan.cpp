#include "crocuscove/maintenance/maintenance_plan.h"

#include "steps.h"

#include <algorithm>
#include <iterator>

namespace crocuscove::maintenance {

MaintenancePlan planMaintenance(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now)
{
    Fleet fleet = describeFleet(view, options, now);
    Pauses pauses = findPauses(fleet);
    MaintenancePlan plan { .progress = measureProgress(fleet) };
    std::ranges::transform(fleet.pools, std::back_inserter(plan.pools), [](const PoolBudget& pool) {
        return PoolProgress { .pool = pool.pool,
            .due = pool.due,
            .wanted = pool.wanted,
            .required = pool.required,
            .inService = pool.inService };
    });
    planSteps(fleet, pauses.scopes, plan.actions);
    planDrains(fleet, pauses.scopes, plan.actions);
    plan.pauses = std::move(pauses.list);
    return plan;
}

} // namespace crocuscove::maintenance
