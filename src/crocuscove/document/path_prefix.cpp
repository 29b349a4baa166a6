#include "crocuscove/document/path_prefix.h"

namespace crocuscove::document {

bool isPathPrefix(std::string_view prefix, std::string_view path)
{
    return path.starts_with(prefix)
        && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

} // namespace crocuscove::document
