#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/control/node_message.h"
#include "crocuscove/process/metrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace crocuscove::control {

/// Answers the clients' requests about jobs on the leader.
class JobApi {
public:
    using Reply = std::function<void(ForwardedAnswer)>;
    /// Counts the jobs of a queue that have no due time and no task that has started.
    using WaitingJobs = std::function<std::uint64_t(const jobs::Queue& queue)>;

    JobApi(const base::Log& log, process::Metrics& metrics, Cluster& cluster, WaitingJobs waitingJobs)
        : m_log(log)
        , m_metrics(metrics)
        , m_cluster(cluster)
        , m_waitingJobs(std::move(waitingJobs))
    {
    }

    /// Answers through `reply` exactly once, perhaps after this returns.
    void handle(const ForwardedRequest& request, const Reply& reply);

private:
    void submit(const ForwardedRequest& request, const jobs::Queue& queue, jobs::JobId id, const Reply& reply);
    void cancel(const ForwardedRequest& request, jobs::JobId id, const Reply& reply);
    /// Answers a change at once that couldn't be committed.
    void refuse(const ForwardedRequest& request, jobs::JobId id, const Reply& reply);
    /// Answers a request for a queue in the configuration or for a job of it.
    void answerRouted(const ForwardedRequest& request, const jobs::Queue& queue, const Reply& reply);
    /// Answers a request whose path is that of no queue in the configuration, and of no job of it. `outer` is the queue
    /// with the longest prefix of the path, or a null pointer.
    void answerNotRouted(const ForwardedRequest& request, const jobs::Queue* outer, const Reply& reply);
    /// Tells whether the queue at a URL is no longer in the configuration, but has jobs.
    [[nodiscard]] bool isRemoved(const jobs::QueueUrl& url) const;
    void read(const ForwardedRequest& request, const jobs::Queue& queue, const std::string& name, const Reply& reply);
    void answerRead(
        const ForwardedRequest& request, const jobs::Queue& queue, const std::string& name, const Reply& reply);

    const base::Log& m_log;
    process::Metrics& m_metrics;
    Cluster& m_cluster;
    WaitingJobs m_waitingJobs;
    /// Submitted jobs whose outcome is open, until when a refusal must not say that they don't run.
    std::map<jobs::JobId, base::MonotonicTime> m_openSubmissions;
};

} // namespace crocuscove::control
