#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/jobs/unanswered_starts.h"

#include <map>
#include <optional>
#include <vector>

namespace crocuscove::control {

/// A start that got no answer.
struct LateStart {
    /// It may be carried out until then. May be past.
    base::MonotonicTime until;
    /// The known incarnation was there after the start was sent, so that the start was lost or delayed, and not the
    /// worker.
    bool wasWorkerSeen = false;
    /// When it was sent to the known incarnation; not set for one of an earlier session.
    std::optional<base::MonotonicTime> sentAt {};
};

/// Tells which starts, of those that a worker id was sent and that got no answer, another incarnation than the one that
/// is known may carry out or may have carried out. Whoever frees tasks of a silent or restarted worker asks it.
class LateStarts {
public:
    /// A start is carried out at most `maxDelay` after it was sent.
    explicit LateStarts(base::Milliseconds maxDelay)
        : m_maxDelay(maxDelay)
    {
    }

    /// Takes over what the replicated state holds. No start is carried out later than `maxDelay` from now, whatever the
    /// time of day of its sender was.
    void load(const std::map<jobs::TaskKey, jobs::UnansweredStart>& recorded);

    /// A start of the task that was sent at this time got no answer.
    void add(const jobs::TaskKey& task, base::MonotonicTime sentAt);

    /// The known incarnation was there at this time, so that no other one has carried out a start whose time ended
    /// before. Returns the tasks for whose starts LateStart::wasWorkerSeen became true.
    std::vector<jobs::TaskKey> noteWorkerSeen(base::MonotonicTime seenAt);

    /// Returns the start of a task whose time ends last, if there is one.
    [[nodiscard]] std::optional<LateStart> find(const jobs::TaskKey& task) const;

private:
    void merge(const jobs::TaskKey& task, const LateStart& start);

    base::Milliseconds m_maxDelay;
    std::map<jobs::TaskKey, LateStart> m_starts;
};

} // namespace crocuscove::control
