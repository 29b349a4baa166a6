#pragma once

#include "crocuscove/capacity/capacity_plan.h"

namespace crocuscove::capacity {

/// Planning parameters: the options scaled by the weights of the fleet document.
struct Tuning {
    std::size_t sustainBuckets = 1;
    std::size_t holdBuckets = 1;
    std::size_t reclaimBuckets = 1;
    double targetUtilisation = 0.65;
    double highestUtilisation = 0.8;
    std::uint32_t maxRunningMoves = 1;
};

Tuning tune(const CapacityOptions& options, const document::MeasureWeights& weights, std::size_t vms);

} // namespace crocuscove::capacity
