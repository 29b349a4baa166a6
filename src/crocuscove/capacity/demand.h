#pragma once

#include "tuning.h"

#include <utility>
#include <vector>

namespace crocuscove::capacity {

/// Time series of slots by ascending bucket number. Buckets without a sample are omitted.
using Series = std::vector<std::pair<std::int64_t, double>>;

/// Demand of one service, in slots.
struct Demand {
    /// Demand without surges that are shorter than the sustain time.
    Series sustained {};
    /// Highest sustained demand within `CapacityOptions::hold` and within `CapacityOptions::reclaimAfter`.
    double holdPeak = 0.0;
    double reclaimPeak = 0.0;
    bool isFresh = false;
    bool coversHold = false;
    bool coversReclaim = false;
};

Demand estimateDemand(
    const std::vector<LoadSample>& samples, const Tuning& tuning, const CapacityOptions& options, base::WallTime now);

} // namespace crocuscove::capacity
