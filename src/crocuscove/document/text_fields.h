#pragma once

#include "crocuscove/document/field_reader.h"

#include <optional>
#include <string>

namespace crocuscove::document {

/// Reads an absolute path of a URL: "/" or non-empty segments other than "." and "..", at most 1024 characters.
std::optional<std::string> readPathPrefix(const Field& field, ProblemList& problems);

/// Reads a host name in lower case without a port.
std::optional<std::string> readHost(const Field& field, ProblemList& problems);

/// Reads an HTTP method.
std::optional<std::string> readMethod(const Field& field, ProblemList& problems);

} // namespace crocuscove::document
