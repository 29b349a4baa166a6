#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::document {

enum class FailureDomain {
    Rack,
    DataCentre,
};

/// Queueing class of a request.
enum class WorkClass {
    Short,
    Long,
    Patient,
};

std::string_view failureDomainName(FailureDomain domain);
std::string_view workClassName(WorkClass workClass);

/// Executors the service needs. `spare` executors stay above demand for each failure domain that may be lost.
struct ExecutorRange {
    std::uint32_t minimum = 1;
    std::uint32_t maximum = 1;
    std::uint32_t spare = 0;

    bool operator==(const ExecutorRange&) const = default;
};

struct PoolSection {
    base::PoolId name;
    ExecutorRange executors;
    std::uint32_t slotsPerExecutor = 8;
    std::uint32_t connectionsPerExecutor = 64;
    FailureDomain failureDomain = FailureDomain::Rack;

    bool operator==(const PoolSection&) const = default;
};

/// A route selects the service of a request, by host if given and by the longest path prefix.
struct Route {
    std::optional<std::string> host;
    std::string pathPrefix;

    bool operator==(const Route&) const = default;
};

/// A kind of request. The first one whose method and path prefix match applies.
struct RequestKind {
    std::string name;
    std::optional<std::string> method;
    std::string pathPrefix;
    WorkClass workClass = WorkClass::Short;
    base::Milliseconds deadline { 0 };
    bool isIdempotent = false;

    bool operator==(const RequestKind&) const = default;
};

struct LimitsSection {
    std::uint64_t maxBodyBytes = 1 << 20;
    std::uint32_t maxQueued = 1024;
    std::uint32_t maxInFlightPerClient = 64;

    bool operator==(const LimitsSection&) const = default;
};

/// Weights of fair queueing among client teams.
struct QueueSection {
    std::uint32_t defaultShare = 1;
    std::map<base::TeamId, std::uint32_t> clientShares;

    bool operator==(const QueueSection&) const = default;
};

struct JobQuota {
    std::uint32_t cores = 0;
    std::uint64_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const JobQuota&) const = default;
};

struct JobsSection {
    base::PoolId pool;
    std::uint32_t share = 1;
    JobQuota quota;

    bool operator==(const JobsSection&) const = default;
};

/// A team's one document for its service. docs/document.md explains the fields.
struct ServiceDocument {
    base::ServiceId service;
    base::TeamId team;
    PoolSection pool;
    double minAvailablePercent = 100.0;
    std::vector<Route> routes;
    std::vector<RequestKind> requests;
    LimitsSection limits;
    QueueSection queue;
    std::optional<JobsSection> jobs;

    bool operator==(const ServiceDocument&) const = default;
};

} // namespace crocuscove::document
