#pragma once

#include <string_view>

namespace crocuscove::document {

/// Tells whether `prefix` covers `path`: equal, or a prefix that ends at a '/'. "/a" covers "/a/b" but not "/ab".
bool isPathPrefix(std::string_view prefix, std::string_view path);

} // namespace crocuscove::document
