#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace crocuscove::jobs {

/// Moving average of the measured run times of tasks, by queue. Clients' estimates are far off, so they are used only
/// until the first task of a queue has ended.
class RunTimes {
public:
    void add(const std::string& queue, std::int64_t runMs);

    /// Returns the expected run time of a task in milliseconds, or the client's estimate if none was measured yet.
    [[nodiscard]] std::int64_t expectedMs(const std::string& queue, std::uint32_t declaredMs) const;

private:
    std::map<std::string, double> m_meanMs;
};

} // namespace crocuscove::jobs
