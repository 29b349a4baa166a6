#include "support/run_times.h"

#include "support/command.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::testing {

namespace {

constexpr double maxRunTimeMs = 3'600'000;

} // namespace

std::vector<base::Setting> runTimeSettings(RunTimeOptions& options)
{
    return {
        integerSetting("run-median-ms", "median run time", 0, 3'600'000, options.medianMs),
        integerSetting("run-sigma-percent", "spread of the logarithm of run times", 0, 500, options.sigmaPercent),
        integerSetting("straggler-percent", "share of stragglers", 0, 100, options.stragglerPercent),
        integerSetting(
            "straggler-factor", "how many times longer a straggler runs", 1, 10'000, options.stragglerFactor),
    };
}

base::Milliseconds drawRunTime(const RunTimeOptions& options, std::int64_t medianMs, base::Random& random)
{
    const double normal = std::normal_distribution<double>()(random);
    const bool isStraggler = base::randomUnit(random) * 100 < static_cast<double>(options.stragglerPercent);
    const double factor = isStraggler ? static_cast<double>(options.stragglerFactor) : 1.0;
    const double time
        = static_cast<double>(medianMs) * factor * std::exp(normal * static_cast<double>(options.sigmaPercent) / 100);
    return base::Milliseconds(std::llround(std::min(time, maxRunTimeMs)));
}

} // namespace crocuscove::testing
