#pragma once

#include "demand.h"

#include <algorithm>
#include <optional>

namespace crocuscove::capacity {

/// Place of a VM as numbers. Racks of different data centres have different numbers.
struct Place {
    std::size_t dataCentre = 0;
    std::size_t rack = 0;
};

/// What one service needs, in executors.
struct Need {
    std::uint32_t wanted = 0;
    WantedReason reason = WantedReason::Demand;
    std::uint32_t target = 0;
    /// A pool larger than this may give VMs to others, and after a longer time back to the spare pool.
    std::uint32_t keep = 0;
    std::uint32_t longKeep = 0;
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

    [[nodiscard]] std::size_t domainOf(const Place& place) const
    {
        return isPerDataCentre ? place.dataCentre : place.rack;
    }
    /// Whether a VM may leave now: within the budget, and from the spare pool only what it does not need itself.
    [[nodiscard]] bool mayGive() const { return available >= need.required + 1 && (!isSpare || freeSpares() > 0); }
    /// VMs of the spare pool that may be lent.
    [[nodiscard]] std::uint32_t freeSpares() const { return available - std::min(available, need.wanted); }
};

/// The view, sorted by pools. Lives for one plan.
struct Fleet {
    const CapacityView& view;
    const CapacityOptions& options;
    base::WallTime now;
    Tuning tuning {};
    std::vector<Pool> pools {};
    std::vector<Demand> demands {};
    std::vector<Need> needs {};
    /// For each VM of the view.
    std::vector<Place> places {};
    /// Pool that a VM counts towards: the one it belongs to or moves to. Nothing for lost VMs.
    std::vector<std::optional<std::size_t>> memberOf {};
    std::size_t spare = 0;
    std::size_t dataCentres = 0;
    std::size_t racks = 0;
    std::uint32_t runningMoves = 0;
    std::uint32_t unavailable = 0;
};

Fleet describeFleet(const CapacityView& view, const CapacityOptions& options, base::WallTime now);

} // namespace crocuscove::capacity
