#pragma once

#include "crocuscove/cli/console.h"
#include "crocuscove/document/parse.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::cli {

struct DocumentSummary {
    std::string service;
    std::uint64_t revision = 0;
    std::string team;
};

struct RevisionRecord {
    std::uint64_t revision = 0;
    std::int64_t appliedAtMs = 0;
    std::string requestId;
};

struct NodeRollout {
    std::string node;
    std::uint64_t revision = 0;
    bool isInForce = false;
};

struct Rollout {
    std::uint64_t revision = 0;
    std::vector<NodeRollout> nodes;
};

struct ServiceStatus {
    std::string service;
    std::uint64_t revision = 0;
    std::uint64_t wanted = 0;
    std::uint64_t inService = 0;
    std::vector<std::string> reasons;
};

struct NodeStatus {
    std::string node;
    std::string role;
    std::string leader;
    std::uint64_t applied = 0;
    bool isReady = false;
};

struct VmStatus {
    std::string vm;
    std::string pool;
    std::string phase;
    std::string reason;
};

struct FleetStatus {
    std::vector<ServiceStatus> services;
    std::vector<NodeStatus> nodes;
    std::vector<VmStatus> vms;
    JsonValue maintenance;
};

struct Conflict {
    std::uint64_t revisionInForce = 0;
    /// One line for each difference, none when the contents are equal. Absent when the server doesn't tell.
    std::optional<std::vector<std::string>> difference;
};

// Each function reads the JSON body of an answer and throws nlohmann::json::exception when it has another form.

std::vector<DocumentSummary> readDocumentList(std::string_view body);
std::vector<RevisionRecord> readHistory(std::string_view body);
Rollout readRollout(std::string_view body);
FleetStatus readStatus(std::string_view body);
std::uint64_t readAppliedRevision(std::string_view body);
std::vector<document::Problem> readProblems(std::string_view body);
Conflict readConflict(std::string_view body);

} // namespace crocuscove::cli
