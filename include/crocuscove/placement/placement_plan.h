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
    /// The non-urgent job has waited longer than `overdueTimeout` or `starvationTimeout`.
    Overdue,
    /// The job tests whether a quarantined worker has recovered.
    Probe,
};

enum class RejectReason {
    /// No known worker is large enough, even when empty.
    LargerThanEveryWorker,
    LargerThanQuota,
};

enum class PreemptMethod {
    Checkpoint,
};

enum class PreemptReason {
    /// An urgent job needs the capacity.
    UrgentWork,
    /// The worker's reported memory is close to its capacity.
    MemoryPressure,
};

enum class ThrottleReason {
    ProcessorPressure,
    /// The worker's memory is short, but none of its jobs may be checkpointed.
    MemoryPressure,
};

enum class ResourceKind {
    Cores,
    MemoryMb,
    Accelerators,
};

std::string_view startReasonName(StartReason reason);
std::string_view rejectReasonName(RejectReason reason);
std::string_view preemptMethodName(PreemptMethod method);
std::string_view preemptReasonName(PreemptReason reason);
std::string_view throttleReasonName(ThrottleReason reason);
std::string_view resourceKindName(ResourceKind kind);

struct StartAction {
    base::JobId job {};
    base::WorkerId worker {};
    std::uint64_t incarnation = 0;
    StartReason reason = StartReason::FairShare;
};

/// Reports how far a job exceeds the limit that comes closest to admitting it. `worker` is empty when the limit is the
/// team's quota.
struct ResourceShortage {
    ResourceKind resource = ResourceKind::Cores;
    base::WorkerId worker {};
    std::uint64_t needed = 0;
    std::uint64_t available = 0;

    [[nodiscard]] std::uint64_t shortfall() const { return needed - available; }
};

/// Rejects a job that no worker or quota can ever admit.
struct RejectAction {
    base::JobId job {};
    RejectReason reason = RejectReason::LargerThanEveryWorker;
    ResourceShortage shortage {};
};

/// Checkpoints a running idempotent job and returns it to the queue.
struct PreemptAction {
    base::JobId job {};
    base::WorkerId worker {};
    std::uint64_t token = 0;
    PreemptMethod method = PreemptMethod::Checkpoint;
    PreemptReason reason = PreemptReason::UrgentWork;
    /// The urgent job that receives the capacity, if any.
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
    base::Milliseconds minObservationTime { 30'000 };
    /// Workers that are known but have not reported delay rejections at most for this long.
    base::Milliseconds missingReportsTimeout { 300'000 };
    /// A non-urgent job that has waited this long is placed first if its team is at or below the mean share.
    base::Milliseconds overdueTimeout { 600'000 };
    /// A non-urgent job of any team that has waited this long is placed first. Longer than `overdueTimeout`, so that
    /// fair shares decide between teams for as long as possible.
    base::Milliseconds starvationTimeout { 3'600'000 };
    /// Upper limit of overdue jobs that are started or given a reserved worker in one round. The limit of 2% of the
    /// workers applies as well.
    std::size_t maxReservations = 64;
    std::size_t maxProbes = 64;
    /// A job that was started this often is no longer preempted, which guarantees that it finishes.
    std::uint32_t maxStartsBeforeProtection = 5;
    /// Urgent jobs per round for which the planner searches for jobs to preempt.
    std::size_t maxPreemptionSearches = 64;
    /// Shares of a worker's capacity above which its jobs are preempted or throttled and no more jobs are placed on it.
    double memoryPressure = 0.95;
    double processorPressure = 1.0;
    /// Overloaded workers handled in one round.
    std::size_t maxRelievedWorkers = 1'000;
    std::size_t maxStarts = 1'000;
    std::size_t maxRejects = 1'000;
};

/// Decides which queued jobs start on which worker and which running jobs are preempted or throttled. Deterministic:
/// equal view, options and time give an equal plan.
PlacementPlan planPlacement(const PlacementView& view, const PlacementOptions& options, base::WallTime now);

} // namespace crocuscove::placement
