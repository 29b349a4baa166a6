#pragma once

#include "crocuscove/jobs/configuration.h"
#include "crocuscove/jobs/job.h"
#include "crocuscove/jobs/run_times.h"

#include <compare>
#include <cstdint>

namespace crocuscove::jobs {

/// Urgency of a job by its latency objective, most urgent first.
enum class Urgency : std::uint8_t {
    /// A long-running job, which earns its benefit as long as it runs.
    LongRunning,
    /// The job can still meet its objective.
    OnTime,
    /// The job can still finish within three times its objective.
    Late,
    Missed,
};

/// Returns the urgency of a job at `nowMs`, in Unix milliseconds.
Urgency urgencyOf(const Job& job, const Queue& queue, const RunTimes& runTimes, std::int64_t nowMs);

/// The order in which the jobs of one service are placed, first to last.
struct JobRank {
    Urgency urgency = Urgency::Missed;
    std::uint32_t priority = 0;
    /// Expected core-milliseconds that the job still needs.
    double remainingWork = 0;
    JobId job = 0;

    auto operator<=>(const JobRank&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Returns the rank of a job at `nowMs`, in Unix milliseconds.
JobRank rankOf(const Job& job, const Queue& queue, const RunTimes& runTimes, std::int64_t nowMs);

} // namespace crocuscove::jobs
