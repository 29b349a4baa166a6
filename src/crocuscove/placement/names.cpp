#include "crocuscove/base/enum_names.h"
#include "crocuscove/placement/placement_plan.h"

namespace crocuscove::placement {

namespace {

constexpr auto startReasonNames = base::enumNames<StartReason>({
    { StartReason::FairShare, "fair-share" },
    { StartReason::Urgent, "urgent" },
    { StartReason::Overdue, "overdue" },
    { StartReason::Probe, "probe" },
});

constexpr auto rejectReasonNames = base::enumNames<RejectReason>({
    { RejectReason::LargerThanEveryWorker, "larger-than-every-worker" },
    { RejectReason::LargerThanQuota, "larger-than-quota" },
});

constexpr auto preemptMethodNames = base::enumNames<PreemptMethod>({
    { PreemptMethod::Checkpoint, "checkpoint" },
});

constexpr auto preemptReasonNames = base::enumNames<PreemptReason>({
    { PreemptReason::UrgentWork, "urgent-work" },
    { PreemptReason::MemoryPressure, "memory-pressure" },
});

constexpr auto throttleReasonNames = base::enumNames<ThrottleReason>({
    { ThrottleReason::ProcessorPressure, "processor-pressure" },
    { ThrottleReason::MemoryPressure, "memory-pressure" },
});

constexpr auto resourceKindNames = base::enumNames<ResourceKind>({
    { ResourceKind::Cores, "cores" },
    { ResourceKind::MemoryMb, "memoryMb" },
    { ResourceKind::Accelerators, "accelerators" },
});

} // namespace

std::string_view startReasonName(StartReason reason) { return startReasonNames.name(reason); }

std::string_view rejectReasonName(RejectReason reason) { return rejectReasonNames.name(reason); }

std::string_view preemptMethodName(PreemptMethod method) { return preemptMethodNames.name(method); }

std::string_view preemptReasonName(PreemptReason reason) { return preemptReasonNames.name(reason); }

std::string_view throttleReasonName(ThrottleReason reason) { return throttleReasonNames.name(reason); }

std::string_view resourceKindName(ResourceKind kind) { return resourceKindNames.name(kind); }

} // namespace crocuscove::placement
