#include "crocuscove/jobs/restart_history.h"

#include <algorithm>

namespace crocuscove::jobs {

void RestartHistory::record(std::int64_t startedMs, const std::string& worker, const std::string& service)
{
    m_services[{ startedMs, worker }] = service;
    if (m_services.size() > maxRestarts) {
        m_services.erase(m_services.begin());
    }
}

bool RestartHistory::isInBurst(std::int64_t startedMs, const std::string& service, std::size_t excepted) const
{
    if (startedMs == 0) {
        return false;
    }
    const std::size_t together = countWithin(restartSpread, startedMs, service);
    const std::size_t around = countWithin(restartNeighbourhood, startedMs, service);
    return together >= minSharedRestarts + excepted
        && static_cast<double>(together) >= minSharedPart * static_cast<double>(around);
}

std::size_t RestartHistory::countWithin(
    base::Milliseconds spread, std::int64_t startedMs, const std::string& service) const
{
    const auto begin = m_services.lower_bound({ startedMs - spread.count(), "" });
    const auto end = m_services.lower_bound({ startedMs + spread.count() + 1, "" });
    return static_cast<std::size_t>(
        std::count_if(begin, end, [&](const auto& restart) { return restart.second == service; }));
}

} // namespace crocuscove::jobs
