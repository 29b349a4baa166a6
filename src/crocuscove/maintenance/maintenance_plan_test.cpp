#include "crocuscove/maintenance/maintenance_plan.h"

#include "crocuscove/maintenance/testing/fake_fleet.h"

#include <gtest/gtest.h>

#include <set>

namespace crocuscove::maintenance {
namespace {

using state::VmPhase;
using state::VmReason;
using testing::FakeFleet;

FakeFleet poolOfTen(double minAvailablePercent = 90.0)
{
    FakeFleet fleet;
    for (int vm = 0; vm < 10; ++vm) {
        fleet.addVm("pricing", "dc" + std::to_string(vm % 3), "rack" + std::to_string(vm));
    }
    fleet.addService("pricing", 10, minAvailablePercent);
    return fleet;
}

MaintenancePlan planFor(const FakeFleet& fleet) { return planMaintenance(fleet.view(), {}, fleet.now); }

bool isMaintained(const FakeFleet& fleet)
{
    return std::ranges::all_of(
        fleet.vms, [&](const auto& vm) { return vm.record.lastMaintained > fleet.observingSince; });
}

// Guards against a VM that stays stuck in a phase, and against two concurrent stops under a budget of one.
TEST(MaintenancePlan, MaintainsEveryVmOneAtATimeUnderABudgetOfOne)
{
    FakeFleet fleet = poolOfTen();
    const base::WallTime deadline = fleet.now + std::chrono::hours(2);
    while (!isMaintained(fleet) && fleet.now < deadline) {
        fleet.apply(planFor(fleet));
        ASSERT_GE(fleet.serving(base::PoolId("pricing")), 9U);
        fleet.advance(std::chrono::seconds(5));
    }
    EXPECT_TRUE(isMaintained(fleet));
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(planFor(fleet).progress.done, 10U);
}

void runFor(FakeFleet& fleet, base::Milliseconds time)
{
    for (const base::WallTime end = fleet.now + time; fleet.now < end;) {
        fleet.apply(planFor(fleet));
        fleet.advance(std::chrono::seconds(5));
    }
}

const MaintenanceAction* findAction(const MaintenancePlan& plan, MaintenanceActionKind kind)
{
    const auto action = std::ranges::find(plan.actions, kind, &MaintenanceAction::kind);
    return action == plan.actions.end() ? nullptr : &*action;
}

std::size_t findDraining(const FakeFleet& fleet)
{
    const auto vm
        = std::ranges::find(fleet.vms, VmPhase::Draining, [](const auto& entry) { return entry.record.phase; });
    return static_cast<std::size_t>(vm - fleet.vms.begin());
}

// Guards against a graceful stop that cuts off requests or tasks.
TEST(MaintenancePlan, RebootWaitsForRequestsAndForTasksWithoutACheckpoint)
{
    FakeFleet fleet = poolOfTen();
    runFor(fleet, std::chrono::seconds(30));
    const std::size_t vm = findDraining(fleet);
    ASSERT_LT(vm, fleet.vms.size());
    EXPECT_EQ(findAction(planFor(fleet), MaintenanceActionKind::BeginReboot), nullptr);

    fleet.vms[vm].observed.requestsInFlight = 0;
    fleet.vms[vm].observed.tasksRunning = 2;
    fleet.vms[vm].observed.tasksCheckpointed = 1;
    EXPECT_EQ(findAction(planFor(fleet), MaintenanceActionKind::BeginReboot), nullptr);

    fleet.vms[vm].observed.tasksCheckpointed = 2;
    const MaintenancePlan plan = planFor(fleet);
    const MaintenanceAction* action = findAction(plan, MaintenanceActionKind::BeginReboot);
    ASSERT_NE(action, nullptr);
    EXPECT_EQ(action->command.vm, fleet.vms[vm].record.vm);
    EXPECT_EQ(action->command.expected, VmPhase::Draining);
    EXPECT_EQ(action->command.operation, fleet.vms[vm].record.operation);
}

// Guards against trusting an idle report that was made before the drain, or before every entry node learnt of it.
TEST(MaintenancePlan, RebootNeedsAReportFromAfterTheDrainIsKnown)
{
    FakeFleet fleet = poolOfTen();
    fleet.drainTime = base::Milliseconds(0);
    fleet.apply(planFor(fleet));
    fleet.advance(std::chrono::seconds(1));
    EXPECT_EQ(findAction(planFor(fleet), MaintenanceActionKind::BeginReboot), nullptr);
    fleet.advance(std::chrono::seconds(1));
    EXPECT_NE(findAction(planFor(fleet), MaintenanceActionKind::BeginReboot), nullptr);
}

// Guards against a drain that continues after an unplanned loss exhausted the budget.
TEST(MaintenancePlan, AnUnplannedLossReturnsADrainingVmToService)
{
    FakeFleet fleet = poolOfTen();
    runFor(fleet, std::chrono::seconds(10));
    const std::size_t draining = findDraining(fleet);
    fleet.vms[(draining + 1) % 10].observed.isSuspect = true;
    const MaintenancePlan plan = planFor(fleet);
    const MaintenanceAction* action = findAction(plan, MaintenanceActionKind::MarkServing);
    ASSERT_NE(action, nullptr);
    EXPECT_EQ(action->reason, MaintenanceReason::BudgetLost);
    EXPECT_EQ(action->command.reason, VmReason::None);
    EXPECT_EQ(action->command.vm, fleet.vms[draining].record.vm);
}

// Guards against counting a just repaired VM towards the budget of planned stops: another loss right after
// the repair would then break the budget.
TEST(MaintenancePlan, ARepairedVmDoesNotCountTowardsPlannedStopsAtOnce)
{
    FakeFleet fleet = poolOfTen();
    std::ranges::for_each(fleet.vms, [&](auto& vm) { vm.record.lastMaintained = fleet.now; });
    fleet.lose(0);
    runFor(fleet, std::chrono::minutes(1));
    EXPECT_EQ(fleet.vms[0].record.phase, VmPhase::Lost);
    fleet.repair(0);
    runFor(fleet, std::chrono::minutes(1));
    ASSERT_EQ(fleet.vms[0].record.phase, VmPhase::Serving);
    ASSERT_EQ(fleet.vms[0].record.reason, VmReason::Returned);

    std::ranges::for_each(fleet.vms, [&](auto& vm) { vm.record.lastMaintained = fleet.now - fleet.period; });
    EXPECT_EQ(findAction(planFor(fleet), MaintenanceActionKind::BeginDrain), nullptr);
    fleet.lose(0);
    fleet.advance(std::chrono::seconds(5));
    EXPECT_EQ(fleet.serving(base::PoolId("pricing")), 9U);

    fleet.repair(0);
    runFor(fleet, std::chrono::minutes(12));
    EXPECT_LT(fleet.serving(base::PoolId("pricing")), 10U);
}

// Guards against a move that is never completed, and against one that is counted as maintenance.
TEST(MaintenancePlan, CompletesAMoveToTheNewPool)
{
    FakeFleet fleet = poolOfTen();
    const base::PoolId spare("spare");
    std::ranges::for_each(fleet.vms, [&](auto& vm) { vm.record.lastMaintained = fleet.now; });
    fleet.apply(state::MoveVm { fleet.vms[3].record.vm, base::PoolId("pricing"), spare, 1 });
    runFor(fleet, std::chrono::minutes(5));
    EXPECT_EQ(fleet.vms[3].record.pool, spare);
    EXPECT_EQ(fleet.vms[3].record.phase, VmPhase::Serving);
    EXPECT_EQ(fleet.vms[3].record.reason, VmReason::Move);
    EXPECT_EQ(fleet.refused, 0U);
}

// Guards against treating idle VMs of the spare pool as unobserved, since they send no announcements.
TEST(MaintenancePlan, MaintainsIdleVmsThatOnlyThePlatformSees)
{
    FakeFleet fleet;
    for (int vm = 0; vm < 3; ++vm) {
        fleet.addVm("spare", "dc0", "rack0");
        fleet.vms.back().isSilent = true;
        fleet.vms.back().observed.observedAt.reset();
        fleet.vms.back().observed.isAnnounced = false;
    }
    runFor(fleet, std::chrono::minutes(30));
    EXPECT_TRUE(isMaintained(fleet));
    EXPECT_EQ(fleet.countPhase(VmPhase::Serving), 3U);
}

// Guards against a VM that crashes while draining and then waits indefinitely for its reboot.
TEST(MaintenancePlan, AVmThatRebootsByItselfWhileDrainingReturns)
{
    FakeFleet fleet = poolOfTen();
    fleet.apply(planFor(fleet));
    const std::size_t vm = findDraining(fleet);
    ++fleet.vms[vm].observed.boots;
    const MaintenancePlan plan = planFor(fleet);
    const MaintenanceAction* action = findAction(plan, MaintenanceActionKind::MarkReturning);
    ASSERT_NE(action, nullptr);
    EXPECT_EQ(action->reason, MaintenanceReason::Rebooted);
}

// Guards against concurrent stops in two data centres for a service whose failure domain is the data centre.
TEST(MaintenancePlan, StopsKeepToOneDataCentreWhereThatIsTheFailureDomain)
{
    FakeFleet fleet = poolOfTen(50.0);
    fleet.services[0].failureDomain = document::FailureDomain::DataCentre;
    const base::WallTime deadline = fleet.now + std::chrono::hours(2);
    while (!isMaintained(fleet) && fleet.now < deadline) {
        fleet.apply(planFor(fleet));
        std::set<base::DataCentreId> stopped;
        for (const auto& vm : fleet.vms) {
            if (vm.record.phase != VmPhase::Serving) {
                stopped.insert(vm.record.dataCentre);
            }
        }
        ASSERT_LE(stopped.size(), 1U);
        fleet.advance(std::chrono::seconds(5));
    }
    EXPECT_TRUE(isMaintained(fleet));
}

// Guards against exceeding the fleet-wide limit of concurrent stops when the pool budgets would allow more.
TEST(MaintenancePlan, TheFleetLimitHoldsOverAllPools)
{
    FakeFleet fleet;
    for (int vm = 0; vm < 40; ++vm) {
        fleet.addVm("pool" + std::to_string(vm % 4), "dc0", "rack" + std::to_string(vm / 4));
    }
    for (int pool = 0; pool < 4; ++pool) {
        fleet.addService("pool" + std::to_string(pool), 10, 0.0);
    }
    EXPECT_EQ(planFor(fleet).actions.size(), 10U);
    fleet.apply(planFor(fleet));
    EXPECT_TRUE(planFor(fleet).actions.empty());
}

// Guards against wrong counts and a wrong expected end in the reported progress.
TEST(MaintenancePlan, ProgressCountsDoneRemainingAndTheExpectedEnd)
{
    FakeFleet fleet = poolOfTen();
    for (std::size_t vm = 0; vm < 4; ++vm) {
        fleet.vms[vm].record.lastMaintained = fleet.now;
    }
    const MaintenancePlan plan = planFor(fleet);
    ASSERT_EQ(plan.pools.size(), 1U);
    EXPECT_EQ(plan.pools[0].due, 6U);
    EXPECT_EQ(plan.pools[0].required, 9U);
    EXPECT_EQ(plan.pools[0].inService, 10U);
    const MaintenanceProgress progress = plan.progress;
    EXPECT_EQ(progress.done, 4U);
    EXPECT_EQ(progress.remaining, 6U);
    EXPECT_EQ(progress.overdue, 6U);
    EXPECT_EQ(progress.expectedEnd, fleet.now + std::chrono::minutes(60));
}

} // namespace
} // namespace crocuscove::maintenance
