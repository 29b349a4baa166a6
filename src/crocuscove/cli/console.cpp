#include "crocuscove/cli/console.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace crocuscove::cli {

namespace {

constexpr std::size_t columnGap = 2;

std::vector<std::size_t> columnWidths(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    return widths;
}

} // namespace

void Console::write(std::string_view text) { m_surroundings.out << text << std::flush; }

void Console::writeJson(const JsonValue& value)
{
    write(value.dump(-1, ' ', false, JsonValue::error_handler_t::replace) + "\n");
}

void Console::note(std::string_view text)
{
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        m_surroundings.err << printable(line) << "\n";
    }
    m_surroundings.err << std::flush;
}

std::string printable(std::string_view text)
{
    constexpr char firstPrintable = 0x20;
    constexpr char deleteCharacter = 0x7f;
    std::string result(text);
    std::ranges::replace_if(
        result, [](char c) { return (c >= 0 && c < firstPrintable) || c == deleteCharacter; }, '?');
    return result;
}

std::string formatTable(const std::vector<std::vector<std::string>>& rows)
{
    const std::vector<std::size_t> widths = columnWidths(rows);
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += fmt::format("{:<{}}", printable(row[column]), widths[column] + columnGap);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace crocuscove::cli
