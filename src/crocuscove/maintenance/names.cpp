#include "crocuscove/base/enum_names.h"
#include "crocuscove/maintenance/budget.h"
#include "crocuscove/maintenance/maintenance_plan.h"
#include "crocuscove/maintenance/maintenance_view.h"

namespace crocuscove::maintenance {

namespace {

constexpr auto platformStateNames = base::enumNames<PlatformState>({
    { PlatformState::Unknown, "unknown" },
    { PlatformState::Running, "running" },
    { PlatformState::Rebooting, "rebooting" },
    { PlatformState::Off, "off" },
});

constexpr auto actionKindNames = base::enumNames<MaintenanceActionKind>({
    { MaintenanceActionKind::BeginDrain, "begin-drain" },
    { MaintenanceActionKind::BeginReboot, "begin-reboot" },
    { MaintenanceActionKind::MarkReturning, "mark-returning" },
    { MaintenanceActionKind::MarkServing, "mark-serving" },
    { MaintenanceActionKind::MarkLost, "mark-lost" },
    { MaintenanceActionKind::Recover, "recover" },
});

constexpr auto reasonNames = base::enumNames<MaintenanceReason>({
    { MaintenanceReason::Due, "due" },
    { MaintenanceReason::Overdue, "overdue" },
    { MaintenanceReason::Drained, "drained" },
    { MaintenanceReason::Rebooted, "rebooted" },
    { MaintenanceReason::Healthy, "healthy" },
    { MaintenanceReason::BudgetLost, "budget-lost" },
    { MaintenanceReason::WavePaused, "wave-paused" },
    { MaintenanceReason::PlatformOff, "platform-off" },
    { MaintenanceReason::Silent, "silent" },
    { MaintenanceReason::NotReturned, "not-returned" },
    { MaintenanceReason::SeenAgain, "seen-again" },
});

constexpr auto pauseNames = base::enumNames<PauseReason>({
    { PauseReason::CorrelatedFailures, "correlated-failures" },
    { PauseReason::VmsNotReturning, "vms-not-returning" },
    { PauseReason::ObservationLost, "observation-lost" },
    { PauseReason::PlatformSilent, "platform-silent" },
    { PauseReason::BelowBudget, "below-budget" },
    { PauseReason::BudgetAllowsNoStop, "budget-allows-no-stop" },
});

constexpr auto verdictNames = base::enumNames<BudgetVerdict>({
    { BudgetVerdict::Allowed, "allowed" },
    { BudgetVerdict::AllowedBelowMaximum, "allowed-below-maximum" },
    { BudgetVerdict::NeverAllowed, "never-allowed" },
});

} // namespace

std::string_view platformStateName(PlatformState state) { return platformStateNames.name(state); }

std::string_view maintenanceActionKindName(MaintenanceActionKind kind) { return actionKindNames.name(kind); }

std::string_view maintenanceReasonName(MaintenanceReason reason) { return reasonNames.name(reason); }

std::string_view pauseReasonName(PauseReason reason) { return pauseNames.name(reason); }

std::string_view budgetVerdictName(BudgetVerdict verdict) { return verdictNames.name(verdict); }

} // namespace crocuscove::maintenance
