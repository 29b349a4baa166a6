#include "crocuscove/base/text.h"

namespace crocuscove::base {

// std::views::split does not compile with the clang 14 that runs the linter.
std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    for (auto end = text.find(separator); end != std::string_view::npos; end = text.find(separator)) {
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.emplace_back(text);
    return parts;
}

} // namespace crocuscove::base
