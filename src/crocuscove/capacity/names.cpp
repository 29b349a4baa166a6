#include "crocuscove/base/enum_names.h"
#include "crocuscove/capacity/capacity_plan.h"

namespace crocuscove::capacity {

namespace {

constexpr auto moveReasonNames = base::enumNames<MoveReason>({
    { MoveReason::BelowMinimum, "below-minimum" },
    { MoveReason::DemandRose, "demand-rose" },
    { MoveReason::MaintenanceHeadroom, "maintenance-headroom" },
    { MoveReason::AboveMaximum, "above-maximum" },
    { MoveReason::BufferShortfall, "buffer-shortfall" },
    { MoveReason::DemandFell, "demand-fell" },
});

constexpr auto wantedReasonNames = base::enumNames<WantedReason>({
    { WantedReason::Demand, "demand" },
    { WantedReason::Minimum, "minimum" },
    { WantedReason::Maximum, "maximum" },
    { WantedReason::ShortHistory, "short-history" },
    { WantedReason::NoObservation, "no-observation" },
});

constexpr auto holdReasonNames = base::enumNames<HoldReason>({
    { HoldReason::None, "none" },
    { HoldReason::ObservationLost, "observation-lost" },
    { HoldReason::PlatformSilent, "platform-silent" },
});

} // namespace

std::string_view moveReasonName(MoveReason reason) { return moveReasonNames.name(reason); }

std::string_view wantedReasonName(WantedReason reason) { return wantedReasonNames.name(reason); }

std::string_view holdReasonName(HoldReason reason) { return holdReasonNames.name(reason); }

} // namespace crocuscove::capacity
