#include "crocuscove/maintenance/maintenance_plan.h"

#include "steps.h"

namespace crocuscove::maintenance {

MaintenancePlan planMaintenance(const MaintenanceView& view, const MaintenanceOptions& options, base::WallTime now)
{
    Fleet fleet = describeFleet(view, options, now);
    Pauses pauses = findPauses(fleet);
    MaintenancePlan plan { .progress = measureProgress(fleet) };
    planSteps(fleet, pauses.scopes, plan.actions);
    planDrains(fleet, pauses.scopes, plan.actions);
    plan.pauses = std::move(pauses.list);
    return plan;
}

} // namespace crocuscove::maintenance
