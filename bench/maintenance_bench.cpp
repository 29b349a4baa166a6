// Maintenance waves on a virtual clock against fixed waves, and decision times.
// Usage: bench_maintenance [seed]

#include "report.h"

#include "crocuscove/base/random.h"
#include "crocuscove/maintenance/budget.h"
#include "crocuscove/maintenance/testing/fake_fleet.h"

#include <algorithm>
#include <functional>
#include <map>

namespace crocuscove::bench {
namespace {

using maintenance::MaintenancePlan;
using maintenance::testing::FakeFleet;
using maintenance::testing::FakeVm;
using state::VmPhase;

using Policy = std::function<MaintenancePlan(const FakeFleet&)>;

constexpr base::Milliseconds roundTime { 1'000 };
constexpr std::size_t services = 5;
constexpr std::size_t vmsPerRack = 4;
constexpr int waves = 20;

/// 50 VMs of 5 services, four to a rack, racks over three data centres. One VM in ten runs work that takes minutes.
FakeFleet waveFleet(base::Random& random, double minAvailablePercent)
{
    FakeFleet fleet;
    fleet.drainTime = base::Milliseconds(10'000);
    fleet.rebootTime = base::Milliseconds(120'000);
    std::vector<std::size_t> pools(50);
    std::ranges::generate(pools, [vm = std::size_t { 0 }]() mutable { return vm++ % services; });
    std::ranges::shuffle(pools, random);
    for (std::size_t vm = 0; vm < pools.size(); ++vm) {
        const std::size_t rack = vm / vmsPerRack;
        fleet.addVm("pool" + std::to_string(pools[vm]), "dc" + std::to_string(rack % 3), "rack" + std::to_string(rack));
        FakeVm& added = fleet.vms.back();
        const double longest = base::randomUnit(random) < 0.1 ? 600'000 : 30'000;
        added.extraDrain = base::Milliseconds(static_cast<int>(base::randomUnit(random) * longest));
        added.extraReboot = base::Milliseconds(static_cast<int>(base::randomUnit(random) * 60'000));
    }
    for (std::size_t pool = 0; pool < services; ++pool) {
        fleet.addService("pool" + std::to_string(pool), 10, minAvailablePercent);
    }
    return fleet;
}

/// The shortest wave that the budgets allow: in each pool the stops follow each other without a gap.
double boundSeconds(const FakeFleet& fleet)
{
    double longest = 0.0;
    for (const maintenance::ServiceBudget& service : fleet.services) {
        const double allowed
            = service.wanted - maintenance::requiredAvailable(service.wanted, service.minAvailablePercent);
        base::Milliseconds total { 0 };
        for (const FakeVm& vm : fleet.vms) {
            if (vm.record.pool == service.pool) {
                total += fleet.drainTime + vm.extraDrain + fleet.rebootTime + vm.extraReboot;
            }
        }
        longest = std::max(longest, std::chrono::duration<double>(total).count() / allowed);
    }
    return longest;
}

struct WaveResult {
    double seconds = 0.0;
    double secondsBelowBudget = 0.0;
    std::size_t cutOff = 0;
    bool isComplete = false;
};

bool isBelowBudget(const FakeFleet& fleet)
{
    return std::ranges::any_of(fleet.services, [&](const maintenance::ServiceBudget& service) {
        return fleet.serving(service.pool)
            < maintenance::requiredAvailable(service.wanted, service.minAvailablePercent);
    });
}

WaveResult runWave(FakeFleet fleet, const Policy& policy)
{
    WaveResult result;
    const base::WallTime start = fleet.now;
    const auto isDone
        = [&](const FakeVm& vm) { return vm.record.lastMaintained >= start && vm.record.phase == VmPhase::Serving; };
    while (!result.isComplete && fleet.now < start + std::chrono::hours(24)) {
        const MaintenancePlan plan = policy(fleet);
        for (const auto& action : plan.actions) {
            const bool isReboot = action.kind == maintenance::MaintenanceActionKind::BeginReboot;
            result.cutOff += isReboot && fleet.find(action.command.vm).observed.requestsInFlight > 0 ? 1 : 0;
        }
        fleet.apply(plan);
        result.secondsBelowBudget += isBelowBudget(fleet) ? std::chrono::duration<double>(roundTime).count() : 0.0;
        fleet.advance(roundTime);
        result.isComplete = std::ranges::all_of(fleet.vms, isDone);
    }
    result.seconds = std::chrono::duration<double>(fleet.now - start).count();
    return result;
}

MaintenancePlan plannedPolicy(const FakeFleet& fleet)
{
    return maintenance::planMaintenance(fleet.view(), {}, fleet.now);
}

/// Carries stops through as the planner does, and starts them rack by rack: the next rack when the last one is done.
/// `keepsBudgets` drains of a rack only what the budgets allow at the moment.
MaintenancePlan fixedWavePolicy(const FakeFleet& fleet, bool keepsBudgets, base::WallTime start)
{
    MaintenancePlan plan = plannedPolicy(fleet);
    // Starting and abandoning drains by budget is what the planner adds to a plain wave.
    std::erase_if(plan.actions, [](const auto& action) {
        return action.kind == maintenance::MaintenanceActionKind::BeginDrain
            || action.reason == maintenance::MaintenanceReason::BudgetLost;
    });
    const auto command = [](const FakeVm& vm, VmPhase phase) {
        maintenance::MaintenanceAction action;
        action.command = { vm.record.vm, vm.record.phase, phase, state::VmReason::Maintenance, vm.record.operation,
            vm.observed.boots };
        return action;
    };
    for (const FakeVm& vm : fleet.vms) {
        if (!keepsBudgets && vm.record.phase == VmPhase::Draining && vm.observed.requestsInFlight == 0
            && std::ranges::none_of(
                plan.actions, [&](const auto& action) { return action.command.vm == vm.record.vm; })) {
            plan.actions.push_back(command(vm, VmPhase::Rebooting));
        }
    }
    const auto isUndone = [&](const FakeVm& vm) { return vm.record.lastMaintained < start; };
    const auto isStopped = [](const FakeVm& vm) { return vm.record.phase != VmPhase::Serving; };
    const auto open = std::ranges::find_if(fleet.vms, isStopped);
    const auto next = std::ranges::find_if(fleet.vms, isUndone);
    if (next == fleet.vms.end()
        || (open != fleet.vms.end() && (!keepsBudgets || next->record.rack != open->record.rack))) {
        return plan;
    }
    std::map<base::PoolId, std::uint32_t> begun;
    for (const FakeVm& vm : fleet.vms) {
        if (vm.record.rack != next->record.rack || !isUndone(vm) || isStopped(vm)) {
            continue;
        }
        const auto service = std::ranges::find(fleet.services, vm.record.pool, &maintenance::ServiceBudget::pool);
        const auto required = maintenance::requiredAvailable(service->wanted, service->minAvailablePercent);
        if (keepsBudgets && fleet.serving(vm.record.pool) < required + 1 + begun[vm.record.pool]) {
            continue;
        }
        ++begun[vm.record.pool];
        plan.actions.push_back(command(vm, VmPhase::Draining));
    }
    return plan;
}

void compareWaves(std::uint64_t seed)
{
    base::Random random(seed);
    std::vector<double> planned;
    std::vector<double> careful;
    std::vector<double> plain;
    WaveResult plannedSum;
    WaveResult plainSum;
    std::size_t complete = 0;
    for (int wave = 0; wave < waves; ++wave) {
        const FakeFleet fleet = waveFleet(random, 90.0);
        const double bound = boundSeconds(fleet);
        const WaveResult ours = runWave(fleet, plannedPolicy);
        const base::WallTime start = fleet.now;
        const WaveResult byRack = runWave(fleet, [&](const auto& now) { return fixedWavePolicy(now, true, start); });
        const WaveResult whole = runWave(fleet, [&](const auto& now) { return fixedWavePolicy(now, false, start); });
        planned.push_back(ours.seconds / bound);
        careful.push_back(byRack.seconds / bound);
        plain.push_back(whole.seconds / bound);
        plannedSum.secondsBelowBudget += ours.secondsBelowBudget;
        plannedSum.cutOff += ours.cutOff;
        complete += ours.isComplete ? 1 : 0;
        plainSum.secondsBelowBudget += whole.secondsBelowBudget;
    }
    fmt::print("waves over 50 VMs, four to a rack, 5 services, budget 90%, {} waves\n", waves);
    report("  planner: worst wave time / bound of the budget", percentile(planned, 1.0), "", "<= 1.3",
        percentile(planned, 1.0) <= 1.3);
    report("  planner: median wave time / bound", percentile(planned, 0.5), "");
    report("  fixed waves, a rack at a time within budgets: worst / bound", percentile(careful, 1.0), "");
    report("  fixed waves, whole racks: worst / bound", percentile(plain, 1.0), "");
    report("  planner: seconds with a service below budget, all waves", plannedSum.secondsBelowBudget, "s", "0",
        plannedSum.secondsBelowBudget == 0.0);
    report("  fixed waves, whole racks: seconds below budget, all waves", plainSum.secondsBelowBudget, "s");
    report("  planner: reboots that cut off a request", static_cast<double>(plannedSum.cutOff), "", "0",
        plannedSum.cutOff == 0);
    report("  planner: waves with every VM done", static_cast<double>(complete), "", fmt::format("{}", waves),
        complete == waves);
}

/// A fleet of the design size: 24 pools, racks of four, nine data centres, maintenance spread over the period.
FakeFleet largeFleet(std::size_t vms, base::Random& random)
{
    constexpr std::size_t pools = 24;
    FakeFleet fleet;
    std::vector<std::uint32_t> sizes(pools, 0);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const std::size_t pool = random() % pools;
        const std::size_t rack = vm / vmsPerRack;
        ++sizes[pool];
        fleet.addVm("pool" + std::to_string(pool), "dc" + std::to_string(rack % 9), "rack" + std::to_string(rack));
        const auto age = std::chrono::duration_cast<base::Milliseconds>(fleet.period * base::randomUnit(random) * 0.75);
        fleet.vms.back().record.lastMaintained = fleet.now - age;
    }
    for (std::size_t pool = 0; pool < pools; ++pool) {
        fleet.addService("pool" + std::to_string(pool), sizes[pool], 95.0);
    }
    return fleet;
}

/// Three weeks with failures at the rate of the design size: single VMs, a rack a week, a data centre once.
void runPeriod(std::uint64_t seed)
{
    constexpr std::size_t vms = 1'000;
    constexpr base::Milliseconds step { 120'000 };
    constexpr std::size_t roundsPerWeek = 5'040;
    constexpr double lossesPerRound = 220.0 / 25'000 * vms * 120.0 / 86'400;
    base::Random random(seed);
    FakeFleet fleet = largeFleet(vms, random);
    const base::WallTime start = fleet.now;
    const base::WallTime end = start + fleet.period;
    std::map<base::WallTime, std::vector<std::size_t>> repairs;
    std::uint32_t overdue = 0;
    std::size_t stopsBeyondBudget = 0;
    const auto lose = [&](std::size_t vm, std::chrono::hours downtime) {
        fleet.lose(vm);
        repairs[fleet.now + downtime].push_back(vm);
    };
    for (std::size_t round = 0; fleet.now < end; ++round) {
        if (base::randomUnit(random) < lossesPerRound) {
            lose(random() % vms, std::chrono::hours(2));
        }
        if (round % roundsPerWeek == 2'500) {
            const std::size_t rack = random() % (vms / vmsPerRack);
            for (std::size_t vm = rack * vmsPerRack; vm < (rack + 1) * vmsPerRack; ++vm) {
                lose(vm, std::chrono::hours(4));
            }
        }
        for (std::size_t vm = 0; round == 7'500 && vm < vms; ++vm) {
            if (vm / vmsPerRack % 9 == 4) {
                lose(vm, std::chrono::hours(6));
            }
        }
        while (!repairs.empty() && repairs.begin()->first <= fleet.now) {
            std::ranges::for_each(repairs.begin()->second, [&](std::size_t vm) { fleet.repair(vm); });
            repairs.erase(repairs.begin());
        }
        const MaintenancePlan plan = plannedPolicy(fleet);
        overdue = std::max(overdue, plan.progress.overdue);
        fleet.apply(plan);
        for (const auto& action : plan.actions) {
            const bool isDrain = action.kind == maintenance::MaintenanceActionKind::BeginDrain;
            const auto service = std::ranges::find(fleet.services, action.pool, &maintenance::ServiceBudget::pool);
            stopsBeyondBudget += isDrain
                    && fleet.serving(action.pool)
                        < maintenance::requiredAvailable(service->wanted, service->minAvailablePercent)
                ? 1
                : 0;
        }
        fleet.advance(step);
    }
    const auto missed = std::ranges::count_if(
        fleet.vms, [&](const FakeVm& vm) { return vm.record.lastMaintained + fleet.period < end; });
    fmt::print("one period of 504 h, {} VMs, failures at the rate of the design size\n", vms);
    report("  VMs not maintained within the period", static_cast<double>(missed), "", "0", missed == 0);
    report("  most VMs overdue at any moment", overdue, "");
    report("  stops begun while their service was below budget", static_cast<double>(stopsBeyondBudget), "", "0",
        stopsBeyondBudget == 0);
    report("  commands refused", static_cast<double>(fleet.refused), "", "0", fleet.refused == 0);
}

void measureDecisions(std::uint64_t seed)
{
    constexpr int runs = 100;
    fmt::print("decision time, 24 pools, {} runs each\n", runs);
    for (const std::size_t vms : { 2'500, 6'250, 12'500, 25'000 }) {
        base::Random random(seed);
        FakeFleet fleet = largeFleet(vms, random);
        fleet.advance(roundTime);
        const maintenance::MaintenanceView steady = fleet.view();
        const auto incremental = timeRuns(runs, [&] { (void)maintenance::planMaintenance(steady, {}, fleet.now); });
        std::ranges::for_each(fleet.vms, [&](FakeVm& vm) { vm.record.lastMaintained = fleet.now - fleet.period; });
        const maintenance::MaintenanceView everyVmDue = fleet.view();
        const auto full = timeRuns(runs, [&] { (void)maintenance::planMaintenance(everyVmDue, {}, fleet.now); });
        const double round = percentile(incremental, 0.5);
        const double plan = percentile(full, 0.5);
        report(fmt::format("  {:>6} VMs, incremental round, median", vms), round, "ms", "< 50", round < 50);
        report(fmt::format("  {:>6} VMs, incremental round, p99", vms), percentile(incremental, 0.99), "ms");
        report(
            fmt::format("  {:>6} VMs, full plan with every VM due, median", vms), plan, "ms", "< 2000", plan < 2'000);
        report(fmt::format("  {:>6} VMs, full plan with every VM due, p99", vms), percentile(full, 0.99), "ms");
    }
}

} // namespace
} // namespace crocuscove::bench

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    fmt::print("bench_maintenance, seed {}\n", seed);
    crocuscove::bench::compareWaves(seed);
    crocuscove::bench::runPeriod(seed);
    crocuscove::bench::measureDecisions(seed);
}
