#include "queue_head_reporter.h"

#include "platform/task_name.h"

#include <utility>

namespace crocuscove::control {

namespace {

constexpr base::Milliseconds reportInterval { 1'000 };
/// Share of the time that looking for the heads may take.
constexpr double maxReportShare = 0.01;
/// A head that has waited for less is normal while a service is busy.
constexpr base::Milliseconds reportedWait { 1'000 };

} // namespace

QueueHeadReporter::QueueHeadReporter(const base::Log& log, process::Metrics& metrics)
    : m_log(log)
    , m_metrics(metrics)
    , m_pacer(reportInterval, maxReportShare)
{
}

void QueueHeadReporter::report(const jobs::SchedulingView& view, base::MonotonicTime now)
{
    if (now < m_pacer.nextAt()) {
        return;
    }
    std::map<std::string, Waiting> heads;
    for (const jobs::QueueHead& head : jobs::findQueueHeads(view)) {
        const auto known = m_heads.find(head.service);
        const bool isSame = known != m_heads.end() && known->second.task == head.task;
        const auto since = isSame ? known->second.since : now;
        heads[head.service] = { head.task, since };
        if (now - since < reportedWait) {
            continue;
        }
        const std::string_view reason = jobs::waitReasonName(head.reason);
        m_metrics.count("queue_head_waits", std::string(reason));
        m_log.info("queue_head_waits",
            { { "service", head.service }, { "task", platform::taskName(head.task) }, { "reason", reason },
                { "waited_ms", std::chrono::duration_cast<base::Milliseconds>(now - since).count() },
                { "is_long_running", head.urgency == jobs::Urgency::LongRunning },
                { "cpu_milli", head.required.cpuMilli }, { "memory_mb", head.required.memoryMb },
                { "largest_free_cpu_milli", head.largestFree.cpuMilli },
                { "largest_free_memory_mb", head.largestFree.memoryMb }, { "workers", head.allowedWorkers },
                { "long_running_waiting", head.waitingLongRunning } });
    }
    m_heads = std::move(heads);
    m_pacer.record(now, base::monotonicNow());
}

} // namespace crocuscove::control
