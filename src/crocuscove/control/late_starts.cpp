#include "late_starts.h"

#include <algorithm>

namespace crocuscove::control {

void LateStarts::load(const std::map<jobs::TaskKey, jobs::UnansweredStart>& recorded)
{
    const auto now = base::monotonicNow();
    const std::int64_t unixNowMs = base::wallNow().time_since_epoch().count();
    for (const auto& [task, start] : recorded) {
        const auto left = std::min(m_maxDelay, base::Milliseconds(start.untilMs - unixNowMs));
        merge(task, { .until = now + left, .wasWorkerSeen = start.wasWorkerSeen });
    }
}

void LateStarts::add(const jobs::TaskKey& task, base::MonotonicTime sentAt)
{
    merge(task, { .until = sentAt + m_maxDelay, .sentAt = sentAt });
}

void LateStarts::merge(const jobs::TaskKey& task, const LateStart& start)
{
    LateStart& known = m_starts[task];
    known.until = std::max(known.until, start.until);
    known.wasWorkerSeen = known.wasWorkerSeen || start.wasWorkerSeen;
    known.sentAt = std::max(known.sentAt, start.sentAt);
}

std::vector<jobs::TaskKey> LateStarts::noteWorkerSeen(base::MonotonicTime seenAt)
{
    std::erase_if(m_starts, [&](const auto& start) { return start.second.until < seenAt; });
    std::vector<jobs::TaskKey> result;
    for (auto& [task, start] : m_starts) {
        if (!start.wasWorkerSeen && start.sentAt && *start.sentAt < seenAt) {
            start.wasWorkerSeen = true;
            result.push_back(task);
        }
    }
    return result;
}

std::optional<LateStart> LateStarts::find(const jobs::TaskKey& task) const
{
    const auto start = m_starts.find(task);
    return start == m_starts.end() ? std::nullopt : std::optional(start->second);
}

} // namespace crocuscove::control
