#include "crocuscove/storage/term_runs.h"

#include <algorithm>
#include <iterator>

namespace crocuscove::storage {

std::optional<consensus::Term> TermRuns::termAt(consensus::Index index) const
{
    if (index < m_runs.front().firstIndex || index > m_lastIndex) {
        return std::nullopt;
    }
    return std::prev(std::ranges::upper_bound(m_runs, index, {}, &Run::firstIndex))->term;
}

bool TermRuns::accepts(consensus::Index index, consensus::Term term) const
{
    const std::optional<consensus::Term> previous = index > 0 ? termAt(index - 1) : std::nullopt;
    return previous && term >= *previous;
}

void TermRuns::append(consensus::Index index, consensus::Term term)
{
    while (m_runs.size() > 1 && m_runs.back().firstIndex >= index) {
        m_runs.pop_back();
    }
    if (m_runs.back().term != term) {
        m_runs.push_back({ index, term });
    }
    m_lastIndex = index;
}

void TermRuns::dropThrough(consensus::Index index)
{
    const auto after = std::ranges::upper_bound(m_runs, index, {}, &Run::firstIndex);
    if (after != m_runs.begin()) {
        m_runs.erase(m_runs.begin(), std::prev(after));
        m_runs.front().firstIndex = std::max(m_runs.front().firstIndex, index);
    }
}

} // namespace crocuscove::storage
