#include "crocuscove/jobs/room_forecast.h"

namespace crocuscove::jobs {

std::int64_t expectedRestMs(std::int64_t expectedMs, std::int64_t ranMs)
{
    return ranMs < expectedMs ? expectedMs - ranMs : ranMs;
}

std::optional<std::int64_t> forecastFit(
    const Resources& required, const Resources& free, const std::vector<EndingRun>& runs)
{
    Resources freed = free;
    double restSumMs = 0;
    double harmonic = 0;
    double count = 0;
    for (auto run = runs.begin(); !required.fitsInto(freed); ++run) {
        if (run == runs.end()) {
            return std::nullopt;
        }
        freed += run->reservation;
        count += 1;
        harmonic += 1 / count;
        restSumMs += static_cast<double>(run->restMs);
    }
    return count == 0 ? 0 : static_cast<std::int64_t>(restSumMs / count * harmonic);
}

} // namespace crocuscove::jobs
