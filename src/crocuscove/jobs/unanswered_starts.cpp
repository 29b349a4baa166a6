#include "crocuscove/jobs/unanswered_starts.h"

namespace crocuscove::jobs {

void UnansweredStarts::record(const std::string& worker, const TaskKey& task, std::int64_t untilMs)
{
    const auto [known, isNew] = m_untilMs[worker].try_emplace(task, untilMs);
    if (!isNew) {
        if (known->second >= untilMs) {
            return;
        }
        m_byEnd.erase({ known->second, worker, task });
        known->second = untilMs;
    }
    m_byEnd.emplace(untilMs, worker, task);
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

const std::map<TaskKey, std::int64_t>& UnansweredStarts::of(const std::string& worker) const
{
    static const std::map<TaskKey, std::int64_t> none;
    const auto starts = m_untilMs.find(worker);
    return starts == m_untilMs.end() ? none : starts->second;
}

void UnansweredStarts::forgetEarliest()
{
    const auto earliest = m_byEnd.begin();
    const auto starts = m_untilMs.find(std::get<std::string>(*earliest));
    starts->second.erase(std::get<TaskKey>(*earliest));
    if (starts->second.empty()) {
        m_untilMs.erase(starts);
    }
    m_byEnd.erase(earliest);
}

void UnansweredStarts::rebuildIndex()
{
    m_byEnd.clear();
    for (const auto& [worker, starts] : m_untilMs) {
        for (const auto& [task, untilMs] : starts) {
            m_byEnd.emplace(untilMs, worker, task);
        }
    }
}

} // namespace crocuscove::jobs
