#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/time.h"
#include "crocuscove/base/work_pacer.h"
#include "crocuscove/jobs/queue_head.h"
#include "crocuscove/process/metrics.h"

#include <map>
#include <string>

namespace crocuscove::control {

/// Writes a log line and counts an event for each service whose queue is held up by a task that waits at its head, so
/// that the reason can be found afterwards.
class QueueHeadReporter {
public:
    QueueHeadReporter(const base::Log& log, process::Metrics& metrics);

    /// Looks at the heads if it is time to; takes a bounded share of the time.
    void report(const jobs::SchedulingView& view, base::MonotonicTime now);

private:
    struct Waiting {
        jobs::TaskKey task;
        base::MonotonicTime since;
    };

    const base::Log& m_log;
    process::Metrics& m_metrics;
    base::WorkPacer m_pacer;
    /// The head of each service at the last look.
    std::map<std::string, Waiting> m_heads;
};

} // namespace crocuscove::control
