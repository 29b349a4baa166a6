#pragma once

#include "crocuscove/base/codec_fields.h"
#include "crocuscove/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace crocuscove::jobs {

/// Workers that start again within this time of each other may have ended at the same moment.
inline constexpr base::Milliseconds restartSpread { 500 };
/// Restarts within this time of each other tell whether those within `restartSpread` stand out.
inline constexpr base::Milliseconds restartNeighbourhood { 1'500 };
/// How many workers restart together for a common cause, at least.
struct BurstSize {
    std::size_t workers = 0;
    /// Share of the service's workers.
    std::size_t percent = 0;
};

inline constexpr BurstSize burstSize { 5, 25 };
/// Of a service of few workers, for runs that began apart from others: tasks that start in step and crash their workers
/// look the same.
inline constexpr BurstSize smallBurstSize { 3, 60 };
/// Least share of the restarts in the neighbourhood that are together then. Tasks that crash their workers
/// independently of each other do so at any time, which gives a third.
inline constexpr std::size_t minTogetherPercent = 90;
/// Restarts that are remembered; the one recorded first is forgotten first.
inline constexpr std::size_t maxRestarts = 4'096;
/// A later start, in Unix milliseconds, isn't taken for one: the end of the year 9999.
inline constexpr std::int64_t latestStartMs = 253'402'300'799'999;

/// When workers have started again after an end without notice.
class RestartHistory {
public:
    /// Remembers that a worker of the service ended, and that its successor started at the Unix time `startedMs`.
    void record(const std::string& service, std::int64_t startedMs, const std::string& worker);

    /// Tells whether a restart is one of a burst, in which many of the `workers` workers of the service restarted
    /// together. `excepted` of the others may have another cause. A start that isn't known, at 0, is in no burst.
    [[nodiscard]] bool isInBurst(const std::string& service, std::int64_t startedMs, std::size_t workers,
        std::size_t excepted, const BurstSize& least = burstSize) const;

    /// Finds again what isn't encoded. To be called after decoding.
    void rebuildIndex();

    friend auto codecFields(RestartHistory& v) { return std::tie(v.m_restarts, v.m_lastNumber); }
    friend auto codecFields(const RestartHistory& v) { return std::tie(v.m_restarts, v.m_lastNumber); }

private:
    /// Service, start and id of the worker that had ended.
    using Restart = std::tuple<std::string, std::int64_t, std::string>;

    /// Returns how many workers of the service restarted within `spread` of a time.
    [[nodiscard]] std::size_t countWorkers(
        base::Milliseconds spread, const std::string& service, std::int64_t startedMs) const;

    /// By the order in which they were recorded.
    std::map<std::uint64_t, Restart> m_restarts;
    std::uint64_t m_lastNumber = 0;
    /// The same, sorted. Derived; not encoded.
    std::set<Restart> m_byTime;
};

} // namespace crocuscove::jobs
