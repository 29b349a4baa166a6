#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <vector>

namespace crocuscove::bench {

/// Prints a measured figure beside its target.
inline void report(std::string_view what, double figure, std::string_view unit, std::string_view target, bool isMet)
{
    fmt::print("{:<66} {:>10.3f} {:<10} target {:<14} {}\n", what, figure, unit, target, isMet ? "met" : "NOT MET");
}

inline void report(std::string_view what, double figure, std::string_view unit)
{
    fmt::print("{:<66} {:>10.3f} {}\n", what, figure, unit);
}

/// Returns the value below which the given share of the values lies.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/// Runs `work` repeatedly and returns the duration of each run in milliseconds.
template <typename Work> std::vector<double> timeRuns(int runs, Work&& work)
{
    std::vector<double> durations;
    for (int run = 0; run < runs; ++run) {
        const auto start = std::chrono::steady_clock::now();
        work();
        durations.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    return durations;
}

} // namespace crocuscove::bench
