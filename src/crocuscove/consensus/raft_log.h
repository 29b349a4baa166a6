#pragma once

#include "crocuscove/consensus/entry.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace crocuscove::consensus {

/// The entries after the compacted index, and the membership in force at each of them.
class RaftLog {
public:
    explicit RaftLog(Restored restored);

    [[nodiscard]] Index compactedIndex() const { return m_compactedIndex; }
    [[nodiscard]] Index lastIndex() const { return m_compactedIndex + m_entries.size(); }
    [[nodiscard]] Term lastTerm() const { return m_entries.empty() ? m_compactedTerm : m_entries.back().term; }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

    /// Empty when the log doesn't contain the index.
    [[nodiscard]] std::optional<Term> termAt(Index index) const;
    [[nodiscard]] const Entry& at(Index index) const { return m_entries[index - m_compactedIndex - 1]; }
    /// The highest index up to `index` whose term differs from the term at `index`.
    [[nodiscard]] Index beforeTermOf(Index index) const;

    /// Entries from `first` through `last`, up to the bounds, but at least one.
    [[nodiscard]] std::vector<Entry> slice(Index first, Index last, std::size_t maxEntries, std::size_t maxBytes) const;

    void append(Entry entry);
    void truncateFrom(Index index);
    void compact(Index index);
    /// Replaces the log by a snapshot; the next entry follows the index of the snapshot.
    void reset(const SnapshotMeta& snapshot);

    [[nodiscard]] const Membership& membership() const { return m_memberships.back().second; }
    /// Index of the entry that gave the membership in force, 0 when none did.
    [[nodiscard]] Index membershipIndex() const { return m_memberships.back().first; }
    [[nodiscard]] const Membership& membershipAt(Index index) const;

    /// The last index that takeUnpersisted() returned, and the last one known to be durable.
    [[nodiscard]] Index handedOutIndex() const { return m_handedOutIndex; }
    [[nodiscard]] Index persistedIndex() const { return m_persistedIndex; }
    std::vector<Entry> takeUnpersisted();
    void setPersisted(Index index);

private:
    void noteMembership(const Entry& entry);

    Index m_compactedIndex;
    Term m_compactedTerm;
    std::deque<Entry> m_entries;
    std::size_t m_bytes = 0;
    std::vector<std::pair<Index, Membership>> m_memberships;
    Index m_handedOutIndex = 0;
    Index m_persistedIndex = 0;
};

} // namespace crocuscove::consensus
