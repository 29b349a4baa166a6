#pragma once

#include "crocuscove/document/parse.h"

#include <string>
#include <vector>

namespace crocuscove::document {

/// One difference between two documents. An empty `before` means that the field is new, an empty `after` that it is
/// gone. Requests are named by `requests[<name>]` and routes by `routes[<host><pathPrefix>]`.
struct FieldChange {
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const FieldChange&) const = default;
};

/// Returns the fields whose values differ, defaults included. Layout, comments and the order of routes don't count.
std::vector<FieldChange> diffDocuments(const Document& before, const Document& after);

/// Formats a change as one line: "+ field: after", "- field: before" or "~ field: before -> after".
std::string describe(const FieldChange& change);

/// Formats changes, one line each. Empty when there is none.
std::string describe(const std::vector<FieldChange>& changes);

} // namespace crocuscove::document
