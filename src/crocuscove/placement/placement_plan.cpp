#include "crocuscove/placement/placement_plan.h"

#include "planner.h"

namespace crocuscove::placement {

PlacementPlan planPlacement(const PlacementView& view, const PlacementOptions& options, base::WallTime now)
{
    return Planner(view, options, now).plan();
}

} // namespace crocuscove::placement
