#include "crocuscove/jobs/start_plan.h"

#include <algorithm>
#include <tuple>

namespace crocuscove::jobs {

StartPlan planStarts(const Resources& capacity, std::vector<CapacityClaim> claims)
{
    Resources kept;
    Resources stopping;
    for (const CapacityClaim& claim : claims) {
        if (claim.phase == ClaimPhase::Running) {
            kept += claim.reservation;
        } else if (claim.phase == ClaimPhase::Stopping) {
            stopping += claim.reservation;
        }
    }
    std::erase_if(claims, [](const CapacityClaim& claim) { return claim.phase != ClaimPhase::Unsent; });
    std::ranges::sort(
        claims, {}, [](const CapacityClaim& claim) { return std::tuple(!claim.isGang, claim.acceptedMs, claim.task); });
    StartPlan plan;
    for (const CapacityClaim& claim : claims) {
        if (!(kept + claim.reservation).fitsInto(capacity)) {
            plan.stop.insert(claim.task);
            continue;
        }
        kept += claim.reservation;
        if ((kept + stopping).fitsInto(capacity)) {
            plan.send.insert(claim.task);
        }
    }
    return plan;
}

} // namespace crocuscove::jobs
