#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/jobs/worker.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace crocuscove::jobs {

/// How far the clock of a worker may be ahead of that of the leader.
inline constexpr base::Milliseconds maxClockLead { 24 * 3'600 * 1'000 };

/// Tells whether the worker can have started when its report says, at the Unix time `nowMs`. A later start would
/// outdate all reports of the worker's true incarnation.
bool hasPossibleStart(const WorkerReport& report, std::int64_t nowMs);

/// What a report says that the recorded state of its worker doesn't hold yet.
enum class WorkerChange {
    None,
    /// More capacity, and nothing else.
    Growth,
    /// Less capacity, draining, or another address, service, zone, label or incarnation.
    Other,
};

/// Compares a report with the last recorded one of the same worker id. A report of an earlier incarnation, and one that
/// isn't later than the recorded one, changes nothing.
WorkerChange compareReports(const WorkerReport& known, const WorkerReport& report);

/// Returns the report with no more of any resource than the recorded one.
WorkerReport withoutGrowth(const WorkerReport& known, WorkerReport report);

/// Time between a recorded change of a worker's capacity and the next growth that is recorded. Less capacity is
/// recorded at once, so that a capacity that goes up and down adds two entries to the log in this time.
inline constexpr base::Milliseconds growthInterval { 5'000 };
/// A worker sends its report to another node when it got no answer in this time, so that an older report may have been
/// overtaken by one with less capacity that changed nothing and was therefore not recorded.
inline constexpr base::Milliseconds maxGrowthReportAge { 1'000 };

/// Why more capacity is not recorded yet.
enum class GrowthRefusal {
    None,
    /// The capacity has changed within `growthInterval`.
    TooSoon,
    /// The report is older than `maxGrowthReportAge`, or its age isn't known.
    OldReport,
};

std::string_view growthRefusalName(GrowthRefusal refusal);

/// Tells whether a growth may be recorded. `nextGrowthAt` is `growthInterval` after the last recorded change; a
/// `reportAge` without a value is unknown.
GrowthRefusal checkGrowth(
    base::MonotonicTime now, base::MonotonicTime nextGrowthAt, std::optional<base::Milliseconds> reportAge);

} // namespace crocuscove::jobs
