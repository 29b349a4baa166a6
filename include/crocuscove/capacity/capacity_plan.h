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
    /// The demand has stayed above what the pool can carry.
    DemandRose,
    /// The availability budget leaves no room for maintenance without a lent VM.
    MaintenanceHeadroom,
    /// The pool is larger than the document's maximum.
    AboveMaximum,
    /// The spare pool could not cover the loss of a failure domain.
    BufferShortfall,
    /// The pool has long had more VMs than its demand needs.
    DemandFell,
};

enum class WantedReason {
    Demand,
    Minimum,
    Maximum,
    /// The samples don't reach back far enough to give a VM away. The pool keeps what it has.
    ShortHistory,
    /// No fresh sample. The pool keeps what it has.
    NoObservation,
};

/// Why the plan has no moves at all.
enum class HoldReason {
    None,
    /// Most VMs lack a fresh observation.
    ObservationLost,
    /// The platform, which would carry out the moves, has not answered within the bound.
    PlatformSilent,
};

std::string_view moveReasonName(MoveReason reason);
std::string_view wantedReasonName(WantedReason reason);
std::string_view holdReasonName(HoldReason reason);

/// A move to propose. A view of maintenance made before it is applied must name the VM as pending.
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
    /// VMs that the pool is filled up to when it grows, with headroom for fluctuation and maintenance.
    std::uint32_t target = 0;
    /// VMs of the pool that are not lost, with those that arrive and without those that leave.
    std::uint32_t members = 0;
    std::uint32_t available = 0;
    /// VMs that nobody can lend at present.
    std::uint32_t missing = 0;
};

/// Spare VMs that the services share.
struct BufferPlan {
    /// Spare VMs needed so that the loss of any one failure domain and the error of the reports are covered.
    std::uint32_t needed = 0;
    std::uint32_t held = 0;
    /// VMs needed if every service kept a buffer of its own.
    std::uint32_t neededAlone = 0;
};

struct CapacityPlan {
    std::vector<VmMove> moves {};
    std::vector<ServiceCapacity> services {};
    BufferPlan buffer {};
    HoldReason hold = HoldReason::None;
};

/// Times are for equal weights of the measures. The weights of the fleet document scale them.
struct CapacityOptions {
    /// Samples are averaged over this time.
    std::chrono::seconds bucket { 30 };
    /// Demand counts when it lasts this long. Queues absorb what is shorter.
    std::chrono::seconds sustain { 120 };
    /// The highest demand of this time counts. A pool gives nothing away for a shorter lull.
    std::chrono::minutes hold { 60 };
    /// Idle VMs of a pool go back to the spare pool after this time if nobody needs them sooner.
    std::chrono::minutes takeBack { 240 };
    /// Longest history that the caller keeps, and the bound of the scaled times.
    std::chrono::minutes history { 480 };
    std::chrono::seconds sampleFreshness { 120 };
    base::Milliseconds platformFreshness { 30'000 };
    /// A VM that has been unavailable for longer is replaced.
    std::chrono::minutes replaceAfter { 3 };
    /// Utilisation that a pool is filled up to, and the one above which it grows.
    double targetUtilisation = 0.65;
    double highestUtilisation = 0.75;
    /// Standard error of the reported load, relative.
    double reportError = 0.08;
    /// Standard errors that the buffer covers. With 3 it covers the loss of a failure domain at least as often as
    /// buffers of 2.33 for each service alone do.
    double errorQuantile = 3.0;
    /// Share of the fleet that may be on the move, at least `minRunningMoves`.
    double maxRunningShare = 0.01;
    std::uint32_t minRunningMoves = 3;
};

/// Decides how many executors each service needs and which VMs move. Needs no memory of earlier plans.
CapacityPlan planCapacity(const CapacityView& view, const CapacityOptions& options, base::WallTime now);

} // namespace crocuscove::capacity
