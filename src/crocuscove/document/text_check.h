#pragma once

#include "crocuscove/document/problem_list.h"

#include <string_view>

namespace crocuscove::document {

/// Reports a text that is too large, isn't UTF-8, or has control characters. Returns whether it can be parsed.
bool checkText(std::string_view text, ProblemList& problems);

} // namespace crocuscove::document
