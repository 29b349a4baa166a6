#pragma once

#include "crocuscove/base/time.h"

#include <cstdint>
#include <optional>

namespace crocuscove::jobs {

/// Tracks the clock of one worker incarnation and the latest lease granted to it. The worker measures the lease on its
/// own monotonic clock, which may run slower than the local one.
class LeaseClock {
public:
    /// Lowest rate of a worker's clock relative to the local one: the protocol (PROTOCOL) allows a worker to be 2%
    /// slow, and as much again is allowed for the local clock.
    static constexpr double minClockRate = 0.96;

    /// Records a reading of the worker's clock that was requested at `requestedAt` and received at `now`.
    void observe(std::int64_t workerClockMs, base::MonotonicTime requestedAt, base::MonotonicTime now);

    /// Tells whether the worker's clock can have shown `clockMs` at a local time from `from` to `to`. Each incarnation
    /// of a worker has a clock of its own. Before the first observation any reading is possible.
    [[nodiscard]] bool mayHaveShown(std::int64_t clockMs, base::MonotonicTime from, base::MonotonicTime to) const;

    /// Returns the lease deadline for an order sent at `now`, in milliseconds on the worker's clock, and records it as
    /// granted. Returns nothing before the first observation.
    std::optional<std::int64_t> grant(base::Milliseconds lease, base::MonotonicTime now);

    /// Records that another process may have granted a lease that ends at this local time at the latest.
    void assumeGranted(base::MonotonicTime until);

    /// Returns the local time by which every granted and assumed lease has expired, or the time of the last observation
    /// if there is none.
    [[nodiscard]] base::MonotonicTime latestLeaseExpiry() const;

    /// Returns how long ago the worker's clock showed `workerClockMs`, or nothing before the first observation. Up to
    /// 4% of the time since the last observation more than the true time.
    [[nodiscard]] std::optional<base::Milliseconds> age(std::int64_t workerClockMs, base::MonotonicTime now) const;

    /// Returns the least that the worker's clock can have shown at a local time, or nothing before the first
    /// observation.
    [[nodiscard]] std::optional<std::int64_t> earliestClockMs(base::MonotonicTime at) const;

    [[nodiscard]] bool isKnown() const { return m_workerClockMs.has_value(); }

private:
    [[nodiscard]] std::int64_t latestClockMs(base::MonotonicTime now) const;

    std::optional<std::int64_t> m_workerClockMs;
    base::MonotonicTime m_requestedAt;
    base::MonotonicTime m_observedAt;
    std::int64_t m_latestDeadlineMs = 0;
    /// The end of leases of another process, on the local clock.
    base::MonotonicTime m_assumedUntil;
};

} // namespace crocuscove::jobs
