#pragma once

#include "crocuscove/document/parse.h"

#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::document {

/// Line and column in a text, from 1. Columns count bytes.
struct Place {
    int line = 0;
    int column = 0;
};

/// Bound of the problems reported for one document. The last one says that more were left out.
inline constexpr std::size_t maxProblems = 1000;

/// Field name of problems that concern the text as a whole.
inline constexpr std::string_view wholeDocument = "document";

/// Collects the problems of one document.
class ProblemList {
public:
    explicit ProblemList(std::string_view file)
        : m_file(file)
    {
    }

    void add(Place place, std::string_view field, std::string cause, std::string allowed);

    [[nodiscard]] bool empty() const { return m_problems.empty(); }
    [[nodiscard]] std::size_t size() const { return m_problems.size(); }

    /// Returns the problems ordered by place.
    [[nodiscard]] std::vector<Problem> sorted() const;

private:
    std::string m_file;
    std::vector<Problem> m_problems;
};

/// Returns `text` in quotes for a message: printable ASCII, at most 64 characters, the rest escaped or cut.
std::string quoteForMessage(std::string_view text);

/// Returns `text` with every byte outside printable ASCII as \xNN.
std::string escapeForMessage(std::string_view text);

} // namespace crocuscove::document
