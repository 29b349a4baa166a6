#include "crocuscove/jobs/lease_clock.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::jobs {

void LeaseClock::observe(std::int64_t workerClockMs, base::MonotonicTime requestedAt, base::MonotonicTime now)
{
    // Responses on different connections can arrive out of order; a reading older than the last one is ignored.
    if (!m_workerClockMs || workerClockMs >= *m_workerClockMs) {
        m_workerClockMs = workerClockMs;
        m_requestedAt = requestedAt;
        m_observedAt = now;
    }
}

std::int64_t LeaseClock::latestClockMs(base::MonotonicTime now) const
{
    return *m_workerClockMs + std::chrono::duration_cast<base::Milliseconds>(now - m_observedAt).count();
}

std::optional<base::Milliseconds> LeaseClock::age(std::int64_t workerClockMs, base::MonotonicTime now) const
{
    return m_workerClockMs ? std::optional(base::Milliseconds(latestClockMs(now) - workerClockMs)) : std::nullopt;
}

std::optional<std::int64_t> LeaseClock::earliestClockMs(base::MonotonicTime at) const
{
    if (!m_workerClockMs) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> elapsed = at - m_observedAt;
    const double passed = elapsed.count() >= 0 ? elapsed.count() * minClockRate : elapsed.count() / minClockRate;
    return *m_workerClockMs + static_cast<std::int64_t>(std::floor(passed));
}

bool LeaseClock::mayHaveShown(std::int64_t clockMs, base::MonotonicTime from, base::MonotonicTime to) const
{
    if (!m_workerClockMs) {
        return true;
    }
    // Readings are whole milliseconds.
    constexpr std::int64_t rounding = 1;
    const std::chrono::duration<double, std::milli> elapsed = to - m_requestedAt;
    const std::int64_t latest = *m_workerClockMs + static_cast<std::int64_t>(std::ceil(elapsed.count() / minClockRate));
    return clockMs >= *earliestClockMs(from) - rounding && clockMs <= latest + rounding;
}

std::optional<std::int64_t> LeaseClock::grant(base::Milliseconds lease, base::MonotonicTime now)
{
    if (!m_workerClockMs) {
        return std::nullopt;
    }
    const std::int64_t deadline = latestClockMs(now) + lease.count();
    m_latestDeadlineMs = std::max(m_latestDeadlineMs, deadline);
    return deadline;
}

void LeaseClock::assumeGranted(base::MonotonicTime until) { m_assumedUntil = std::max(m_assumedUntil, until); }

base::MonotonicTime LeaseClock::latestLeaseExpiry() const
{
    if (!m_workerClockMs || m_latestDeadlineMs <= *m_workerClockMs) {
        return std::max(m_observedAt, m_assumedUntil);
    }
    const double remaining = static_cast<double>(m_latestDeadlineMs - *m_workerClockMs) / minClockRate;
    const auto ownEnd = m_observedAt + base::Milliseconds(static_cast<std::int64_t>(std::ceil(remaining)));
    return std::max<base::MonotonicTime>(ownEnd, m_assumedUntil);
}

} // namespace crocuscove::jobs
