#include "crocuscove/document/problem_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace crocuscove::document {

namespace {

constexpr std::size_t maxQuotedCharacters = 64;

bool isPrintable(char c) { return c >= 0x20 && c < 0x7f; }

} // namespace

void ProblemList::add(Place place, std::string_view field, std::string cause, std::string allowed)
{
    if (m_problems.size() >= maxProblems) {
        m_problems.back() = { m_file, place.line, place.column, std::string(wholeDocument),
            "further mistakes are not listed", fmt::format("at most {} mistakes are reported", maxProblems) };
        return;
    }
    m_problems.push_back(
        { m_file, place.line, place.column, std::string(field), std::move(cause), std::move(allowed) });
}

std::vector<Problem> ProblemList::sorted() const
{
    std::vector<Problem> problems = m_problems;
    std::ranges::stable_sort(
        problems, {}, [](const Problem& problem) { return std::tuple(problem.line, problem.column); });
    return problems;
}

std::string escapeForMessage(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (isPrintable(c)) {
            escaped += c;
        } else {
            escaped += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        }
    }
    return escaped;
}

std::string quoteForMessage(std::string_view text)
{
    const bool isCut = text.size() > maxQuotedCharacters;
    return fmt::format("'{}{}'", escapeForMessage(text.substr(0, maxQuotedCharacters)), isCut ? "..." : "");
}

std::string describe(const Problem& problem)
{
    const std::string place = problem.line > 0 ? fmt::format(":{}:{}", problem.line, problem.column) : "";
    const std::string allowed = problem.allowed.empty() ? "" : "; allowed: " + problem.allowed;
    return fmt::format("{}{}: {}: {}{}", problem.file, place, problem.field, problem.cause, allowed);
}

} // namespace crocuscove::document
