#pragma once

#include "crocuscove/base/codec_fields.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::jobs {

/// Where clients reach a queue.
struct QueueUrl {
    std::string host;
    std::string pathPrefix;

    auto operator<=>(const QueueUrl&) const = default; // NOLINT(modernize-use-nullptr)
};

/// A job queue: the requests that are routed to it and how its jobs are scheduled.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// The service whose workers run the tasks.
    std::string service;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Number of failed runs of one task or gang at which the job fails.
    std::uint32_t maxAttempts = 1;
    /// The latency objective of a job is `stretch` times its critical path, plus `objectiveMarginMs`.
    double stretch = 1.0;
    std::uint32_t objectiveMarginMs = 0;
    /// The workers for a step must be requested from the platform's advice service.
    bool needsAdvice = false;

    [[nodiscard]] QueueUrl url() const { return { host, pathPrefix }; }
    bool operator==(const Queue&) const = default;
};

struct Service {
    std::string name;
    /// The workers reject a task that exceeds their capacity.
    bool refusesOverload = false;
    /// The pool's VMs are switched off until they are moved to another pool.
    bool isStandby = false;

    bool operator==(const Service&) const = default;
};

/// One version of the whole configuration.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    /// The original text from the operator, returned unchanged on a read.
    std::string source;

    /// Returns the queue of `host` with the longest prefix of `path`, or a null pointer if there is none.
    [[nodiscard]] const Queue* match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Queue* findQueue(std::string_view name) const;
    [[nodiscard]] const Queue* findQueueAt(const QueueUrl& url) const;
    [[nodiscard]] const Service* findService(std::string_view name) const;

    bool operator==(const Configuration&) const = default;
};

CROCUSCOVE_FIELDS(QueueUrl, v.host, v.pathPrefix)
CROCUSCOVE_FIELDS(Queue, v.name, v.host, v.pathPrefix, v.service, v.priority, v.maxAttempts, v.stretch,
    v.objectiveMarginMs, v.needsAdvice)
CROCUSCOVE_FIELDS(Service, v.name, v.refusesOverload, v.isStandby)
CROCUSCOVE_FIELDS(Configuration, v.version, v.queues, v.services, v.source)

} // namespace crocuscove::jobs
