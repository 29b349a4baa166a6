#include "crocuscove/maintenance/maintenance_plan.h"

#include "crocuscove/maintenance/testing/fake_fleet.h"

#include <gtest/gtest.h>

namespace crocuscove::maintenance {
namespace {

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

// Guards against a VM that is left in a phase, and against two stops under a budget of one.
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

} // namespace
} // namespace crocuscove::maintenance
