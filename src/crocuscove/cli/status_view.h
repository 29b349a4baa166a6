#pragma once

#include "crocuscove/cli/admin_answers.h"
#include "crocuscove/document/service_document.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuscove::cli {

/// The document side of a service: its accepted revision, and its content when that could be read.
struct DocumentSide {
    std::uint64_t revision = 0;
    std::optional<document::ServiceDocument> content;
};

struct Difference {
    std::string text;
    std::vector<std::string> reasons;
};

/// Document and fleet of one service side by side.
struct ServiceComparison {
    std::string service;
    std::optional<DocumentSide> document;
    std::optional<ServiceStatus> fleet;
    std::vector<Difference> differences;
};

/// Compares each service that has a document or a state in the fleet, ordered by name.
std::vector<ServiceComparison> compareServices(
    const std::map<std::string, DocumentSide>& documents, const FleetStatus& status);

std::string formatStatus(const std::vector<ServiceComparison>& services, const FleetStatus& status);
JsonValue statusToJson(const std::vector<ServiceComparison>& services, const FleetStatus& status);

} // namespace crocuscove::cli
