#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::testing {

/// One kind of request of the load.
struct LoadClass {
    std::string name;
    std::int64_t weight = 1;
    std::string method;
    std::string path;
    std::int64_t deadlineMs = 0;
    std::int64_t runMs = 0;
    bool isIdempotent = true;
};

/// Parses "NAME:WEIGHT:METHOD:PATH:DEADLINE-MS:RUN-MS:yes|no", where the last field tells whether it is idempotent.
LoadClass parseLoadClass(std::string_view text);

struct SurgeOptions {
    std::int64_t factor = 1;
    std::int64_t periodMs = 10'000;
    std::int64_t surgeMs = 3'000;
};

/// Returns the rate of class `index` of `count` at a time, as a multiple of its mean: the classes surge in turn, one in
/// each period, and after its surge a class falls to a twentieth for as long.
double surgeFactor(const SurgeOptions& options, std::size_t index, std::size_t count, base::Milliseconds elapsed);

/// Draws an index with a probability proportional to its weight.
std::size_t drawWeighted(const std::vector<std::int64_t>& weights, base::Random& random);

/// Poisson arrivals with a rate that varies over time, by thinning.
class ArrivalProcess {
public:
    ArrivalProcess(double meanPerSecond, SurgeOptions options, std::size_t index, std::size_t count);

    /// Returns the first arrival after `elapsed`.
    base::Microseconds next(base::Microseconds elapsed, base::Random& random) const;

private:
    double m_peakPerSecond;
    SurgeOptions m_options;
    std::size_t m_index;
    std::size_t m_count;
};

} // namespace crocuscove::testing
