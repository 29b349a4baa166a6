#pragma once

#include "crocuscove/consensus/entry.h"

#include <optional>
#include <vector>

namespace crocuscove::storage {

/// The terms of the entries of a log, kept as the first index of each term.
class TermRuns {
public:
    /// An empty log after the entry (index, term).
    explicit TermRuns(consensus::Index index = 0, consensus::Term term = 0)
        : m_runs { { index, term } }
        , m_lastIndex(index)
    {
    }

    [[nodiscard]] consensus::Index lastIndex() const { return m_lastIndex; }
    [[nodiscard]] consensus::Term lastTerm() const { return m_runs.back().term; }
    /// Nothing when the entry isn't held.
    [[nodiscard]] std::optional<consensus::Term> termAt(consensus::Index index) const;
    /// Tells whether an entry may be appended, or may replace a later part of the log.
    [[nodiscard]] bool accepts(consensus::Index index, consensus::Term term) const;

    void append(consensus::Index index, consensus::Term term);
    /// Forgets what lies before `index`.
    void dropThrough(consensus::Index index);

private:
    struct Run {
        consensus::Index firstIndex;
        consensus::Term term;
    };

    std::vector<Run> m_runs;
    consensus::Index m_lastIndex;
};

} // namespace crocuscove::storage
