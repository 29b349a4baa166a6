#include "crocuscove/jobs/run_times.h"

namespace crocuscove::jobs {

namespace {

/// Weight of a new run time in the exponential moving average, which covers about the last 50 tasks.
constexpr double learningRate = 0.02;

} // namespace

void RunTimes::add(const std::string& queue, std::int64_t runMs)
{
    const auto [mean, isFirst] = m_meanMs.emplace(queue, static_cast<double>(runMs));
    if (!isFirst) {
        mean->second += learningRate * (static_cast<double>(runMs) - mean->second);
    }
}

std::int64_t RunTimes::expectedMs(const std::string& queue, std::uint32_t declaredMs) const
{
    const auto mean = m_meanMs.find(queue);
    return mean == m_meanMs.end() ? declaredMs : static_cast<std::int64_t>(mean->second);
}

} // namespace crocuscove::jobs
