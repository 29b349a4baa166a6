#include "crocuscove/routing/run_times.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

/// Ratio of the weights of a sample and the one before it, so that about the latest 500 samples matter.
constexpr double growth = 1.002;
/// All weights are scaled down when the sample weight exceeds this value, well before they overflow.
constexpr double maxSampleWeight = 1e100;
/// Minimum weight of the newest sample in the moving mean.
constexpr double meanWeight = 1.0 / 256.0;
/// Number of samples between two updates of the quantiles. The first samples update them every time.
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
    m_p90 = quantile(0.9);
    m_p99 = quantile(0.99);
}

base::Microseconds RunTimes::quantile(double fraction) const
{
    double seen = 0.0;
    std::size_t bucket = 0;
    while (bucket + 1 < m_weights.size() && seen + m_weights[bucket] < fraction * m_total) {
        seen += m_weights[bucket];
        ++bucket;
    }
    // Returns the upper bound of the bucket.
    const double exponent = static_cast<double>(bucket + 1) / bucketsPerOctave;
    return base::Microseconds(static_cast<std::int64_t>(std::exp2(exponent)));
}

} // namespace crocuscove::routing
