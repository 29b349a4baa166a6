#include "late_starts.h"

#include <algorithm>

namespace crocuscove::control {

void LateStarts::load(const std::map<jobs::TaskKey, std::int64_t>& recorded)
{
    const auto now = base::monotonicNow();
    const std::int64_t unixNowMs = base::wallNow().time_since_epoch().count();
    for (const auto& [task, untilMs] : recorded) {
        extend(task, now + std::min(m_maxDelay, base::Milliseconds(untilMs - unixNowMs)));
    }
}

base::MonotonicTime LateStarts::add(const jobs::TaskKey& task, base::MonotonicTime sentAt)
{
    extend(task, sentAt + m_maxDelay);
    return sentAt + m_maxDelay;
}

void LateStarts::extend(const jobs::TaskKey& task, base::MonotonicTime until)
{
    LateStart& known = m_starts[task];
    known.until = std::max(known.until, until);
}

void LateStarts::noteWorkerSeen(base::MonotonicTime seenAt)
{
    std::erase_if(m_starts, [&](const auto& start) { return start.second.until < seenAt; });
    for (auto& [task, start] : m_starts) {
        start.wasWorkerSeen = start.wasWorkerSeen || start.until - m_maxDelay < seenAt;
    }
}

std::optional<LateStart> LateStarts::find(const jobs::TaskKey& task) const
{
    const auto start = m_starts.find(task);
    return start == m_starts.end() ? std::nullopt : std::optional(start->second);
}

} // namespace crocuscove::control
