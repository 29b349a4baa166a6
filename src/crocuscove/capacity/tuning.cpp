#include "tuning.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::capacity {

namespace {

// Limits the factor by which weights scale a duration up or down, so that no weight disables a mechanism.
constexpr double maxScale = 4.0;

// Largest change of the utilisation by the weights.
constexpr double utilisationRange = 0.1;

double scale(double weight, double otherWeight)
{
    if (weight <= 0.0 || otherWeight <= 0.0) {
        return weight > otherWeight ? maxScale : weight < otherWeight ? 1.0 / maxScale : 1.0;
    }
    return std::clamp(weight / otherWeight, 1.0 / maxScale, maxScale);
}

std::size_t bucketsOf(std::chrono::seconds time, double factor, const CapacityOptions& options)
{
    const double scaled = std::min<double>(
        static_cast<double>(time.count()) * factor, static_cast<double>(std::chrono::seconds(options.history).count()));
    return static_cast<std::size_t>(std::max(1.0, std::round(scaled / static_cast<double>(options.bucket.count()))));
}

} // namespace

Tuning tune(const CapacityOptions& options, const document::MeasureWeights& weights, std::size_t vms)
{
    const double buffer = scale(weights.bufferCost, weights.shortWait);
    const double utilisationShift = utilisationRange * (buffer - 1.0) / (buffer + 1.0);
    const double running
        = std::max<double>(options.minRunningMoves, options.maxRunningShare * static_cast<double>(vms));
    return { .sustainBuckets = bucketsOf(options.sustainTime, scale(weights.moves, weights.shortWait), options),
        .holdBuckets = bucketsOf(options.hold, scale(weights.moves, weights.bufferCost), options),
        .reclaimBuckets = bucketsOf(options.reclaimAfter, scale(weights.moves, weights.bufferCost), options),
        .targetUtilisation = options.targetUtilisation + utilisationShift,
        .highestUtilisation = options.highestUtilisation + utilisationShift,
        .maxRunningMoves = static_cast<std::uint32_t>(
            std::max(1.0, running * std::clamp(scale(weights.rolloutTime, weights.moves), 0.5, 2.0))) };
}

} // namespace crocuscove::capacity
