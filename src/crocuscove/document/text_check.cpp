#include "crocuscove/document/text_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace crocuscove::document {

namespace {

std::uint8_t byteAt(std::string_view text, std::size_t offset) { return static_cast<std::uint8_t>(text[offset]); }

bool isContinuation(std::string_view text, std::size_t offset, std::uint8_t minimum = 0x80, std::uint8_t maximum = 0xbf)
{
    return offset < text.size() && byteAt(text, offset) >= minimum && byteAt(text, offset) <= maximum;
}

/// Returns the length of the UTF-8 character at `offset`, or 0 for an ill-formed one (table 3-7 of Unicode).
std::size_t characterLength(std::string_view text, std::size_t offset)
{
    const std::uint8_t first = byteAt(text, offset);
    if (first < 0x80) {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf) {
        return isContinuation(text, offset + 1) ? 2 : 0;
    }
    if (first >= 0xe0 && first <= 0xef) {
        const std::uint8_t minimum = first == 0xe0 ? 0xa0 : 0x80;
        const std::uint8_t maximum = first == 0xed ? 0x9f : 0xbf;
        return isContinuation(text, offset + 1, minimum, maximum) && isContinuation(text, offset + 2) ? 3 : 0;
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const std::uint8_t minimum = first == 0xf0 ? 0x90 : 0x80;
        const std::uint8_t maximum = first == 0xf4 ? 0x8f : 0xbf;
        return isContinuation(text, offset + 1, minimum, maximum) && isContinuation(text, offset + 2)
                && isContinuation(text, offset + 3)
            ? 4
            : 0;
    }
    return 0;
}

bool isRefusedControl(std::uint8_t byte)
{
    return byte == 0x7f || (byte < 0x20 && byte != '\t' && byte != '\n' && byte != '\r');
}

Place placeAt(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto lineStart = before.rfind('\n');
    const std::size_t column = lineStart == std::string_view::npos ? offset : offset - lineStart - 1;
    return { static_cast<int>(std::ranges::count(before, '\n')) + 1, static_cast<int>(column) + 1 };
}

} // namespace

bool checkText(std::string_view text, ProblemList& problems)
{
    if (text.size() > maxDocumentBytes) {
        problems.add({}, wholeDocument, fmt::format("the text has {} bytes", text.size()),
            fmt::format("at most {} bytes", maxDocumentBytes));
        return false;
    }
    for (std::size_t offset = 0; offset < text.size();) {
        const std::size_t length = characterLength(text, offset);
        if (length == 0) {
            problems.add(placeAt(text, offset), wholeDocument,
                fmt::format("byte 0x{:02x} is not valid UTF-8", byteAt(text, offset)), "UTF-8");
            return false;
        }
        if (isRefusedControl(byteAt(text, offset))) {
            problems.add(placeAt(text, offset), wholeDocument,
                fmt::format("control character 0x{:02x}", byteAt(text, offset)), "no control characters");
            return false;
        }
        offset += length;
    }
    return true;
}

} // namespace crocuscove::document
