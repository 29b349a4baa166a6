#pragma once

#include "crocuscove/jobs/resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace crocuscove::jobs {

/// A run that ends by itself, and what it then frees on its worker.
struct EndingRun {
    Resources reservation;
    /// Expected time until it ends, in milliseconds.
    std::int64_t restMs = 0;
};

/// Returns the expected rest of a run, in milliseconds, that has executed for `ranMs`. A run that has outlasted its
/// expectation is expected to take as long again, as run times have a long tail.
std::int64_t expectedRestMs(std::int64_t expectedMs, std::int64_t ranMs);

/// Returns after how many milliseconds `required` is expected to fit into `free`, 0 if it fits now, or nothing if it
/// doesn't fit when all runs have ended. `runs` are sorted by restMs.
///
/// The runs that must end are the soonest ones. The later of k independent ends comes after the k-th harmonic number
/// times the mean (the maximum of k exponential variables), so that a worker where much has to end yet isn't preferred
/// to one where little is left.
std::optional<std::int64_t> forecastFit(
    const Resources& required, const Resources& free, const std::vector<EndingRun>& runs);

} // namespace crocuscove::jobs
