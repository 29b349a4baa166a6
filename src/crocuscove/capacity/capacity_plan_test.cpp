#include "crocuscove/capacity/capacity_plan.h"

#include "crocuscove/capacity/testing/fake_pools.h"

#include <gtest/gtest.h>

#include <set>

namespace crocuscove::capacity {
namespace {

using testing::FakePools;
using testing::FakeVm;
using testing::fiveServices;

constexpr base::Milliseconds step { 15'000 };

CapacityPlan planFor(const FakePools& pools) { return planCapacity(pools.view(), {}, pools.now); }

void setLoad(FakePools& pools, double slots)
{
    std::ranges::for_each(pools.services, [&](auto& service) { service.busySlots = slots; });
}

void runFor(FakePools& pools, base::Milliseconds time)
{
    for (const base::WallTime end = pools.now + time; pools.now < end;) {
        pools.apply(planFor(pools));
        pools.advance(step);
    }
}

std::uint32_t members(const FakePools& pools, const std::string& pool) { return pools.members(base::PoolId(pool)); }

/// Pools that carry a moderate load and have a whole history of it. Eight executors of eight slots carry 40 slots.
FakePools settledPools()
{
    FakePools pools = fiveServices();
    setLoad(pools, 40.0);
    pools.fillHistory();
    return pools;
}

void addSpares(FakePools& pools, std::size_t count)
{
    for (std::size_t vm = 0; vm < count; ++vm) {
        pools.addVm("spare", "dc" + std::to_string(vm % 3), "rack" + std::to_string(20 + vm));
    }
}

// Guards against moves without any change in demand.
TEST(CapacityPlan, SteadyLoadMovesNothing)
{
    FakePools pools = settledPools();
    runFor(pools, std::chrono::hours(1));
    EXPECT_EQ(pools.moves, 0U);
    const CapacityPlan plan = planFor(pools);
    EXPECT_EQ(plan.services[0].wanted, 8U);
    EXPECT_EQ(plan.services[0].reason, WantedReason::Minimum);
}

// Guards against moves that follow a surge of seconds, which is over before a VM arrives.
TEST(CapacityPlan, SurgesOfSecondsAreLeftToTheQueues)
{
    FakePools pools = settledPools();
    for (int surge = 0; surge < 40; ++surge) {
        pools.services[0].busySlots = 64.0;
        pools.services[0].queued = 200.0;
        runFor(pools, std::chrono::seconds(30));
        pools.services[0].busySlots = 2.0;
        pools.services[0].queued = 0.0;
        runFor(pools, std::chrono::seconds(120));
    }
    EXPECT_EQ(pools.moves, 0U);
}

// Guards against a pool that is left overloaded, and against VMs that are never given back. Ten executors carry 59
// slots. What the spare pool has beyond its buffer may add headroom.
TEST(CapacityPlan, LendsForLastingDemandAndTakesBackLater)
{
    FakePools pools = settledPools();
    addSpares(pools, 4);
    pools.services[0].busySlots = 59.0;
    runFor(pools, std::chrono::minutes(20));
    const std::uint32_t grown = members(pools, "pool0");
    EXPECT_GE(grown, 10U);
    EXPECT_LE(planFor(pools).buffer.needed, members(pools, "spare"));

    pools.services[0].busySlots = 40.0;
    runFor(pools, std::chrono::hours(3));
    EXPECT_EQ(members(pools, "pool0"), grown);
    runFor(pools, std::chrono::hours(2));
    EXPECT_EQ(members(pools, "pool0"), 8U);
    EXPECT_EQ(pools.moves, 2U * (grown - 8U));
}

// Guards against two moves by way of the spare pool, or none, when the spare pool is empty and another has plenty.
TEST(CapacityPlan, TakesFromAPoolWithIdleVmsWhenNoneIsSpare)
{
    FakePools pools = settledPools();
    pools.services[1].busySlots = 59.0;
    runFor(pools, std::chrono::minutes(20));
    std::erase_if(pools.vms, [](const FakeVm& vm) { return vm.record.pool == base::PoolId("spare"); });
    for (std::size_t vm = 0; vm < pools.vms.size(); ++vm) {
        pools.vms[vm].record.vm = base::VmId("vm" + std::to_string(vm));
    }
    pools.services[1].busySlots = 30.0;
    runFor(pools, std::chrono::minutes(70));
    const std::uint64_t before = pools.moves;
    pools.services[0].busySlots = 53.0;
    runFor(pools, std::chrono::minutes(20));
    EXPECT_EQ(members(pools, "pool0"), 9U);
    EXPECT_EQ(pools.moves, before + 1);
}

// Guards against a pool that shrinks because a new leader has not seen the load yet.
TEST(CapacityPlan, ANewLeaderKeepsEveryPoolUntilItKnowsTheLoad)
{
    FakePools pools = settledPools();
    pools.services[0].busySlots = 59.0;
    runFor(pools, std::chrono::minutes(20));
    pools.services[0].busySlots = 10.0;
    std::ranges::for_each(pools.services, [](auto& service) { service.samples.clear(); });
    const CapacityPlan blind = planFor(pools);
    EXPECT_EQ(blind.services[0].reason, WantedReason::NoObservation);
    EXPECT_EQ(blind.services[0].wanted, 10U);
    EXPECT_TRUE(blind.moves.empty());
    runFor(pools, std::chrono::minutes(10));
    EXPECT_EQ(planFor(pools).services[0].reason, WantedReason::ShortHistory);
    EXPECT_EQ(members(pools, "pool0"), 10U);
}

// Guards against a VM that is replaced as soon as it becomes unavailable, and against one that is never replaced.
TEST(CapacityPlan, ReplacesLostVms)
{
    FakePools pools = settledPools();
    pools.lose(pools.vms[0]);
    const CapacityPlan plan = planFor(pools);
    ASSERT_EQ(plan.moves.size(), 1U);
    EXPECT_EQ(plan.moves[0].reason, MoveReason::BelowMinimum);
    EXPECT_EQ(plan.moves[0].command.to, base::PoolId("pool0"));

    pools = settledPools();
    pools.vms[0].unavailableSince = pools.now;
    EXPECT_TRUE(planFor(pools).moves.empty());
    pools.advance(std::chrono::minutes(4));
    EXPECT_EQ(planFor(pools).moves.size(), 1U);
}

// Guards against a second VM that is lent while the first is proposed but not yet applied.
TEST(CapacityPlan, APendingMoveIsCounted)
{
    FakePools pools = settledPools();
    pools.lose(pools.vms[0]);
    CapacityView view = pools.view();
    const VmMove move = planFor(pools).moves.at(0);
    for (CapacityVm& vm : view.vms) {
        if (vm.record->vm == move.command.vm) {
            vm.hasPendingCommand = true;
            vm.pendingMoveTo = move.command.to;
        }
    }
    EXPECT_TRUE(planCapacity(view, {}, pools.now).moves.empty());
}

// Guards against a lent VM that puts two executors of a service into one rack while another rack has a VM.
TEST(CapacityPlan, ChoosesTheVmInAFailureDomainThatThePoolLacks)
{
    FakePools pools = settledPools();
    for (std::size_t vm = 40; vm < 49; ++vm) {
        pools.vms[vm].record.rack = pools.vms[0].record.rack;
        pools.vms[vm].record.dataCentre = pools.vms[0].record.dataCentre;
    }
    pools.lose(pools.vms[10]);
    const CapacityPlan plan = planFor(pools);
    ASSERT_EQ(plan.moves.size(), 1U);
    EXPECT_EQ(plan.moves[0].command.vm, base::VmId("vm49"));
}

// Guards against an edited executor range that has no effect on the pool.
TEST(CapacityPlan, FollowsTheRangeOfAnEditedDocument)
{
    FakePools pools = settledPools();
    pools.services[0].document.pool.executors = { .minimum = 10, .maximum = 12, .spare = 1 };
    runFor(pools, std::chrono::minutes(10));
    EXPECT_EQ(members(pools, "pool0"), 10U);
    pools.services[0].document.pool.executors = { .minimum = 4, .maximum = 6, .spare = 1 };
    runFor(pools, std::chrono::minutes(30));
    EXPECT_EQ(members(pools, "pool0"), 6U);
}

// Guards against maintenance that waits for ever because the budget needs every VM of the pool.
TEST(CapacityPlan, LendsAVmForMaintenanceWhereTheBudgetHasNoRoom)
{
    FakePools pools = settledPools();
    pools.services[0].document.minAvailablePercent = 100.0;
    EXPECT_TRUE(planFor(pools).moves.empty());
    pools.services[0].isMaintenanceDue = true;
    const CapacityPlan plan = planFor(pools);
    ASSERT_EQ(plan.moves.size(), 1U);
    EXPECT_EQ(plan.moves[0].reason, MoveReason::MaintenanceHeadroom);
    EXPECT_EQ(plan.services[0].wanted, 8U);
    pools.apply(plan);
    EXPECT_TRUE(planFor(pools).moves.empty());
}

// Guards against more concurrent moves than the limit, and against moves while the platform or the observations fail.
TEST(CapacityPlan, MovesAreBoundedAndHeldWithoutPlatformOrObservation)
{
    FakePools pools = settledPools();
    std::ranges::for_each(pools.services, [](auto& service) { service.busySlots = 59.0; });
    std::uint32_t most = 0;
    for (int round = 0; round < 60; ++round) {
        pools.apply(planFor(pools));
        most = std::max(most, pools.movingVms());
        pools.advance(step);
    }
    EXPECT_EQ(most, 3U);

    pools = settledPools();
    pools.lose(pools.vms[0]);
    pools.isPlatformSilent = true;
    pools.advance(std::chrono::minutes(1));
    EXPECT_EQ(planFor(pools).hold, HoldReason::PlatformSilent);
    EXPECT_TRUE(planFor(pools).moves.empty());
    pools.isPlatformSilent = false;
    pools.advance(step);
    EXPECT_FALSE(planFor(pools).moves.empty());
    std::ranges::for_each(pools.vms, [&](auto& vm) { vm.unavailableSince = pools.now; });
    EXPECT_EQ(planFor(pools).hold, HoldReason::ObservationLost);
}

// Guards against weights of the fleet document that have no effect.
TEST(CapacityPlan, AHigherWeightOnMovesTakesVmsBackLater)
{
    const auto membersAfter = [](double weight) {
        FakePools pools = settledPools();
        addSpares(pools, 4);
        pools.fleet.weights.moves = weight;
        pools.services[0].busySlots = 59.0;
        runFor(pools, std::chrono::minutes(30));
        pools.services[0].busySlots = 40.0;
        runFor(pools, std::chrono::hours(3));
        return members(pools, "pool0");
    };
    EXPECT_EQ(membersAfter(0.5), 8U);
    EXPECT_GE(membersAfter(1.0), 10U);
}

} // namespace
} // namespace crocuscove::capacity
