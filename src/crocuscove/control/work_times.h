#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/time.h"
#include "crocuscove/process/metrics.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace crocuscove::control {

/// What a control node spends the time of its loop on.
enum class Work : std::uint8_t {
    /// Assigning tasks to workers.
    Plan,
    /// Following applied entries of the log: sessions, orders to workers.
    FollowLog,
    Maintenance,
    Pools,
    Pacing,
    QueueHeads,
    GiveUpTasks,
    ForgetJobs,
};

std::string_view workName(Work work);

/// Measures how long each part of the work holds the loop, during which no heartbeat is sent.
class WorkTimes {
public:
    WorkTimes(const base::Log& log, process::Metrics& metrics)
        : m_log(log)
        , m_metrics(metrics)
    {
    }

    /// Runs a part of the work, records its duration as the operation `work_<name>`, and writes a line if it was long.
    void measure(Work work, const std::function<void()>& run);

    /// Records by how much a timer fired late, as the operation `loop_delay`: that shows also what isn't measured as
    /// a part of the work.
    void recordDelay(base::MonotonicTime due, base::MonotonicTime now);

private:
    const base::Log& m_log;
    process::Metrics& m_metrics;
};

} // namespace crocuscove::control
