#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace crocuscove::jobs {

/// Moving average of the measured run times of tasks, by queue. Clients' estimates are far off, so they are used only
/// until the first task of a queue has ended.
class RunTimes {
public:
    void add(const std::string& queue, std::int64_t runMs);

    /// Forgets the queues for which `isKept` doesn't hold.
    void keepOnly(const std::function<bool(const std::string& queue)>& isKept);

    /// Returns the expected run time of a task in milliseconds, or the client's estimate if none was measured yet.
    [[nodiscard]] std::int64_t expectedMs(const std::string& queue, std::uint32_t clientEstimateMs) const;

private:
    std::map<std::string, double> m_meanMs;
};

} // namespace crocuscove::jobs
