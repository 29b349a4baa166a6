#pragma once

#include "crocuscove/cli/console.h"
#include "crocuscove/document/parse.h"

#include <string>
#include <vector>

namespace crocuscove::cli {

/// A valid document with the text that it was read from.
struct DocumentFile {
    std::string text;
    document::Document document;
};

/// Reads at most one byte more than a document may have. Throws InvalidInput when the file can't be read.
std::string readDocumentText(const std::string& path);

/// Reads and parses a file. Throws CommandError with all problems.
DocumentFile readDocumentFile(const std::string& path);

/// Throws the CommandError of a document with problems, one line each.
[[noreturn]] void throwInvalidDocument(const std::vector<document::Problem>& problems);

/// Returns the problems as section 11 of the design gives them.
JsonValue problemsToJson(const std::vector<document::Problem>& problems);

} // namespace crocuscove::cli
