#include "crocuscove/consensus/raft_log.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::consensus {

RaftLog::RaftLog(Restored restored)
    : m_compactedIndex(restored.snapshot.index)
    , m_compactedTerm(restored.snapshot.term)
{
    m_memberships.emplace_back(restored.snapshot.index, std::move(restored.snapshot.membership));
    for (Entry& entry : restored.entries) {
        if (entry.index != lastIndex() + 1 || entry.term < lastTerm()) {
            throw base::Error(fmt::format("restored entry {} of term {} doesn't follow entry {} of term {}",
                entry.index, entry.term, lastIndex(), lastTerm()));
        }
        append(std::move(entry));
    }
    m_handedOutIndex = m_persistedIndex = lastIndex();
}

std::optional<Term> RaftLog::termAt(Index index) const
{
    if (index == m_compactedIndex) {
        return m_compactedTerm;
    }
    if (index < m_compactedIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

Index RaftLog::beforeTermOf(Index index) const
{
    const std::optional<Term> term = termAt(index);
    while (index > m_compactedIndex && termAt(index) == term) {
        --index;
    }
    return index;
}

std::vector<Entry> RaftLog::slice(Index first, Index last, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (Index index = first; index <= last && entries.size() < maxEntries; ++index) {
        bytes += at(index).data.size();
        if (bytes > maxBytes && !entries.empty()) {
            break;
        }
        entries.push_back(at(index));
    }
    return entries;
}

void RaftLog::append(Entry entry)
{
    noteMembership(entry);
    m_bytes += entry.data.size();
    m_entries.push_back(std::move(entry));
}

void RaftLog::truncateFrom(Index index)
{
    while (lastIndex() >= index && !m_entries.empty()) {
        m_bytes -= m_entries.back().data.size();
        m_entries.pop_back();
    }
    while (m_memberships.size() > 1 && m_memberships.back().first > lastIndex()) {
        m_memberships.pop_back();
    }
    m_handedOutIndex = std::min(m_handedOutIndex, lastIndex());
    m_persistedIndex = std::min(m_persistedIndex, lastIndex());
}

void RaftLog::compact(Index index)
{
    while (m_compactedIndex < index && !m_entries.empty()) {
        m_compactedTerm = m_entries.front().term;
        ++m_compactedIndex;
        m_bytes -= m_entries.front().data.size();
        m_entries.pop_front();
    }
    while (m_memberships.size() > 1 && m_memberships[1].first <= m_compactedIndex) {
        m_memberships.erase(m_memberships.begin());
    }
}

void RaftLog::reset(const SnapshotMeta& snapshot)
{
    m_entries.clear();
    m_bytes = 0;
    m_compactedIndex = m_handedOutIndex = m_persistedIndex = snapshot.index;
    m_compactedTerm = snapshot.term;
    m_memberships.assign(1, { snapshot.index, snapshot.membership });
}

const Membership& RaftLog::membershipAt(Index index) const
{
    const auto after = std::ranges::upper_bound(m_memberships, index, {}, &std::pair<Index, Membership>::first);
    return after == m_memberships.begin() ? after->second : std::prev(after)->second;
}

std::vector<Entry> RaftLog::takeUnpersisted()
{
    std::vector<Entry> entries;
    entries.reserve(lastIndex() - m_handedOutIndex);
    while (m_handedOutIndex < lastIndex()) {
        entries.push_back(at(++m_handedOutIndex));
    }
    return entries;
}

void RaftLog::setPersisted(Index index)
{
    m_persistedIndex = std::max(m_persistedIndex, std::min(index, m_handedOutIndex));
}

void RaftLog::noteMembership(const Entry& entry)
{
    if (entry.kind == EntryKind::Membership) {
        m_memberships.emplace_back(entry.index, decodeMembership(entry.data));
    }
}

} // namespace crocuscove::consensus
