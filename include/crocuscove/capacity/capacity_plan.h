#pragma once

#include "crocuscove/capacity/capacity_view.h"
#include "crocuscove/state/command.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace crocuscove::capacity {

enum class MoveReason {
    /// The pool is smaller than the document's minimum.
    BelowMinimum,
    /// The sustained demand exceeds the capacity of the pool.
    DemandRose,
    /// The availability budget allows no stop for maintenance unless the pool borrows a VM.
    MaintenanceHeadroom,
    /// The pool is larger than the document's maximum.
    AboveMaximum,
    /// The spare pool could not cover the loss of a failure domain.
    BufferShortfall,
    /// The pool has had more VMs than its demand needs for `CapacityOptions::reclaimAfter`.
    DemandFell,
};

enum class WantedReason {
    Demand,
    Minimum,
    Maximum,
    /// The samples don't cover the hold time, so the pool may not shrink.
    ShortHistory,
    /// No recent sample, so the pool keeps its size.
    NoObservation,
};

/// Reason why the planner holds back all moves.
enum class HoldReason {
    None,
    /// More than half of the VMs lack a recent healthy observation.
    ObservationLost,
    /// The platform, which would carry out the moves, has not answered within the bound.
    PlatformSilent,
};

std::string_view moveReasonName(MoveReason reason);
std::string_view wantedReasonName(WantedReason reason);
std::string_view holdReasonName(HoldReason reason);

/// A move to propose. Until it is applied, the input of the maintenance planner must mark the VM as pending.
struct VmMove {
    MoveReason reason = MoveReason::DemandRose;
    state::MoveVm command {};
};

struct ServiceCapacity {
    base::ServiceId service {};
    base::PoolId pool {};
    /// Executors that the service needs. Availability budgets are a share of these.
    std::uint32_t wanted = 0;
    WantedReason reason = WantedReason::Demand;
    /// Number of VMs that a growing pool is filled up to, with headroom for fluctuation and maintenance.
    std::uint32_t target = 0;
    /// VMs of the pool that are not lost. Includes arriving VMs and excludes leaving ones.
    std::uint32_t members = 0;
    std::uint32_t available = 0;
    /// VMs that the pool lacks and that no other pool can lend at present.
    std::uint32_t missing = 0;
};

/// Size of the spare pool that the services share.
struct BufferPlan {
    /// Spare VMs needed to cover the loss of any one failure domain, the error of the load reports and demand above the
    /// capacity of the pools.
    std::uint32_t needed = 0;
    std::uint32_t held = 0;
    /// Spare VMs needed if every service had its own buffer.
    std::uint32_t neededSeparately = 0;
};

struct CapacityPlan {
    std::vector<VmMove> moves {};
    std::vector<ServiceCapacity> services {};
    BufferPlan buffer {};
    HoldReason hold = HoldReason::None;
};

/// The durations apply when all weights of the fleet document are equal. Other weights scale them.
struct CapacityOptions {
    /// Samples are averaged over this time.
    std::chrono::seconds bucket { 30 };
    /// Demand counts only if it lasts this long. Queues absorb shorter surges.
    std::chrono::seconds sustainTime { 120 };
    /// A pool is sized for the highest demand of this period, so a shorter lull does not shrink it.
    std::chrono::minutes hold { 60 };
    /// Idle VMs of a pool return to the spare pool after this time, unless another pool needs them sooner.
    std::chrono::minutes reclaimAfter { 240 };
    /// Longest history that the caller keeps, and the upper limit of the scaled durations.
    std::chrono::minutes history { 480 };
    std::chrono::seconds maxSampleAge { 120 };
    base::Milliseconds maxPlatformAge { 30'000 };
    /// A VM that has been unavailable for longer is replaced.
    std::chrono::minutes replaceAfter { 3 };
    /// Utilisation that a pool is filled up to, and the one above which it grows.
    double targetUtilisation = 0.65;
    double highestUtilisation = 0.75;
    /// Relative standard error of the reported load.
    double reportError = 0.08;
    /// Number of standard errors that the buffer covers. A shared buffer with 3 covers the loss of a failure domain at
    /// least as often as separate buffers per service with 2.33.
    double errorQuantile = 3.0;
    /// Largest share of the fleet that may move at the same time, but at least `minRunningMoves` VMs.
    double maxRunningShare = 0.01;
    std::uint32_t minRunningMoves = 3;
};

/// Decides how many executors each service needs and which VMs move. Stateless: no earlier plan is needed.
CapacityPlan planCapacity(const CapacityView& view, const CapacityOptions& options, base::WallTime now);

} // namespace crocuscove::capacity
