#pragma once

#include "crocuscove/placement/placement_view.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace crocuscove::placement {

enum class StartReason {
    /// The team has the smallest weighted dominant share among those with waiting work.
    FairShare,
    Urgent,
    /// The patient job has waited longer than the bound.
    Overdue,
    /// Shows whether a quarantined worker works again.
    Probe,
};

enum class RejectReason {
    /// No known worker is large enough, even when empty.
    LargerThanEveryWorker,
    LargerThanQuota,
};

enum class PreemptHow {
    Checkpoint,
};

enum class PreemptReason {
    /// An urgent job needs the room.
    UrgentWork,
    /// The worker's reported memory is close to its capacity.
    MemoryPressure,
};

enum class ThrottleReason {
    ProcessorPressure,
    /// No job of the worker may be checkpointed.
    MemoryPressure,
};

enum class ResourceKind {
    Cores,
    MemoryMb,
    Accelerators,
};

std::string_view startReasonName(StartReason reason);
std::string_view rejectReasonName(RejectReason reason);
std::string_view preemptHowName(PreemptHow how);
std::string_view preemptReasonName(PreemptReason reason);
std::string_view throttleReasonName(ThrottleReason reason);
std::string_view resourceKindName(ResourceKind kind);

struct StartAction {
    base::JobId job {};
    base::WorkerId worker {};
    std::uint64_t incarnation = 0;
    StartReason reason = StartReason::FairShare;
};

/// The limit that comes closest to admitting a job. `worker` is empty when the limit is the team's quota.
struct NearestMiss {
    ResourceKind resource = ResourceKind::Cores;
    base::WorkerId worker {};
    std::uint64_t needed = 0;
    std::uint64_t available = 0;

    [[nodiscard]] std::uint64_t shortfall() const { return needed - available; }
};

/// The job can't run anywhere.
struct RejectAction {
    base::JobId job {};
    RejectReason reason = RejectReason::LargerThanEveryWorker;
    NearestMiss miss {};
};

/// Checkpoints a running idempotent job, which then waits again.
struct PreemptAction {
    base::JobId job {};
    base::WorkerId worker {};
    std::uint64_t token = 0;
    PreemptHow how = PreemptHow::Checkpoint;
    PreemptReason reason = PreemptReason::UrgentWork;
    /// The urgent job that is given the room, if any.
    base::JobId forJob {};
};

/// Slows a running job down.
struct ThrottleAction {
    base::JobId job {};
    base::WorkerId worker {};
    std::uint64_t token = 0;
    ThrottleReason reason = ThrottleReason::ProcessorPressure;
};

struct PlacementPlan {
    std::vector<StartAction> starts {};
    std::vector<PreemptAction> preempts {};
    std::vector<ThrottleAction> throttles {};
    std::vector<RejectAction> rejects {};
};

struct PlacementOptions {
    /// No job is rejected before the leader has collected reports for this long. Worker leases last 12 s.
    base::Milliseconds observationBound { 30'000 };
    /// Known workers that have not reported hold up rejections only for this long.
    base::Milliseconds unobservedBound { 300'000 };
    /// A patient job of a team at or below the mean share that has waited this long comes before other work.
    base::Milliseconds overdueBound { 600'000 };
    /// The same for every team. Longer, so that shares decide among teams for as long as possible.
    base::Milliseconds starvationBound { 3'600'000 };
    /// Overdue jobs served or given a reserved worker in one round, in addition to the bound of 2% of the workers.
    std::size_t maxReservations = 64;
    std::size_t maxProbes = 64;
    /// A job started this often is no longer preempted, so that it finishes eventually.
    std::uint32_t maxStartsBeforeProtection = 5;
    /// Urgent jobs that room is searched for in one round.
    std::size_t maxPreemptionSearches = 64;
    /// Shares of a worker's capacity above which it is relieved and given no more jobs.
    double memoryPressure = 0.95;
    double processorPressure = 1.0;
    /// Workers relieved in one round.
    std::size_t maxPressured = 1'000;
    std::size_t maxStarts = 1'000;
    std::size_t maxRejects = 1'000;
};

/// Decides which queued jobs start where, and which running ones give way. The same view, options and time give the
/// same plan.
PlacementPlan planPlacement(const PlacementView& view, const PlacementOptions& options, base::WallTime now);

} // namespace crocuscove::placement
