#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/cli/admin_answers.h"
#include "crocuscove/cli/admin_client.h"
#include "crocuscove/cli/command_error.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuscove::cli {

/// Where the admin listener is, and how long one call may take.
struct ServerOptions {
    base::Endpoint server { "127.0.0.1", 8081 };
    base::Milliseconds timeout { 10000 };
};

struct StoredDocument {
    std::string text;
    std::uint64_t revision = 0;
};

// The reading calls throw CommandError: Unavailable without a whole answer, Failed for an answer that makes no sense.

std::vector<DocumentSummary> fetchDocumentList(const ServerOptions& options);

/// Returns nothing when the service has no document, or not that revision.
std::optional<StoredDocument> fetchDocument(
    const ServerOptions& options, const base::ServiceId& service, std::optional<std::uint64_t> revision = std::nullopt);

std::vector<RevisionRecord> fetchHistory(const ServerOptions& options, const base::ServiceId& service);
Rollout fetchRollout(const ServerOptions& options, const base::ServiceId& service);
FleetStatus fetchStatus(const ServerOptions& options);

/// Returns the error of a service without a document.
CommandError noDocument(const base::ServiceId& service);

} // namespace crocuscove::cli
