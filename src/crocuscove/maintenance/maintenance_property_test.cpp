#include "crocuscove/maintenance/maintenance_plan.h"

#include "crocuscove/base/testing/fixed_seed.h"
#include "crocuscove/maintenance/testing/history.h"

#include <gtest/gtest.h>

#include <functional>

namespace crocuscove::maintenance {
namespace {

using base::testing::counterexample;
using base::testing::Shrinking;
using state::VmPhase;
using testing::Event;
using testing::EventKind;
using testing::FakeFleet;
using testing::FakeVm;

using Planner = std::function<MaintenancePlan(const MaintenanceView&, const MaintenanceOptions&, base::WallTime)>;

constexpr base::Milliseconds roundTime { 5'000 };
constexpr std::chrono::minutes repairProbation { 10 };

// The oracles share no code with the planner: they use only records and observations.

bool isAvailable(const FakeFleet& fleet, const FakeVm& vm)
{
    const VmObservation& observed = vm.observed;
    return vm.record.phase == VmPhase::Serving && !vm.hasPendingCommand && observed.observedAt
        && fleet.now - *observed.observedAt <= std::chrono::seconds(5) && observed.isAnnounced && observed.isHealthy
        && !observed.isSuspect && observed.platform != PlatformState::Off;
}

bool isOnProbation(const FakeFleet& fleet, const FakeVm& vm)
{
    return vm.record.reason == state::VmReason::Returned && fleet.now - vm.record.phaseSince < repairProbation;
}

/// Returns how many available VMs a pool has above its budget, negative below it. Empty for a pool without a service.
std::optional<int> slack(const FakeFleet& fleet, const base::PoolId& pool, bool countsRepaired)
{
    const auto service = std::ranges::find(fleet.services, pool, &ServiceBudget::pool);
    if (service == fleet.services.end()) {
        return std::nullopt;
    }
    int required = 0;
    while (required * 100.0 < service->wanted * service->minAvailablePercent) {
        ++required;
    }
    const auto available = std::ranges::count_if(fleet.vms, [&](const FakeVm& vm) {
        return vm.record.pool == pool && isAvailable(fleet, vm) && (countsRepaired || !isOnProbation(fleet, vm));
    });
    return static_cast<int>(available) - required;
}

/// Applies a plan action by action and checks the budget after every planned stop.
void applyChecked(FakeFleet& fleet, const MaintenancePlan& plan)
{
    for (const MaintenanceAction& action : plan.actions) {
        const FakeVm& vm = fleet.find(action.command.vm);
        if (action.kind == MaintenanceActionKind::BeginReboot) {
            RC_ASSERT(vm.observed.requestsInFlight == 0U);
            RC_ASSERT(slack(fleet, action.pool, true).value_or(0) >= 0);
        }
        RC_ASSERT(!vm.hasPendingCommand);
        fleet.apply(action.command);
        if (action.kind == MaintenanceActionKind::BeginDrain) {
            RC_ASSERT(slack(fleet, action.pool, false).value_or(0) >= 0);
        }
    }
    RC_ASSERT(fleet.refused == 0U);
}

void runRound(FakeFleet& fleet, const Planner& planner)
{
    const MaintenancePlan plan = planner(fleet.view(), {}, fleet.now);
    applyChecked(fleet, plan);
    testing::applyPendingMoves(fleet);
    fleet.advance(roundTime);
}

// About a quarter of the events repair everything. A fleet that only loses VMs soon allows no stops to check.
constexpr int repairWeight = 6;

std::vector<Event> generateHistory()
{
    const auto kind = rc::gen::map(rc::gen::inRange(0, static_cast<int>(EventKind::Count) + repairWeight),
        [](int value) { return static_cast<EventKind>(value); });
    const auto event = rc::gen::map(rc::gen::pair(kind, rc::gen::inRange<std::size_t>(0, 1000)), [](const auto& pair) {
        return Event { pair.first < EventKind::Count ? pair.first : EventKind::RepairAll, pair.second };
    });
    return *rc::gen::container<std::vector<Event>>(event);
}

void runHistory(FakeFleet& fleet, const std::vector<Event>& history, const Planner& planner)
{
    for (const Event& event : history) {
        testing::applyEvent(fleet, event);
        for (std::size_t round = 0; round <= event.argument % 8; ++round) {
            runRound(fleet, planner);
        }
    }
}

std::string checkBudgets(const Planner& planner, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261204, 60, shrinking, [&] {
        FakeFleet fleet = testing::smallFleet();
        // With a period this short every VM is always due, so stops run during the whole history.
        fleet.period = std::chrono::hours(1);
        runHistory(fleet, generateHistory(), planner);
    });
}

/// Returns a planner that applies `change` to every VM of its view first, to simulate a planner that ignores a field.
Planner withAlteredView(const std::function<void(MaintenanceVm&, base::WallTime)>& change)
{
    return [change](MaintenanceView view, const MaintenanceOptions& options, base::WallTime now) {
        std::ranges::for_each(view.vms, [&](MaintenanceVm& vm) { change(vm, now); });
        return planMaintenance(view, options, now);
    };
}

// Guards against a planned stop that violates a budget, and a reboot with requests in flight, after any sequence of
// losses, late observations, leader changes and document edits.
TEST(MaintenanceProperty, NoPlannedStopBreaksABudget) { EXPECT_EQ(checkBudgets(planMaintenance, Shrinking::On), ""); }

// Each variant introduces one defect, which the property must detect.
TEST(MaintenanceProperty, BudgetPropertyDetectsIgnoredSuspects)
{
    EXPECT_NE(checkBudgets(withAlteredView([](auto& vm, auto) { vm.observed.isSuspect = false; })), "");
}

TEST(MaintenanceProperty, BudgetPropertyDetectsIgnoredEjections)
{
    EXPECT_NE(checkBudgets(withAlteredView([](auto& vm, auto) { vm.observed.isHealthy = true; })), "");
}

TEST(MaintenanceProperty, BudgetPropertyDetectsIgnoredAgeOfObservations)
{
    EXPECT_NE(checkBudgets(withAlteredView([](auto& vm, auto now) { vm.observed.observedAt = now; })), "");
}

TEST(MaintenanceProperty, BudgetPropertyDetectsIgnoredPendingMoves)
{
    EXPECT_NE(checkBudgets(withAlteredView([](auto& vm, auto) { vm.hasPendingCommand = false; })), "");
}

TEST(MaintenanceProperty, BudgetPropertyDetectsRequestsInFlight)
{
    EXPECT_NE(checkBudgets(withAlteredView([](auto& vm, auto) { vm.observed.requestsInFlight = 0; })), "");
}

TEST(MaintenanceProperty, BudgetPropertyDetectsRelianceOnRepairedVms)
{
    EXPECT_NE(checkBudgets([](const auto& view, MaintenanceOptions options, auto now) {
        options.repairProbation = std::chrono::minutes(0);
        return planMaintenance(view, options, now);
    }),
        "");
}

// All stops of one plan share the budget. This variant decides on each VM separately.
TEST(MaintenanceProperty, BudgetPropertyDetectsStopsThatAreNotCountedTogether)
{
    EXPECT_NE(checkBudgets([](const MaintenanceView& view, const auto& options, auto now) {
        MaintenancePlan merged;
        for (const MaintenanceVm& vm : view.vms) {
            MaintenanceView alone = view;
            std::vector<state::VmRecord> records;
            records.reserve(view.vms.size());
            for (MaintenanceVm& other : alone.vms) {
                records.push_back(*other.record);
                if (other.record->vm != vm.record->vm) {
                    records.back().lastMaintained = now;
                }
                other.record = &records.back();
            }
            for (const MaintenanceAction& action : planMaintenance(alone, options, now).actions) {
                if (action.command.vm == vm.record->vm) {
                    merged.actions.push_back(action);
                }
            }
        }
        return merged;
    }),
        "");
}

std::string checkCompletion(const Planner& planner, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261205, 40, shrinking, [&] {
        FakeFleet fleet = testing::smallFleet();
        const base::WallTime start = fleet.now;
        runHistory(fleet, generateHistory(), planner);
        testing::repairAll(fleet);
        testing::allowOneStop(fleet);
        const auto isDone = [&] {
            return std::ranges::all_of(fleet.vms, [&](const FakeVm& vm) {
                return vm.record.lastMaintained >= start && vm.record.phase == VmPhase::Serving;
            });
        };
        // The longest pause is an hour. One stop takes a minute and every pool allows at least one at a time.
        const base::WallTime deadline = fleet.now + std::chrono::hours(3);
        while (!isDone() && fleet.now < deadline) {
            runRound(fleet, planner);
        }
        RC_ASSERT(isDone());
    });
}

// Guards against a pause that never ends, and against a VM that stays stuck in a phase or is never maintained.
TEST(MaintenanceProperty, EveryVmIsMaintainedOnceFaultsEnd)
{
    EXPECT_EQ(checkCompletion(planMaintenance, Shrinking::On), "");
}

TEST(MaintenanceProperty, CompletionPropertyDetectsVmsThatAreNotRecovered)
{
    EXPECT_NE(checkCompletion([](const auto& view, const auto& options, auto now) {
        MaintenancePlan plan = planMaintenance(view, options, now);
        std::erase_if(plan.actions, [](const auto& action) { return action.kind == MaintenanceActionKind::Recover; });
        return plan;
    }),
        "");
}

TEST(MaintenanceProperty, CompletionPropertyDetectsPausesThatDoNotEnd)
{
    EXPECT_NE(checkCompletion([isPaused = false](const auto& view, const auto& options, auto now) mutable {
        MaintenancePlan plan = planMaintenance(view, options, now);
        isPaused = isPaused || !plan.pauses.empty();
        std::erase_if(plan.actions,
            [&](const auto& action) { return isPaused && action.kind == MaintenanceActionKind::BeginDrain; });
        return plan;
    }),
        "");
}

bool lacksObservations(const MaintenancePlan& plan)
{
    return std::ranges::any_of(plan.pauses, [](const MaintenancePause& pause) {
        return pause.reason == PauseReason::ObservationLost || pause.reason == PauseReason::PlatformSilent;
    });
}

std::string checkAbandonedDrains(const Planner& planner, Shrinking shrinking = Shrinking::Off)
{
    return counterexample(20261206, 60, shrinking, [&] {
        FakeFleet fleet = testing::smallFleet();
        fleet.period = std::chrono::hours(1);
        for (const Event& event : generateHistory()) {
            testing::applyEvent(fleet, event);
            const MaintenancePlan plan = planner(fleet.view(), {}, fleet.now);
            fleet.apply(plan);
            for (const FakeVm& vm : fleet.vms) {
                const bool mayReturn = vm.record.phase == VmPhase::Draining && vm.observed.observedAt
                    && fleet.now - *vm.observed.observedAt <= std::chrono::seconds(5) && vm.observed.isHealthy
                    && !vm.observed.isSuspect;
                RC_ASSERT(lacksObservations(plan) || !mayReturn || slack(fleet, vm.record.pool, true).value_or(0) >= 0);
            }
            testing::applyPendingMoves(fleet);
            fleet.advance(roundTime);
        }
    });
}

// Guards against a drain that continues while the service is below its budget.
TEST(MaintenanceProperty, DrainsAreAbandonedWhileAServiceIsBelowItsBudget)
{
    EXPECT_EQ(checkAbandonedDrains(planMaintenance, Shrinking::On), "");
}

TEST(MaintenanceProperty, AbandonmentPropertyDetectsDrainsThatGoOn)
{
    EXPECT_NE(checkAbandonedDrains([](const auto& view, const auto& options, auto now) {
        MaintenancePlan plan = planMaintenance(view, options, now);
        std::erase_if(plan.actions, [](const auto& action) { return action.reason == MaintenanceReason::BudgetLost; });
        return plan;
    }),
        "");
}

} // namespace
} // namespace crocuscove::maintenance
