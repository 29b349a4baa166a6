#pragma once

#include "crocuscove/cli/admin_api.h"

#include <string>
#include <vector>

namespace crocuscove::cli {

/// A write of a document. The server executes a request id at most once, so the same write may be sent again.
struct DocumentWrite {
    base::ServiceId service;
    std::string text;
    std::uint64_t expectedRevision = 0;
    std::string requestId;
};

enum class WriteOutcome {
    Applied,
    InvalidDocument,
    Conflict,
    /// The server refused the request for another reason.
    Refused,
    NotExecuted,
    Unknown,
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::uint64_t revision = 0;
    std::vector<document::Problem> problems {};
    Conflict conflict {};
    std::string cause {};
};

/// Returns what one answer says about the write.
WriteResult interpretAnswer(const Exchange& answer);

/// Sends the write until an answer settles it or the timeout passes. The outcome is NotExecuted only when no attempt
/// can have been executed.
WriteResult writeDocument(const ServerOptions& options, const DocumentWrite& write);

} // namespace crocuscove::cli
