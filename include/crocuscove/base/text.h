#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::base {

/// Returns the parts of `text` between separators. An empty text has one empty part.
std::vector<std::string> split(std::string_view text, char separator);

} // namespace crocuscove::base
