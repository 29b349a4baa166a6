#pragma once

#include "crocuscove/base/codec_fields.h"
#include "crocuscove/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace crocuscove::jobs {

/// Workers that start again within this time of each other may have ended at the same moment.
inline constexpr base::Milliseconds restartSpread { 500 };
/// Restarts within this time of each other tell whether those within `restartSpread` stand out.
inline constexpr base::Milliseconds restartNeighbourhood { 1'500 };
/// Least number of workers that restart together for a common cause.
inline constexpr std::size_t minSharedRestarts = 5;
/// Least share of the restarts in the neighbourhood that are together then. Tasks that crash their workers
/// independently of each other do so at any time, which gives a third.
inline constexpr double minSharedPart = 0.9;
/// Restarts that are remembered; the earliest is forgotten first.
inline constexpr std::size_t maxRestarts = 4'096;

/// When workers have started again after they had ended without notice.
class RestartHistory {
public:
    /// Remembers that a worker of the service started again at the Unix time `startedMs`.
    void record(std::int64_t startedMs, const std::string& worker, const std::string& service);

    /// Tells whether a worker of the service that started again at `startedMs` did so in a burst of restarts, beside
    /// `excepted` others that may have another cause. A start at 0 isn't known, and isn't part of a burst.
    [[nodiscard]] bool isInBurst(std::int64_t startedMs, const std::string& service, std::size_t excepted) const;

    friend auto codecFields(RestartHistory& v) { return std::tie(v.m_services); }
    friend auto codecFields(const RestartHistory& v) { return std::tie(v.m_services); }

private:
    [[nodiscard]] std::size_t countWithin(
        base::Milliseconds spread, std::int64_t startedMs, const std::string& service) const;

    /// Services by the time of a start and the id of the worker.
    std::map<std::pair<std::int64_t, std::string>, std::string> m_services;
};

} // namespace crocuscove::jobs
