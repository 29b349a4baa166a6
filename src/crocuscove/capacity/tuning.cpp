#include "tuning.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::capacity {

namespace {

// A weight moves a time by at most this factor either way, so that no weight switches a mechanism off.
constexpr double strongestScale = 4.0;

// Largest change of the utilisation that the weights may cause.
constexpr double utilisationRange = 0.1;

double scale(double weight, double otherWeight)
{
    if (weight <= 0.0 || otherWeight <= 0.0) {
        return weight > otherWeight ? strongestScale : weight < otherWeight ? 1.0 / strongestScale : 1.0;
    }
    return std::clamp(weight / otherWeight, 1.0 / strongestScale, strongestScale);
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
    return { .sustainBuckets = bucketsOf(options.sustain, scale(weights.moves, weights.shortWait), options),
        .holdBuckets = bucketsOf(options.hold, scale(weights.moves, weights.bufferCost), options),
        .takeBackBuckets = bucketsOf(options.takeBack, scale(weights.moves, weights.bufferCost), options),
        .targetUtilisation = options.targetUtilisation + utilisationShift,
        .highestUtilisation = options.highestUtilisation + utilisationShift,
        .maxRunningMoves = static_cast<std::uint32_t>(
            std::max(1.0, running * std::clamp(scale(weights.rolloutTime, weights.moves), 0.5, 2.0))) };
}

} // namespace crocuscove::capacity
