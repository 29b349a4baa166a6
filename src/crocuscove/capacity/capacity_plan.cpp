#include "crocuscove/capacity/capacity_plan.h"

#include "buffer.h"
#include "moves.h"

namespace crocuscove::capacity {

namespace {

HoldReason holdReasonOf(const Fleet& fleet)
{
    const auto& seen = fleet.view.platformSeenAt;
    if (!seen || *seen + fleet.options.maxPlatformAge < fleet.now) {
        return HoldReason::PlatformSilent;
    }
    return fleet.unavailable > fleet.view.vms.size() / 2 ? HoldReason::ObservationLost : HoldReason::None;
}

ServiceCapacity describeService(const Fleet& fleet, const Pool& pool, std::size_t service)
{
    const Need& need = fleet.needs[service];
    const bool isShared = pool.services.size() > 1;
    return { .service = fleet.view.services[service].document->service,
        .pool = pool.id,
        .wanted = need.wanted,
        .reason = need.reason,
        .target = isShared ? need.target : pool.need.target,
        .members = pool.members,
        .available = pool.available,
        .missing = pool.need.wanted - std::min(pool.need.wanted, pool.members) };
}

} // namespace

CapacityPlan planCapacity(const CapacityView& view, const CapacityOptions& options, base::WallTime now)
{
    Fleet fleet = describeFleet(view, options, now);
    CapacityPlan plan { .buffer = sizeBuffer(fleet), .hold = holdReasonOf(fleet) };
    if (plan.hold == HoldReason::None) {
        plan.moves = planMoves(fleet, plan.buffer);
    }
    plan.services.resize(view.services.size());
    for (const Pool& pool : fleet.pools) {
        for (const std::size_t service : pool.services) {
            plan.services[service] = describeService(fleet, pool, service);
        }
    }
    return plan;
}

} // namespace crocuscove::capacity
