#include "crocuscove/maintenance/testing/fake_fleet.h"

#include <gtest/gtest.h>

namespace crocuscove::maintenance {
namespace {

using state::VmPhase;
using testing::FakeFleet;

constexpr std::chrono::seconds roundTime { 5 };

/// Two services of ten VMs each over three data centres, two VMs of a service to a rack, at most two stops at a time.
FakeFleet twoServices()
{
    FakeFleet fleet;
    for (int vm = 0; vm < 20; ++vm) {
        fleet.addVm(vm % 2 == 0 ? "alpha" : "beta", "dc" + std::to_string(vm / 4 % 3), "rack" + std::to_string(vm / 4));
    }
    fleet.addService("alpha", 10, 80.0);
    fleet.addService("beta", 10, 80.0);
    return fleet;
}

MaintenancePlan planFor(const FakeFleet& fleet) { return planMaintenance(fleet.view(), {}, fleet.now); }

const MaintenancePause* findPause(const MaintenancePlan& plan, PauseReason reason)
{
    const auto pause = std::ranges::find(plan.pauses, reason, &MaintenancePause::reason);
    return pause == plan.pauses.end() ? nullptr : &*pause;
}

std::ptrdiff_t countActions(const MaintenancePlan& plan, MaintenanceActionKind kind)
{
    return std::ranges::count(plan.actions, kind, &MaintenanceAction::kind);
}

std::ptrdiff_t countPlannedDrains(const FakeFleet& fleet)
{
    return countActions(planFor(fleet), MaintenanceActionKind::BeginDrain);
}

void runFor(FakeFleet& fleet, base::Milliseconds time)
{
    for (const base::WallTime end = fleet.now + time; fleet.now < end;) {
        fleet.apply(planFor(fleet));
        fleet.advance(roundTime);
    }
}

// Guards against starting planned stops while a rack or the whole fleet is failing.
TEST(Pauses, ALostRackPausesTheWaveAndTheWaveResumes)
{
    FakeFleet fleet = twoServices();
    for (std::size_t vm = 0; vm < 4; ++vm) {
        fleet.lose(vm);
    }
    fleet.apply(planFor(fleet));
    fleet.advance(roundTime);

    const MaintenancePlan plan = planFor(fleet);
    const MaintenancePause* pause = findPause(plan, PauseReason::CorrelatedFailures);
    ASSERT_NE(pause, nullptr);
    EXPECT_EQ(pause->vms, 4U);
    EXPECT_EQ(countActions(plan, MaintenanceActionKind::BeginDrain), 0);
    ASSERT_TRUE(pause->resumesAt);

    for (std::size_t vm = 0; vm < 4; ++vm) {
        fleet.repair(vm);
    }
    const auto untilResumed = std::chrono::minutes(16);
    runFor(fleet, untilResumed);
    EXPECT_EQ(findPause(planFor(fleet), PauseReason::CorrelatedFailures), nullptr);
    EXPECT_GT(fleet.countPhase(VmPhase::Draining) + fleet.countPhase(VmPhase::Rebooting), 0U);
}

// Guards against treating two losses in one rack as independent. Other data centres continue within their budgets.
TEST(Pauses, TwoLossesInARackPauseOnlyItsDataCentre)
{
    FakeFleet fleet = twoServices();
    fleet.lose(0);
    fleet.lose(1);
    fleet.apply(planFor(fleet));
    fleet.advance(roundTime);
    const MaintenancePlan plan = planFor(fleet);
    const MaintenancePause* pause = findPause(plan, PauseReason::CorrelatedFailures);
    ASSERT_NE(pause, nullptr);
    EXPECT_EQ(pause->dataCentre, base::DataCentreId("dc0"));
    for (const auto& vm : fleet.vms) {
        EXPECT_FALSE(vm.record.phase == VmPhase::Draining && vm.record.dataCentre == base::DataCentreId("dc0"));
    }
}

// Guards against a faulty reboot that disables one VM after another.
TEST(Pauses, VmsThatDoNotReturnPauseTheWave)
{
    FakeFleet fleet = twoServices();
    std::ranges::for_each(fleet.vms, [](auto& vm) { vm.isStuck = true; });
    runFor(fleet, std::chrono::hours(1));
    EXPECT_EQ(fleet.countPhase(VmPhase::Lost), 4U);
    const MaintenancePlan plan = planFor(fleet);
    ASSERT_NE(findPause(plan, PauseReason::VmsNotReturning), nullptr);
    EXPECT_EQ(countActions(plan, MaintenanceActionKind::BeginDrain), 0);

    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        fleet.vms[vm].isStuck = false;
        if (fleet.vms[vm].record.phase == VmPhase::Lost) {
            fleet.repair(vm);
        }
    }
    runFor(fleet, std::chrono::minutes(1));
    EXPECT_EQ(findPause(planFor(fleet), PauseReason::VmsNotReturning), nullptr);
}

// Guards against a new leader that stops VMs, or marks them lost, before it has received their announcements.
TEST(Pauses, ANewLeaderWaitsForObservations)
{
    FakeFleet fleet = twoServices();
    runFor(fleet, std::chrono::seconds(30));
    const auto draining = fleet.countPhase(VmPhase::Draining);
    ASSERT_EQ(draining, 4U);
    std::ranges::for_each(fleet.vms, [](auto& vm) { vm.isSilent = true; });
    fleet.changeLeader();
    runFor(fleet, std::chrono::minutes(10));
    EXPECT_NE(findPause(planFor(fleet), PauseReason::ObservationLost), nullptr);
    EXPECT_EQ(fleet.countPhase(VmPhase::Lost), 0U);
    EXPECT_EQ(fleet.countPhase(VmPhase::Draining), draining);

    std::ranges::for_each(fleet.vms, [](auto& vm) { vm.isSilent = false; });
    runFor(fleet, std::chrono::minutes(2));
    EXPECT_TRUE(planFor(fleet).pauses.empty());
    EXPECT_GT(fleet.countPhase(VmPhase::Rebooting) + fleet.countPhase(VmPhase::Returning), 0U);
}

// Guards against reboots that cannot be verified because the platform is unreachable.
TEST(Pauses, ASilentPlatformPausesTheWave)
{
    FakeFleet fleet = twoServices();
    fleet.isPlatformSilent = true;
    runFor(fleet, std::chrono::minutes(5));
    const MaintenancePlan plan = planFor(fleet);
    EXPECT_NE(findPause(plan, PauseReason::PlatformSilent), nullptr);
    EXPECT_EQ(fleet.countPhase(VmPhase::Rebooting), 0U);
    fleet.isPlatformSilent = false;
    runFor(fleet, std::chrono::minutes(5));
    EXPECT_GT(fleet.countPhase(VmPhase::Rebooting), 0U);
}

// Guards against a budget that blocks maintenance without being reported.
TEST(Pauses, ABudgetWithoutHeadroomIsReportedAndAnExtraVmAddsHeadroom)
{
    FakeFleet fleet = twoServices();
    fleet.services[0].minAvailablePercent = 100.0;
    const MaintenancePlan plan = planFor(fleet);
    const MaintenancePause* pause = findPause(plan, PauseReason::BudgetAllowsNoStop);
    ASSERT_NE(pause, nullptr);
    EXPECT_EQ(pause->pool, base::PoolId("alpha"));
    EXPECT_EQ(plan.progress.expectedEnd, std::nullopt);
    EXPECT_EQ(countPlannedDrains(fleet), 2);

    fleet.addVm("alpha", "dc0", "rack9");
    EXPECT_EQ(findPause(planFor(fleet), PauseReason::BudgetAllowsNoStop), nullptr);
    EXPECT_EQ(countPlannedDrains(fleet), 3);
}

// Guards against reporting unplanned losses as a budget that never allows a stop.
TEST(Pauses, LossesBelowTheBudgetAreReported)
{
    FakeFleet fleet = twoServices();
    for (const std::size_t vm : { 0, 8, 16 }) {
        fleet.vms[vm].observed.isHealthy = false;
    }
    const MaintenancePlan plan = planFor(fleet);
    const MaintenancePause* pause = findPause(plan, PauseReason::BelowBudget);
    ASSERT_NE(pause, nullptr);
    EXPECT_EQ(pause->pool, base::PoolId("alpha"));
    EXPECT_EQ(pause->vms, 1U);
    EXPECT_EQ(countActions(plan, MaintenanceActionKind::BeginDrain), 2);
}

} // namespace
} // namespace crocuscove::maintenance
