#include "crocuscove/jobs/lease_clock.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::jobs {

void LeaseClock::observe(std::int64_t workerClockMs, base::MonotonicTime now)
{
    // Responses on different connections can arrive out of order; a reading older than the last one is ignored.
    if (!m_workerClockMs || workerClockMs >= *m_workerClockMs) {
        m_workerClockMs = workerClockMs;
        m_observedAt = now;
    }
}

std::int64_t LeaseClock::latestClockMs(base::MonotonicTime now) const
{
    return *m_workerClockMs + std::chrono::duration_cast<base::Milliseconds>(now - m_observedAt).count();
}

std::optional<std::int64_t> LeaseClock::grant(base::Milliseconds lease, base::MonotonicTime now)
{
    if (!m_workerClockMs) {
        return std::nullopt;
    }
    const std::int64_t deadline = latestClockMs(now) + lease.count();
    m_grantedMs = std::max(m_grantedMs, deadline);
    return deadline;
}

base::MonotonicTime LeaseClock::certainEnd() const
{
    if (!m_workerClockMs || m_grantedMs <= *m_workerClockMs) {
        return m_observedAt;
    }
    const double remaining = static_cast<double>(m_grantedMs - *m_workerClockMs) / slowestRate;
    return m_observedAt + base::Milliseconds(static_cast<std::int64_t>(std::ceil(remaining)));
}

} // namespace crocuscove::jobs
