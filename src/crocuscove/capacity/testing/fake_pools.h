#pragma once

#include "crocuscove/capacity/capacity_plan.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace crocuscove::capacity::testing {

struct FakeVm {
    state::VmRecord record;
    std::optional<base::WallTime> unavailableSince;
    /// Time at which the current move or stop completes.
    base::WallTime doneAt;
};

struct FakeService {
    document::ServiceDocument document;
    /// Load in busy slots and queued requests, reported at each step.
    double busySlots = 0.0;
    double queued = 0.0;
    bool isMaintenanceDue = false;
    std::vector<LoadSample> samples;
};

/// Pools of VMs on a virtual clock. A move takes `moveTime`.
class FakePools {
public:
    base::WallTime now { base::Milliseconds(std::chrono::hours(24 * 365 * 50)) };
    std::deque<FakeService> services;
    std::deque<FakeVm> vms;
    document::FleetDocument fleet;
    base::Milliseconds moveTime { 240'000 };
    std::chrono::minutes history { 480 };
    /// Delay between a sample and its arrival.
    base::Milliseconds reportLag { 10'000 };
    bool isPlatformSilent = false;
    base::WallTime platformSeenAt = now;
    std::uint64_t refused = 0;
    std::uint64_t moves = 0;

    FakePools() { fleet.sparePool = base::PoolId("spare"); }

    FakeService& addService(const std::string& name, document::ExecutorRange executors, double minAvailablePercent)
    {
        FakeService& service = services.emplace_back();
        service.document.service = base::ServiceId(name);
        service.document.pool.name = base::PoolId(name);
        service.document.pool.executors = executors;
        service.document.minAvailablePercent = minAvailablePercent;
        return service;
    }

    void addVm(const std::string& pool, const std::string& dataCentre, const std::string& rack)
    {
        state::VmRecord record;
        record.vm = base::VmId("vm" + std::to_string(vms.size()));
        record.dataCentre = base::DataCentreId(dataCentre);
        record.rack = base::RackId(rack);
        record.pool = base::PoolId(pool);
        vms.push_back({ .record = record, .unavailableSince = {}, .doneAt = {} });
    }

    [[nodiscard]] CapacityView view() const
    {
        CapacityView view { .fleet = &fleet, .platformSeenAt = platformSeenAt };
        for (const FakeService& service : services) {
            ServiceView entry { .document = &service.document, .isMaintenanceDue = service.isMaintenanceDue };
            std::ranges::copy_if(service.samples, std::back_inserter(entry.samples),
                [&](const LoadSample& sample) { return sample.at + reportLag <= now; });
            view.services.push_back(entry);
        }
        std::ranges::transform(vms, std::back_inserter(view.vms), [](const FakeVm& vm) {
            return CapacityVm {
                .record = &vm.record, .unavailableSince = vm.unavailableSince, .isRunning = true, .boots = 1
            };
        });
        return view;
    }

    FakeVm& find(const base::VmId& vm) { return vms.at(std::stoul(vm.text().substr(2))); }

    void apply(const state::MoveVm& command)
    {
        FakeVm& vm = find(command.vm);
        if (vm.record.phase != state::VmPhase::Serving || vm.record.pool != command.from
            || command.from == command.to) {
            ++refused;
            return;
        }
        ++moves;
        vm.record.moveTarget = command.to;
        stop(vm, state::VmReason::Move, moveTime);
    }

    void apply(const CapacityPlan& plan)
    {
        std::ranges::for_each(plan.moves, [&](const VmMove& move) { apply(move.command); });
    }

    /// Stops a serving VM for maintenance.
    void maintain(FakeVm& vm)
    {
        if (vm.record.phase == state::VmPhase::Serving) {
            stop(vm, state::VmReason::Maintenance, moveTime);
        }
    }

    void lose(FakeVm& vm)
    {
        vm.record.phase = state::VmPhase::Lost;
        vm.record.reason = state::VmReason::Failure;
        vm.record.moveTarget.reset();
    }

    void repair(FakeVm& vm)
    {
        vm.unavailableSince.reset();
        if (vm.record.phase == state::VmPhase::Lost) {
            vm.record.phase = state::VmPhase::Serving;
            vm.record.reason = state::VmReason::Returned;
        }
    }

    void advance(base::Milliseconds step)
    {
        now += step;
        platformSeenAt = isPlatformSilent ? platformSeenAt : now;
        for (FakeService& service : services) {
            service.samples.push_back({ .at = now, .busySlots = service.busySlots, .queued = service.queued });
            std::erase_if(service.samples, [&](const LoadSample& sample) { return sample.at + history < now; });
        }
        std::ranges::for_each(vms, [&](FakeVm& vm) { complete(vm); });
    }

    /// Fills the whole history with the present load.
    void fillHistory()
    {
        for (FakeService& service : services) {
            service.samples.clear();
            for (base::WallTime at = now - history; at <= now; at += std::chrono::seconds(15)) {
                service.samples.push_back({ .at = at, .busySlots = service.busySlots, .queued = service.queued });
            }
        }
    }

    [[nodiscard]] std::uint32_t members(const base::PoolId& pool) const
    {
        return count([&](const FakeVm& vm) {
            return vm.record.phase != state::VmPhase::Lost && vm.record.moveTarget.value_or(vm.record.pool) == pool;
        });
    }

    [[nodiscard]] std::uint32_t available(const base::PoolId& pool) const
    {
        return count([&](const FakeVm& vm) {
            return vm.record.phase == state::VmPhase::Serving && vm.record.pool == pool && !vm.unavailableSince;
        });
    }

    [[nodiscard]] std::uint32_t movingVms() const
    {
        return count([](const FakeVm& vm) { return vm.record.moveTarget.has_value(); });
    }

private:
    template <typename Predicate> [[nodiscard]] std::uint32_t count(Predicate predicate) const
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(vms, predicate));
    }

    void stop(FakeVm& vm, state::VmReason reason, base::Milliseconds time) const
    {
        vm.record.phase = state::VmPhase::Draining;
        vm.record.reason = reason;
        vm.record.phaseSince = now;
        vm.doneAt = now + time;
    }

    void complete(FakeVm& vm) const
    {
        state::VmRecord& record = vm.record;
        if (record.phase == state::VmPhase::Draining && vm.doneAt <= now) {
            record.pool = record.moveTarget.value_or(record.pool);
            record.moveTarget.reset();
            record.phase = state::VmPhase::Serving;
            record.phaseSince = now;
        }
    }
};

/// Five services of eight to twelve executors and a spare pool, 50 VMs, four to a rack, over three data centres.
inline FakePools fiveServices(double minAvailablePercent = 80.0)
{
    FakePools pools;
    constexpr std::size_t services = 5;
    for (std::size_t service = 0; service < services; ++service) {
        pools.addService(
            "pool" + std::to_string(service), { .minimum = 8, .maximum = 12, .spare = 1 }, minAvailablePercent);
    }
    for (std::size_t vm = 0; vm < 50; ++vm) {
        const std::size_t rack = vm / 4;
        pools.addVm(vm < 40 ? "pool" + std::to_string(vm % services) : "spare", "dc" + std::to_string(rack % 3),
            "rack" + std::to_string(rack));
    }
    return pools;
}

} // namespace crocuscove::capacity::testing
