#include "crocuscove/jobs/run_times.h"

namespace crocuscove::jobs {

namespace {

/// Weight of a new run time in the exponential moving average, which covers about the last 50 tasks.
constexpr double smoothingFactor = 0.02;

} // namespace

void RunTimes::add(const std::string& queue, std::int64_t runMs)
{
    const auto [mean, isFirst] = m_meanMs.emplace(queue, static_cast<double>(runMs));
    if (!isFirst) {
        mean->second += smoothingFactor * (static_cast<double>(runMs) - mean->second);
    }
}

void RunTimes::keepOnly(const std::function<bool(const std::string& queue)>& isKept)
{
    std::erase_if(m_meanMs, [&](const auto& entry) { return !isKept(entry.first); });
}

std::int64_t RunTimes::expectedMs(const std::string& queue, std::uint32_t clientEstimateMs) const
{
    const auto mean = m_meanMs.find(queue);
    return mean == m_meanMs.end() ? clientEstimateMs : static_cast<std::int64_t>(mean->second);
}

} // namespace crocuscove::jobs
