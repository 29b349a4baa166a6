#pragma once

#include "demand.h"

#include <algorithm>
#include <optional>

namespace crocuscove::capacity {

/// Location of a VM as indices. Racks of different data centres have different indices.
struct Location {
    std::size_t dataCentre = 0;
    std::size_t rack = 0;
};

/// Capacity needs of one service, in executors.
struct Need {
    std::uint32_t wanted = 0;
    WantedReason reason = WantedReason::Demand;
    std::uint32_t target = 0;
    /// A pool larger than `floor` may donate VMs to other pools or refill the buffer. A pool larger than `reclaimFloor`
    /// returns VMs to the spare pool.
    std::uint32_t floor = 0;
    std::uint32_t reclaimFloor = 0;
    /// VMs that must stay in service.
    std::uint32_t required = 0;
};

struct Pool {
    base::PoolId id {};
    std::vector<std::size_t> services {};
    bool isSpare = false;
    bool isPerDataCentre = false;
    /// Sum over the services of the pool.
    Need need {};
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    std::uint32_t spare = 0;
    bool isMaintenanceDue = false;
    std::uint32_t members = 0;
    std::uint32_t lost = 0;
    std::uint32_t available = 0;
    /// VMs of the view that may leave the pool.
    std::vector<std::size_t> movable {};

    [[nodiscard]] std::size_t domainOf(const Location& location) const
    {
        return isPerDataCentre ? location.dataCentre : location.rack;
    }
    /// Returns whether a VM may leave now. The availability budget must hold, and the spare pool must have a lendable
    /// VM.
    [[nodiscard]] bool mayDonate() const { return available >= need.required + 1 && (!isSpare || lendableVms() > 0); }
    /// VMs of the spare pool that may be lent.
    [[nodiscard]] std::uint32_t lendableVms() const { return available - std::min(available, need.wanted); }
};

/// The view grouped by pool, built anew for each plan.
struct Fleet {
    const CapacityView& view;
    const CapacityOptions& options;
    base::WallTime now;
    Tuning tuning {};
    std::vector<Pool> pools {};
    std::vector<Demand> demands {};
    std::vector<Need> needs {};
    /// For each VM of the view.
    std::vector<Location> locations {};
    /// Index of the pool that each VM counts towards: its destination while it moves, else its pool. Empty for lost
    /// VMs.
    std::vector<std::optional<std::size_t>> memberOf {};
    std::size_t spare = 0;
    std::size_t dataCentres = 0;
    std::size_t racks = 0;
    std::uint32_t runningMoves = 0;
    std::uint32_t unavailable = 0;
};

Fleet describeFleet(const CapacityView& view, const CapacityOptions& options, base::WallTime now);

} // namespace crocuscove::capacity
