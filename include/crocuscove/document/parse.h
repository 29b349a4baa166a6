#pragma once

#include "crocuscove/document/fleet_document.h"
#include "crocuscove/document/service_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuscove::document {

/// One mistake in a document. Line and column start at 1; 0 means that the place is unknown.
struct Problem {
    std::string file;
    int line = 0;
    int column = 0;
    std::string field;
    std::string cause;
    std::string allowed;

    bool operator==(const Problem&) const = default;
};

/// Formats a problem as one line: "file:line:column: field: cause; allowed: ...".
std::string describe(const Problem& problem);

using Document = std::variant<ServiceDocument, FleetDocument>;

/// The document, or every mistake found in it. Exactly one of the two is non-empty.
struct ParseResult {
    std::optional<Document> document;
    std::vector<Problem> problems;
};

/// Upper bound of a document's text. Larger texts are refused unread.
inline constexpr std::size_t maxDocumentBytes = 256 * 1024;

/// Parses and validates a document of schema crocuscove/v1. `fileName` appears in problems only.
ParseResult parseDocument(std::string_view text, std::string_view fileName);

/// Returns the id under which a document is stored: its service, or "fleet".
base::ServiceId documentId(const Document& document);

} // namespace crocuscove::document
