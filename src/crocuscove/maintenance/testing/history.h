#pragma once

#include "crocuscove/maintenance/testing/fake_fleet.h"

#include <ostream>
#include <utility>

namespace crocuscove::maintenance::testing {

enum class EventKind {
    Wait,
    LoseVm,
    LoseVmUndetected,
    LoseRack,
    LoseDataCentre,
    RepairAll,
    SilenceVm,
    EndVmSilence,
    SilencePlatform,
    EndPlatformSilence,
    ChangeLeader,
    EditBudget,
    EditWanted,
    SuspectVm,
    ClearSuspicions,
    MarkVmUnhealthy,
    ProposeMove,
    MakeVmStuck,
    Count,
};

struct Event {
    EventKind kind = EventKind::Wait;
    std::size_t argument = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Event& event)
{
    return out << "{" << static_cast<int>(event.kind) << ", " << event.argument << "}";
}

/// Returns a fleet of three services with eight VMs each and a spare pool of three VMs, in three data centres with four
/// VMs per rack.
inline FakeFleet smallFleet()
{
    FakeFleet fleet;
    fleet.drainTime = base::Milliseconds(15'000);
    fleet.rebootTime = base::Milliseconds(30'000);
    const std::string pools[] = { "alpha", "beta", "gamma" };
    for (std::size_t vm = 0; vm < 27; ++vm) {
        const std::string rack = std::to_string(vm / 4);
        fleet.addVm(vm < 24 ? pools[vm % 3] : "spare", "dc" + std::to_string(vm / 4 % 3), "rack" + rack);
    }
    for (const std::string& pool : pools) {
        fleet.addService(pool, 8, 75.0);
    }
    return fleet;
}

/// Sets the budget of every service to allow one stop at a time with its current VMs.
inline void allowOneStop(FakeFleet& fleet)
{
    for (ServiceBudget& service : fleet.services) {
        const auto members = std::ranges::count(
            fleet.vms, service.pool, [](const FakeVm& vm) { return vm.record.moveTarget.value_or(vm.record.pool); });
        service.wanted = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(members - 1, 0));
        service.minAvailablePercent = 100.0;
    }
}

/// Ends every fault, so that whether the fleet recovers depends on the planner alone.
inline void repairAll(FakeFleet& fleet)
{
    fleet.isPlatformSilent = false;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        FakeVm& entry = fleet.vms[vm];
        if (!entry.isUp || entry.isStuck) {
            fleet.repair(vm);
        }
        entry.isSilent = false;
        entry.observed.isSuspect = false;
        entry.observed.isHealthy = true;
    }
}

template <typename Predicate> void loseWhere(FakeFleet& fleet, Predicate predicate)
{
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        if (predicate(fleet.vms[vm].record)) {
            fleet.lose(vm);
        }
    }
}

inline void applyEvent(FakeFleet& fleet, const Event& event)
{
    const std::size_t index = event.argument % fleet.vms.size();
    FakeVm& vm = fleet.vms[index];
    ServiceBudget& service = fleet.services[event.argument % fleet.services.size()];
    constexpr double percentages[] = { 0.0, 50.0, 75.0, 87.5, 90.0, 100.0 };
    switch (event.kind) {
    case EventKind::LoseVm:
        return fleet.lose(index);
    case EventKind::LoseVmUndetected:
        return fleet.lose(index, false);
    case EventKind::LoseRack:
        return loseWhere(fleet, [rack = vm.record.rack](const auto& record) { return record.rack == rack; });
    case EventKind::LoseDataCentre:
        return loseWhere(
            fleet, [place = vm.record.dataCentre](const auto& record) { return record.dataCentre == place; });
    case EventKind::RepairAll:
        return repairAll(fleet);
    case EventKind::SilenceVm:
        vm.isSilent = true;
        return;
    case EventKind::EndVmSilence:
        std::ranges::for_each(fleet.vms, [](FakeVm& entry) { entry.isSilent = false; });
        return;
    case EventKind::SilencePlatform:
        fleet.isPlatformSilent = true;
        return;
    case EventKind::EndPlatformSilence:
        fleet.isPlatformSilent = false;
        return;
    case EventKind::ChangeLeader:
        return fleet.changeLeader();
    case EventKind::EditBudget:
        service.minAvailablePercent = percentages[event.argument % std::size(percentages)];
        return;
    case EventKind::EditWanted:
        service.wanted = static_cast<std::uint32_t>(5 + event.argument % 5);
        return;
    case EventKind::SuspectVm:
        vm.observed.isSuspect = true;
        return;
    case EventKind::ClearSuspicions:
        std::ranges::for_each(fleet.vms, [](FakeVm& entry) { entry.observed.isSuspect = false; });
        return;
    case EventKind::MarkVmUnhealthy:
        vm.observed.isHealthy = false;
        return;
    case EventKind::ProposeMove:
        vm.hasPendingCommand = vm.record.phase == state::VmPhase::Serving;
        return;
    case EventKind::MakeVmStuck:
        vm.isStuck = true;
        return;
    case EventKind::Wait:
    case EventKind::Count:
        return;
    }
}

/// Applies the proposed moves: from a service to the spare pool, or from the spare pool to the smallest service.
inline void applyPendingMoves(FakeFleet& fleet)
{
    const base::PoolId spare("spare");
    const auto members = [&](const ServiceBudget& service) {
        return std::ranges::count(fleet.vms, service.pool, [](const FakeVm& vm) { return vm.record.pool; });
    };
    for (FakeVm& vm : fleet.vms) {
        if (std::exchange(vm.hasPendingCommand, false)) {
            const base::PoolId smallest = std::ranges::min_element(fleet.services, {}, members)->pool;
            fleet.apply(state::MoveVm {
                vm.record.vm, vm.record.pool, vm.record.pool == spare ? smallest : spare, vm.observed.boots });
        }
    }
}

} // namespace crocuscove::maintenance::testing
