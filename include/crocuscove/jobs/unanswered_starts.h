#pragma once

#include "crocuscove/base/codec_fields.h"
#include "crocuscove/jobs/job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace crocuscove::jobs {

/// Starts without an answer that are remembered; beyond that the one whose time ends first is forgotten.
inline constexpr std::size_t maxUnansweredStarts = 20'000;

/// A start that got no answer.
struct UnansweredStart {
    /// Until when it may be carried out, in Unix milliseconds.
    std::int64_t untilMs = 0;
    /// The incarnation that it was sent to was there afterwards, so that the start was delayed, or its answer was lost,
    /// and not the worker.
    bool wasWorkerSeen = false;
};

/// The starts that got no answer, by worker id. Whichever incarnation of the id is there when one arrives carries it
/// out, whatever an earlier one has said of the run.
class UnansweredStarts {
public:
    /// Remembers a start of the task. Of several ones the last end counts.
    void record(const std::string& worker, const TaskKey& task, const UnansweredStart& start);

    /// Forgets the starts whose time ended before the Unix time `beforeMs`.
    void forget(std::int64_t beforeMs);

    /// Returns the starts that were sent to a worker, by task.
    [[nodiscard]] const std::map<TaskKey, UnansweredStart>& of(const std::string& worker) const;

    /// Returns until when a delayed start of a task may be carried out on some worker, in Unix milliseconds; 0 if there
    /// is none. One that was lost with its worker doesn't count.
    [[nodiscard]] std::int64_t delayedUntilMs(const TaskKey& task) const;

    [[nodiscard]] bool empty() const { return m_starts.empty(); }

    /// Finds again what isn't encoded. To be called after decoding.
    void rebuildIndex();

    friend auto codecFields(UnansweredStarts& v) { return std::tie(v.m_starts); }
    friend auto codecFields(const UnansweredStarts& v) { return std::tie(v.m_starts); }

private:
    /// End of its time, worker id and task.
    using Entry = std::tuple<std::int64_t, std::string, TaskKey>;

    void forgetEarliest();

    std::map<std::string, std::map<TaskKey, UnansweredStart>> m_starts;
    // Indexes derived from the starts; not encoded.
    std::set<Entry> m_byEnd;
    std::set<std::pair<TaskKey, std::string>> m_byTask;
};

CROCUSCOVE_FIELDS(UnansweredStart, v.untilMs, v.wasWorkerSeen)

} // namespace crocuscove::jobs
