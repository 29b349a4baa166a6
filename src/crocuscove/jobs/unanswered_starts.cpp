#include "crocuscove/jobs/unanswered_starts.h"

#include <algorithm>

namespace crocuscove::jobs {

void UnansweredStarts::record(const std::string& worker, const TaskKey& task, const UnansweredStart& start)
{
    UnansweredStart& known = m_starts[worker][task];
    known.wasWorkerSeen = known.wasWorkerSeen || start.wasWorkerSeen;
    m_byEnd.erase({ known.untilMs, worker, task });
    known.untilMs = std::max(known.untilMs, start.untilMs);
    m_byEnd.emplace(known.untilMs, worker, task);
    m_byTask.emplace(task, worker);
    if (m_byEnd.size() > maxUnansweredStarts) {
        forgetEarliest();
    }
}

void UnansweredStarts::forget(std::int64_t beforeMs)
{
    while (!m_byEnd.empty() && std::get<std::int64_t>(*m_byEnd.begin()) < beforeMs) {
        forgetEarliest();
    }
}

const std::map<TaskKey, UnansweredStart>& UnansweredStarts::of(const std::string& worker) const
{
    static const std::map<TaskKey, UnansweredStart> none;
    const auto starts = m_starts.find(worker);
    return starts == m_starts.end() ? none : starts->second;
}

std::int64_t UnansweredStarts::delayedUntilMs(const TaskKey& task) const
{
    std::int64_t result = 0;
    for (auto entry = m_byTask.lower_bound({ task, {} }); entry != m_byTask.end() && entry->first == task; ++entry) {
        const UnansweredStart& start = m_starts.at(entry->second).at(task);
        result = start.wasWorkerSeen ? std::max(result, start.untilMs) : result;
    }
    return result;
}

void UnansweredStarts::forgetEarliest()
{
    const auto earliest = m_byEnd.begin();
    const std::string& worker = std::get<std::string>(*earliest);
    const TaskKey& task = std::get<TaskKey>(*earliest);
    m_byTask.erase({ task, worker });
    const auto starts = m_starts.find(worker);
    starts->second.erase(task);
    if (starts->second.empty()) {
        m_starts.erase(starts);
    }
    m_byEnd.erase(earliest);
}

void UnansweredStarts::rebuildIndex()
{
    m_byEnd.clear();
    m_byTask.clear();
    for (const auto& [worker, starts] : m_starts) {
        for (const auto& [task, start] : starts) {
            m_byEnd.emplace(start.untilMs, worker, task);
            m_byTask.emplace(task, worker);
        }
    }
}

} // namespace crocuscove::jobs
