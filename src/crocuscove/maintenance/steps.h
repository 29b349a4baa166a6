#pragma once

#include "pauses.h"

namespace crocuscove::maintenance {

/// Builds an action and its command, with `recorded` as the reason that the VM record keeps.
MaintenanceAction makeAction(
    const MaintenanceVm& vm, MaintenanceActionKind kind, MaintenanceReason reason, state::VmReason recorded);

/// Appends the next phase change of every VM that is stopped or lost, and marks unreachable serving VMs as lost.
void planSteps(const Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions);

/// Appends the drains that begin now, and updates the pool budgets and VM statuses of `fleet`.
void planDrains(Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions);

MaintenanceProgress measureProgress(const Fleet& fleet);

} // namespace crocuscove::maintenance
