#pragma once

#include "crocuscove/placement/placement_view.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace crocuscove::placement {

enum class StartReason {
    /// Worker that the job leaves with the least of its dominant resource.
    BestFit,
};

enum class RejectReason {
    /// No known worker is large enough, even when empty.
    LargerThanEveryWorker,
};

enum class ResourceKind {
    Cores,
    MemoryMb,
    Accelerators,
};

std::string_view startReasonName(StartReason reason);
std::string_view rejectReasonName(RejectReason reason);
std::string_view resourceKindName(ResourceKind kind);

struct StartAction {
    base::JobId job {};
    base::WorkerId worker {};
    std::uint64_t incarnation = 0;
    StartReason reason = StartReason::BestFit;
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

struct PlacementPlan {
    std::vector<StartAction> starts {};
    std::vector<RejectAction> rejects {};
};

struct PlacementOptions {
    /// No job is rejected before the leader has collected reports for this long. Worker leases last 12 s.
    base::Milliseconds observationBound { 30'000 };
    /// Known workers that have not reported hold up rejections only for this long.
    base::Milliseconds unobservedBound { 300'000 };
    std::size_t maxStarts = 1'000;
    std::size_t maxRejects = 1'000;
};

/// Decides which queued jobs start where. The same view, options and time give the same plan.
PlacementPlan planPlacement(const PlacementView& view, const PlacementOptions& options, base::WallTime now);

} // namespace crocuscove::placement
