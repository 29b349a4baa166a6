#include "crocuscove/routing/run_times.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

/// Each sample weighs this much more than the one before, so that about 500 samples matter.
constexpr double growth = 1.002;
/// Weights are scaled down beyond this value, far below overflow.
constexpr double maxSampleWeight = 1e100;
/// Smallest weight of the newest sample in the mean.
constexpr double meanWeight = 1.0 / 256.0;
/// Samples between two computations of the quantiles, once there are many.
constexpr std::uint64_t refreshInterval = 16;

} // namespace

void RunTimes::add(base::Microseconds runTime)
{
    const auto value = static_cast<double>(std::max<std::int64_t>(runTime.count(), 1));
    const auto position = static_cast<std::size_t>(std::log2(value) * bucketsPerOctave);
    m_weights[std::min(position, m_weights.size() - 1)] += m_sampleWeight;
    m_total += m_sampleWeight;
    m_sampleWeight *= growth;
    ++m_samples;
    m_mean += (value - m_mean) * std::max(1.0 / static_cast<double>(m_samples), meanWeight);
    if (m_sampleWeight > maxSampleWeight) {
        std::ranges::for_each(m_weights, [this](double& weight) { weight /= m_sampleWeight; });
        m_total /= m_sampleWeight;
        m_sampleWeight = 1.0;
    }
    if (m_samples < refreshInterval || m_samples % refreshInterval == 0) {
        refresh();
    }
}

void RunTimes::refresh()
{
    m_median = quantile(0.5);
    m_usual = quantile(0.9);
    m_slowest = quantile(0.99);
}

base::Microseconds RunTimes::quantile(double fraction) const
{
    double seen = 0.0;
    std::size_t bucket = 0;
    while (bucket + 1 < m_weights.size() && seen + m_weights[bucket] < fraction * m_total) {
        seen += m_weights[bucket];
        ++bucket;
    }
    // The upper end of the bucket.
    const double exponent = static_cast<double>(bucket + 1) / bucketsPerOctave;
    return base::Microseconds(static_cast<std::int64_t>(std::exp2(exponent)));
}

} // namespace crocuscove::routing
