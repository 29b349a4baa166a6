#pragma once

#include "crocuscove/base/codec_fields.h"
#include "crocuscove/jobs/job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace crocuscove::jobs {

/// Starts without an answer that are remembered; beyond that the one whose time ends first is forgotten.
inline constexpr std::size_t maxUnansweredStarts = 20'000;

/// The starts that got no answer, by worker id. Whichever incarnation of the id is there when one arrives carries it
/// out, whatever an earlier one has said of the run.
class UnansweredStarts {
public:
    /// Remembers that a start of the task may be carried out until the Unix time `untilMs`.
    void record(const std::string& worker, const TaskKey& task, std::int64_t untilMs);

    /// Forgets the starts whose time ended before the Unix time `beforeMs`.
    void forget(std::int64_t beforeMs);

    /// Returns until when starts that were sent to a worker may be carried out, in Unix milliseconds, by task.
    [[nodiscard]] const std::map<TaskKey, std::int64_t>& of(const std::string& worker) const;

    /// Finds again what isn't encoded. To be called after decoding.
    void rebuildIndex();

    friend auto codecFields(UnansweredStarts& v) { return std::tie(v.m_untilMs); }
    friend auto codecFields(const UnansweredStarts& v) { return std::tie(v.m_untilMs); }

private:
    /// End of its time, worker id and task.
    using Entry = std::tuple<std::int64_t, std::string, TaskKey>;

    void forgetEarliest();

    std::map<std::string, std::map<TaskKey, std::int64_t>> m_untilMs;
    /// The same, sorted. Derived; not encoded.
    std::set<Entry> m_byEnd;
};

} // namespace crocuscove::jobs
