#pragma once

#include "pauses.h"

namespace crocuscove::maintenance {

/// Builds an action with the command that it maps to.
MaintenanceAction makeAction(
    const MaintenanceVm& vm, MaintenanceActionKind kind, MaintenanceReason reason, state::VmReason recorded);

/// Appends the next step of every VM that is stopped or lost, and of serving VMs that must be given up.
void planSteps(const Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions);

/// Appends the drains that begin now. Counts each one in the ledgers of `fleet`.
void planDrains(Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions);

MaintenanceProgress measureProgress(const Fleet& fleet);

} // namespace crocuscove::maintenance
