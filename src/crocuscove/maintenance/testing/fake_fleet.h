#pragma once

#include "crocuscove/maintenance/maintenance_plan.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace crocuscove::maintenance::testing {

using namespace std::chrono_literals;

struct FakeVm {
    state::VmRecord record;
    VmObservation observed;
    /// Added to `drainTime` and `rebootTime` of the fleet.
    base::Milliseconds extraDrain { 0 };
    base::Milliseconds extraReboot { 0 };
    /// Time at which the requests that were in flight at the start of the drain have finished.
    base::WallTime drainedAt;
    /// Time at which the current reboot completes.
    base::WallTime bootedAt;
    bool isUp = true;
    /// The announcements of the VM do not arrive.
    bool isSilent = false;
    /// The VM does not complete its next reboot.
    bool isStuck = false;
    /// A command for the VM has been proposed but not applied.
    bool hasPendingCommand = false;
};

/// Simulates records, platform and announcements of a fleet on a virtual clock. VM phases follow the rules of
/// state::State.
class FakeFleet {
public:
    base::WallTime now { base::Milliseconds(std::chrono::hours(24 * 365 * 50)) };
    std::vector<FakeVm> vms;
    std::vector<ServiceBudget> services;
    std::chrono::hours period { 504 };
    base::Milliseconds drainTime { 60'000 };
    base::Milliseconds rebootTime { 120'000 };
    base::WallTime observingSince = now;
    base::WallTime platformSeenAt = now;
    bool isPlatformSilent = false;
    std::uint64_t index = 0;
    std::uint64_t refused = 0;

    std::size_t addVm(const std::string& pool, const std::string& dataCentre, const std::string& rack)
    {
        FakeVm vm;
        vm.record.vm = base::VmId("vm" + std::to_string(vms.size()));
        vm.record.dataCentre = base::DataCentreId(dataCentre);
        vm.record.rack = base::RackId(rack);
        vm.record.pool = base::PoolId(pool);
        vm.record.phaseSince = now - period;
        vm.record.lastMaintained = now - period;
        vm.observed = { .observedAt = now,
            .isAnnounced = true,
            .isHealthy = true,
            .requestsInFlight = 1,
            .platform = PlatformState::Running,
            .boots = 1 };
        vms.push_back(vm);
        return vms.size() - 1;
    }

    void addService(const std::string& pool, std::uint32_t wanted, double minAvailablePercent)
    {
        services.push_back({ base::ServiceId(pool), base::PoolId(pool), wanted, minAvailablePercent });
    }

    [[nodiscard]] MaintenanceView view() const
    {
        MaintenanceView view {
            .services = services, .period = period, .platformSeenAt = platformSeenAt, .observingSince = observingSince
        };
        std::ranges::transform(vms, std::back_inserter(view.vms), [](const FakeVm& vm) {
            return MaintenanceVm { &vm.record, vm.observed, vm.hasPendingCommand };
        });
        return view;
    }

    FakeVm& find(const base::VmId& vm)
    {
        // VM ids are "vm" followed by the index.
        return vms.at(std::stoul(vm.text().substr(2)));
    }

    void apply(const state::SetVmPhase& command)
    {
        FakeVm& vm = find(command.vm);
        state::VmRecord& record = vm.record;
        ++index;
        if (record.phase != command.expected || record.operation != command.operation) {
            ++refused;
            return;
        }
        if (command.phase == state::VmPhase::Draining) {
            beginDrain(vm, command.boots);
        } else if (command.phase == state::VmPhase::Rebooting) {
            vm.bootedAt = now + rebootTime + vm.extraReboot;
            vm.observed.platform = PlatformState::Rebooting;
            vm.observed.isAnnounced = false;
        } else if (command.phase == state::VmPhase::Returning && command.reason == state::VmReason::Move) {
            record.pool = record.moveTarget.value_or(record.pool);
            record.moveTarget.reset();
        } else if (command.phase == state::VmPhase::Serving) {
            record.lastMaintained = command.reason == state::VmReason::Maintenance ? now : record.lastMaintained;
            record.moveTarget.reset();
            vm.observed.requestsInFlight = 1;
        }
        setPhase(record, command.phase, command.reason);
    }

    void apply(const state::MoveVm& command)
    {
        FakeVm& vm = find(command.vm);
        ++index;
        if (vm.record.phase != state::VmPhase::Serving || vm.record.pool != command.from) {
            ++refused;
            return;
        }
        vm.record.moveTarget = command.to;
        beginDrain(vm, command.boots);
        setPhase(vm.record, state::VmPhase::Draining, state::VmReason::Move);
    }

    void apply(const MaintenancePlan& plan)
    {
        std::ranges::for_each(plan.actions, [&](const MaintenanceAction& action) { apply(action.command); });
    }

    /// Takes the VM down. `isKnown` tells whether the platform lists it as off.
    void lose(std::size_t vm, bool isKnown = true)
    {
        vms[vm].isUp = false;
        if (isKnown) {
            vms[vm].observed.platform = PlatformState::Off;
        }
    }

    void repair(std::size_t vm)
    {
        vms[vm].isUp = true;
        vms[vm].isStuck = false;
        vms[vm].observed.platform = PlatformState::Running;
        ++vms[vm].observed.boots;
    }

    /// Simulates a new leader, which has the records but no observations.
    void changeLeader()
    {
        observingSince = now;
        for (FakeVm& vm : vms) {
            vm.observed.observedAt.reset();
            vm.observed.isAnnounced = false;
        }
    }

    void advance(base::Milliseconds step)
    {
        now += step;
        platformSeenAt = isPlatformSilent ? platformSeenAt : now;
        std::ranges::for_each(vms, [&](FakeVm& vm) { advanceVm(vm); });
    }

    [[nodiscard]] std::uint32_t countPhase(state::VmPhase phase) const
    {
        return static_cast<std::uint32_t>(
            std::ranges::count(vms, phase, [](const FakeVm& vm) { return vm.record.phase; }));
    }

    [[nodiscard]] std::uint32_t serving(const base::PoolId& pool) const
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(vms, [&](const FakeVm& vm) {
            return vm.record.pool == pool && vm.record.phase == state::VmPhase::Serving && vm.isUp;
        }));
    }

private:
    void beginDrain(FakeVm& vm, std::uint64_t boots)
    {
        vm.record.operation = index;
        vm.record.bootsAtDrain = boots;
        vm.drainedAt = now + drainTime + vm.extraDrain;
    }

    void setPhase(state::VmRecord& record, state::VmPhase phase, state::VmReason reason) const
    {
        record.phase = phase;
        record.reason = reason;
        record.phaseSince = now;
    }

    void advanceVm(FakeVm& vm)
    {
        if (vm.record.phase == state::VmPhase::Draining && now >= vm.drainedAt) {
            vm.observed.requestsInFlight = 0;
        }
        const bool isBooting = vm.observed.platform == PlatformState::Rebooting;
        if (isBooting && now >= vm.bootedAt && vm.isUp && !vm.isStuck) {
            vm.observed.platform = PlatformState::Running;
            ++vm.observed.boots;
        }
        if (vm.isUp && !vm.isSilent && vm.observed.platform == PlatformState::Running) {
            vm.observed.observedAt = now;
            vm.observed.isAnnounced = true;
        }
    }
};

} // namespace crocuscove::maintenance::testing
