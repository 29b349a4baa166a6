#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <vector>

namespace crocuscove::testing {

/// Log-normal run times, a few of which are stragglers that run many times longer.
struct RunTimeOptions {
    std::int64_t medianMs = 20;
    std::int64_t sigmaPercent = 50;
    std::int64_t stragglerPercent = 0;
    std::int64_t stragglerFactor = 50;
};

std::vector<base::Setting> runTimeSettings(RunTimeOptions& options);

/// Draws a run time with the given median.
base::Milliseconds drawRunTime(const RunTimeOptions& options, std::int64_t medianMs, base::Random& random);

} // namespace crocuscove::testing
