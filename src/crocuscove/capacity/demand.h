#pragma once

#include "tuning.h"

#include <utility>
#include <vector>

namespace crocuscove::capacity {

/// Slots by bucket number, in rising order. A bucket without a sample is missing.
using Series = std::vector<std::pair<std::int64_t, double>>;

/// Demand of one service, in slots.
struct Demand {
    /// Demand that lasts: surges shorter than the sustain time are filtered out.
    Series sustained {};
    /// Highest sustained demand of the hold time and of the take-back time.
    double held = 0.0;
    double longHeld = 0.0;
    bool isFresh = false;
    bool coversHold = false;
    bool coversTakeBack = false;
};

Demand estimateDemand(
    const std::vector<LoadSample>& samples, const Tuning& tuning, const CapacityOptions& options, base::WallTime now);

} // namespace crocuscove::capacity
