#include "work_times.h"

#include "crocuscove/base/enum_names.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace crocuscove::control {

namespace {

constexpr auto workNames = base::enumNames<Work>({
    { Work::Plan, "plan" },
    { Work::FollowLog, "follow-log" },
    { Work::Maintenance, "maintenance" },
    { Work::Pools, "pools" },
    { Work::Pacing, "pacing" },
    { Work::QueueHeads, "queue-heads" },
    { Work::GiveUpTasks, "give-up-tasks" },
    { Work::ForgetJobs, "forget-jobs" },
});

/// Below the interval of heartbeats.
constexpr base::Milliseconds longWork { 50 };

} // namespace

std::string_view workName(Work work) { return workNames.name(work); }

void WorkTimes::measure(Work work, const std::function<void()>& run)
{
    const auto begin = base::monotonicNow();
    run();
    const auto taken = base::monotonicNow() - begin;
    m_metrics.observe("work_" + std::string(workName(work)), std::chrono::duration<double>(taken).count());
    if (taken >= longWork) {
        m_log.warning("long_work",
            { { "work", workName(work) },
                { "took_ms", std::chrono::duration_cast<base::Milliseconds>(taken).count() } });
    }
}

void WorkTimes::recordDelay(base::MonotonicTime due, base::MonotonicTime now)
{
    const auto delay = std::max(now - due, base::MonotonicTime::duration::zero());
    m_metrics.observe("loop_delay", std::chrono::duration<double>(delay).count());
    if (delay >= longWork) {
        m_log.warning(
            "loop_delayed", { { "delay_ms", std::chrono::duration_cast<base::Milliseconds>(delay).count() } });
    }
}

} // namespace crocuscove::control
