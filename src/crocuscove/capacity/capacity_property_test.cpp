#include "crocuscove/capacity/capacity_plan.h"

#include "crocuscove/base/random.h"
#include "crocuscove/base/testing/fixed_seed.h"
#include "crocuscove/capacity/testing/fake_pools.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace crocuscove::capacity {
namespace {

using base::testing::counterexample;
using base::testing::Shrinking;
using state::VmPhase;
using testing::FakePools;
using testing::FakeService;
using testing::FakeVm;

using Planner = std::function<CapacityPlan(const CapacityView&, const CapacityOptions&, base::WallTime)>;

constexpr base::Milliseconds step { 30'000 };

enum class EventKind {
    Wait,
    LoseVm,
    LoseRack,
    LoseDataCentre,
    RepairAll,
    HideVm,
    MaintainVm,
    SetLoad,
    EditRange,
    EditBudget,
    AskForMaintenance,
    ChangeLeader,
    SilencePlatform,
    Count,
};

struct Event {
    EventKind kind = EventKind::Wait;
    std::size_t argument = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event)
{
    return out << "{" << static_cast<int>(event.kind) << ", " << event.argument << "}";
}

template <typename Predicate> void loseWhere(FakePools& pools, Predicate predicate)
{
    for (FakeVm& vm : pools.vms) {
        if (predicate(vm.record)) {
            pools.lose(vm);
        }
    }
}

void repairAll(FakePools& pools)
{
    pools.isPlatformSilent = false;
    std::ranges::for_each(pools.vms, [&](FakeVm& vm) { pools.repair(vm); });
}

void applyEvent(FakePools& pools, const Event& event)
{
    FakeVm& vm = pools.vms[event.argument % pools.vms.size()];
    FakeService& service = pools.services[event.argument % pools.services.size()];
    const auto size = static_cast<std::uint32_t>(event.argument % 7);
    switch (event.kind) {
    case EventKind::LoseVm:
        return pools.lose(vm);
    case EventKind::LoseRack:
        return loseWhere(pools, [rack = vm.record.rack](const auto& record) { return record.rack == rack; });
    case EventKind::LoseDataCentre:
        return loseWhere(
            pools, [place = vm.record.dataCentre](const auto& record) { return record.dataCentre == place; });
    case EventKind::RepairAll:
        return repairAll(pools);
    case EventKind::HideVm:
        vm.unavailableSince = pools.now;
        return;
    case EventKind::MaintainVm:
        return pools.maintain(vm);
    case EventKind::SetLoad:
        service.busySlots = static_cast<double>(event.argument % 90);
        return;
    case EventKind::EditRange:
        service.document.pool.executors = { .minimum = 2 + size, .maximum = 4 + 2 * size, .spare = size % 3 };
        return;
    case EventKind::EditBudget:
        service.document.minAvailablePercent = 50.0 + static_cast<double>(event.argument % 51);
        return;
    case EventKind::AskForMaintenance:
        service.isMaintenanceDue = !service.isMaintenanceDue;
        return;
    case EventKind::ChangeLeader:
        std::ranges::for_each(pools.services, [](FakeService& entry) { entry.samples.clear(); });
        return;
    case EventKind::SilencePlatform:
        pools.isPlatformSilent = true;
        return;
    case EventKind::Wait:
    case EventKind::Count:
        return;
    }
}

// A fifth of the events repairs everything, since otherwise all VMs would soon be lost and none could move.
constexpr int repairWeight = 3;

std::vector<Event> randomEvents()
{
    const auto kind = rc::gen::map(rc::gen::inRange(0, static_cast<int>(EventKind::Count) + repairWeight),
        [](int value) { return static_cast<EventKind>(value); });
    const auto event = rc::gen::map(rc::gen::pair(kind, rc::gen::inRange<std::size_t>(0, 1000)), [](const auto& pair) {
        return Event { pair.first < EventKind::Count ? pair.first : EventKind::RepairAll, pair.second };
    });
    return *rc::gen::container<std::vector<Event>>(event);
}

/// Durations short enough that pools grow and shrink within one test run.
CapacityOptions quickOptions()
{
    CapacityOptions options;
    options.hold = std::chrono::minutes(10);
    options.reclaimAfter = std::chrono::minutes(20);
    return options;
}

std::uint32_t requiredOf(const ServiceCapacity& capacity, const FakeService& service)
{
    std::uint32_t required = 0;
    while (required * 100.0 < capacity.wanted * service.document.minAvailablePercent - 1e-6) {
        ++required;
    }
    return required;
}

/// Counts the VMs of a pool without those that are lost or unavailable for so long that they are replaced.
std::ptrdiff_t presentIn(const FakePools& pools, const base::PoolId& pool)
{
    return std::ranges::count_if(pools.vms, [&](const FakeVm& vm) {
        const bool isGone = vm.record.phase == VmPhase::Serving && vm.unavailableSince
            && pools.now - *vm.unavailableSince >= std::chrono::minutes(3);
        return vm.record.phase != VmPhase::Lost && !isGone && vm.record.moveTarget.value_or(vm.record.pool) == pool;
    });
}

/// Applies a plan and checks every move against the records only.
void applyChecked(FakePools& pools, const CapacityPlan& plan)
{
    std::set<base::VmId> moved;
    for (const VmMove& move : plan.moves) {
        const FakeVm& vm = pools.find(move.command.vm);
        RC_ASSERT(moved.insert(move.command.vm).second);
        RC_ASSERT(vm.record.phase == VmPhase::Serving);
        RC_ASSERT(!vm.unavailableSince);
        pools.apply(move.command);
        RC_ASSERT(pools.refused == 0U);
        for (std::size_t index = 0; index < pools.services.size(); ++index) {
            const FakeService& service = pools.services[index];
            const base::PoolId& pool = service.document.pool.name;
            if (move.command.from == pool) {
                RC_ASSERT(pools.available(pool) >= requiredOf(plan.services[index], service));
            }
            if (move.command.to == pool) {
                RC_ASSERT(presentIn(pools, pool) <= service.document.pool.executors.maximum);
            }
        }
    }
    RC_ASSERT(plan.moves.empty() || pools.movingVms() <= 3U);
}

std::string checkMoves(const Planner& planner, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261207, 60, shrinking, [&] {
        FakePools pools = testing::fiveServices();
        pools.history = std::chrono::minutes(25);
        std::ranges::for_each(pools.services, [](FakeService& service) { service.busySlots = 40.0; });
        pools.fillHistory();
        for (const Event& event : randomEvents()) {
            applyEvent(pools, event);
            for (std::size_t round = 0; round <= event.argument % 12; ++round) {
                applyChecked(pools, planner(pools.view(), quickOptions(), pools.now));
                pools.advance(step);
            }
        }
    });
}

/// Returns the planner with every VM of its view changed.
Planner withChange(const std::function<void(CapacityVm&, state::VmRecord&)>& change)
{
    return [change](CapacityView view, const CapacityOptions& options, base::WallTime now) {
        std::vector<state::VmRecord> records;
        records.reserve(view.vms.size());
        for (CapacityVm& vm : view.vms) {
            records.push_back(*vm.record);
            change(vm, records.back());
            vm.record = &records.back();
        }
        return planCapacity(view, options, now);
    };
}

// Guards against a move that breaks a budget or exceeds a maximum, takes a VM that is stopped, moving or unobserved,
// names a VM twice or from a pool that it does not belong to, or exceeds the bound of moves at once.
TEST(CapacityProperty, EveryMoveKeepsBudgetsAndBounds) { EXPECT_EQ(checkMoves(planCapacity, Shrinking::On), ""); }

TEST(CapacityProperty, MovePropertyNoticesIgnoredObservations)
{
    EXPECT_NE(checkMoves(withChange([](CapacityVm& vm, auto&) { vm.unavailableSince.reset(); })), "");
}

TEST(CapacityProperty, MovePropertyNoticesIgnoredStops)
{
    EXPECT_NE(checkMoves(withChange([](auto&, state::VmRecord& record) {
        if (record.phase == VmPhase::Draining) {
            record.phase = VmPhase::Serving;
        }
    })),
        "");
}

TEST(CapacityProperty, MovePropertyNoticesIgnoredBudgets)
{
    EXPECT_NE(checkMoves([](CapacityView view, const auto& options, auto now) {
        std::vector<document::ServiceDocument> documents;
        documents.reserve(view.services.size());
        for (ServiceView& service : view.services) {
            documents.push_back(*service.document);
            documents.back().minAvailablePercent = 0.0;
            service.document = &documents.back();
        }
        return planCapacity(view, options, now);
    }),
        "");
}

TEST(CapacityProperty, MovePropertyNoticesTooManyMovesAtOnce)
{
    EXPECT_NE(checkMoves([](const auto& view, CapacityOptions options, auto now) {
        options.minRunningMoves = 10;
        return planCapacity(view, options, now);
    }),
        "");
}

TEST(CapacityProperty, MovePropertyNoticesARepeatedMove)
{
    EXPECT_NE(checkMoves([](const auto& view, const auto& options, auto now) {
        CapacityPlan plan = planCapacity(view, options, now);
        if (!plan.moves.empty()) {
            plan.moves.push_back(plan.moves.front());
        }
        return plan;
    }),
        "");
}

std::string checkSettling(const Planner& planner, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261208, 20, shrinking, [&] {
        FakePools pools = testing::fiveServices();
        pools.history = std::chrono::minutes(25);
        const auto run = [&](std::size_t rounds) {
            for (std::size_t round = 0; round < rounds; ++round) {
                applyChecked(pools, planner(pools.view(), quickOptions(), pools.now));
                pools.advance(step);
            }
        };
        for (const Event& event : randomEvents()) {
            applyEvent(pools, event);
            run(event.argument % 6);
        }
        repairAll(pools);
        for (FakeService& service : pools.services) {
            service.document.pool.executors = { .minimum = 6, .maximum = 12, .spare = 1 };
            service.document.minAvailablePercent = 80.0;
        }
        base::Random random(1);
        const auto runNoisy = [&](int rounds) {
            for (int round = 0; round < rounds; ++round) {
                for (FakeService& service : pools.services) {
                    service.busySlots = 46.0 * (0.85 + 0.3 * base::randomUnit(random));
                }
                run(1);
            }
        };
        runNoisy(180);
        const std::uint64_t before = pools.moves;
        runNoisy(120);
        // 46 slots need 8 executors at the highest utilisation, and 50 VMs are enough for five such services.
        for (const FakeService& service : pools.services) {
            RC_ASSERT(pools.members(service.document.pool.name) >= 8U);
        }
        RC_ASSERT(pools.moves - before <= 2U);
    });
}

// Guards against pools that stay too small after faults end, and against VMs that oscillate between pools under a noisy
// load.
TEST(CapacityProperty, PoolsSettleOnceFaultsEnd) { EXPECT_EQ(checkSettling(planCapacity, Shrinking::On), ""); }

TEST(CapacityProperty, SettlingPropertyNoticesMissingHysteresis)
{
    EXPECT_NE(checkSettling([](const auto& view, CapacityOptions options, auto now) {
        options.sustainTime = options.bucket;
        options.hold = std::chrono::minutes(1);
        options.reclaimAfter = std::chrono::minutes(1);
        options.highestUtilisation = options.targetUtilisation;
        return planCapacity(view, options, now);
    }),
        "");
}

TEST(CapacityProperty, SettlingPropertyNoticesVmsThatAreNotLent)
{
    EXPECT_NE(checkSettling([](const auto& view, const auto& options, auto now) {
        CapacityPlan plan = planCapacity(view, options, now);
        std::erase_if(plan.moves, [](const VmMove& move) { return move.reason == MoveReason::DemandRose; });
        return plan;
    }),
        "");
}

} // namespace
} // namespace crocuscove::capacity
