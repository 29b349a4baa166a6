#include "crocuscove/jobs/restart_history.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <vector>

namespace crocuscove::jobs {

namespace {

bool isKnown(std::int64_t startedMs) { return startedMs > 0 && startedMs <= latestStartMs; }

} // namespace

void RestartHistory::record(const std::string& service, std::int64_t startedMs, const std::string& worker)
{
    const Restart restart { service, startedMs, worker };
    if (!isKnown(startedMs) || !m_byTime.insert(restart).second) {
        return;
    }
    m_restarts[++m_lastNumber] = restart;
    if (m_restarts.size() > maxRestarts) {
        m_byTime.erase(m_restarts.begin()->second);
        m_restarts.erase(m_restarts.begin());
    }
}

bool RestartHistory::isInBurst(const std::string& service, std::int64_t startedMs, std::size_t workers,
    std::size_t excepted, const BurstSize& least) const
{
    if (!isKnown(startedMs)) {
        return false;
    }
    const std::size_t together = countWorkers(restartSpread, service, startedMs);
    if (together < least.workers + excepted || 100 * together < least.percent * workers) {
        return false;
    }
    return 100 * together >= minTogetherPercent * countWorkers(restartNeighbourhood, service, startedMs);
}

std::size_t RestartHistory::countWorkers(
    base::Milliseconds spread, const std::string& service, std::int64_t startedMs) const
{
    const auto begin = m_byTime.lower_bound({ service, startedMs - spread.count(), "" });
    const auto end = m_byTime.lower_bound({ service, startedMs + spread.count() + 1, "" });
    std::vector<std::string_view> ids;
    std::transform(begin, end, std::back_inserter(ids),
        [](const Restart& restart) { return std::string_view(std::get<2>(restart)); });
    std::ranges::sort(ids);
    return static_cast<std::size_t>(std::unique(ids.begin(), ids.end()) - ids.begin());
}

void RestartHistory::rebuildIndex()
{
    m_byTime.clear();
    std::ranges::for_each(m_restarts, [this](const auto& entry) { m_byTime.insert(entry.second); });
}

} // namespace crocuscove::jobs
