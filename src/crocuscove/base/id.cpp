#include "crocuscove/base/id.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::base {

namespace {

constexpr bool isLetter(char c) { return c >= 'a' && c <= 'z'; }

constexpr bool isIdCharacter(char c) { return isLetter(c) || (c >= '0' && c <= '9') || c == '-'; }

} // namespace

bool isValidId(std::string_view text)
{
    return !text.empty() && text.size() <= maxIdCharacters && isLetter(text.front()) && text.back() != '-'
        && std::ranges::all_of(text, isIdCharacter);
}

void requireValidId(std::string_view text, std::string_view what)
{
    if (!isValidId(text)) {
        throw InvalidInput(
            fmt::format("{} id '{}' is invalid; allowed: {}", what, text.substr(0, maxIdCharacters), idFormat));
    }
}

} // namespace crocuscove::base
