#pragma once

#include "crocuscove/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace crocuscove::routing {

/// Streaming estimate of the mean and the quantiles of the run times of one request kind, from a logarithmic histogram
/// in which recent samples have more weight.
class RunTimes {
public:
    void add(base::Microseconds runTime);

    [[nodiscard]] std::uint64_t samples() const { return m_samples; }
    [[nodiscard]] base::Microseconds mean() const { return base::Microseconds(static_cast<std::int64_t>(m_mean)); }
    [[nodiscard]] base::Microseconds median() const { return m_median; }
    [[nodiscard]] base::Microseconds p90() const { return m_p90; }
    [[nodiscard]] base::Microseconds p99() const { return m_p99; }

private:
    static constexpr std::size_t bucketsPerOctave = 4;
    static constexpr std::size_t octaves = 40;

    [[nodiscard]] base::Microseconds quantile(double fraction) const;
    void refresh();

    std::array<double, bucketsPerOctave * octaves> m_weights {};
    double m_total = 0.0;
    double m_sampleWeight = 1.0;
    double m_mean = 0.0;
    std::uint64_t m_samples = 0;
    base::Microseconds m_median { 0 };
    base::Microseconds m_p90 { 0 };
    base::Microseconds m_p99 { 0 };
};

} // namespace crocuscove::routing
