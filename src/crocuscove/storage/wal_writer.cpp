#include "crocuscove/storage/wal_writer.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace crocuscove::storage {

WalWriter::WalWriter(const FileHooks& hooks, std::string folder, std::uint64_t segmentBytes)
    : m_hooks(&hooks)
    , m_folder(std::move(folder))
    , m_segmentBytes(segmentBytes)
{
}

void WalWriter::discardUnsynced()
{
    const Segment& segment = m_segments.back();
    File file(*m_hooks, pathOf(segment.firstIndex), OpenMode::Append);
    const std::uint64_t size = file.size();
    if (size < segment.bytes) {
        throw StorageError(StorageFault::Corrupt, file.path(), size, "the file is shorter than what was synced");
    }
    if (size > segment.bytes) {
        file.truncate(segment.bytes);
    }
    file.sync();
}

void WalWriter::resume(const FolderContent& content, const FolderListing& listing)
{
    std::vector<Segment> segments;
    for (const consensus::Index firstIndex : listing.segments) {
        segments.push_back({ firstIndex, File(*m_hooks, pathOf(firstIndex), OpenMode::Read).size() });
    }
    segments.back().bytes = content.lastSegmentBytes;
    m_file.emplace(*m_hooks, pathOf(segments.back().firstIndex), OpenMode::Append);
    if (content.tornTail) {
        m_file->truncate(content.tornTail->offset);
    }
    // A process that was killed before a sync leaves records that can be read but aren't durable.
    m_file->sync();
    m_segments = std::move(segments);
    m_buffer.clear();
    m_hardState = content.log.hardState;
    m_terms = TermRuns(content.log.previousIndex, content.log.previousTerm);
    std::ranges::for_each(
        content.log.entries, [this](const consensus::Entry& entry) { m_terms.append(entry.index, entry.term); });
}

void WalWriter::append(const std::optional<consensus::HardState>& hardState, std::span<const consensus::Entry> entries)
{
    const std::uint64_t durableBytes = m_segments.back().bytes;
    if (hardState) {
        m_hardState = *hardState;
        appendRecord(m_buffer, durableBytes, *hardState);
    }
    for (const consensus::Entry& entry : entries) {
        if (!m_terms.accepts(entry.index, entry.term) || entry.term > m_hardState.term) {
            throw base::Error(
                fmt::format("entry {} of term {} doesn't continue the stored log, which ends at entry {} of term {}",
                    entry.index, entry.term, m_terms.lastIndex(), m_terms.lastTerm()));
        }
        m_terms.append(entry.index, entry.term);
        appendRecord(m_buffer, durableBytes, entry);
    }
}

void WalWriter::flush()
{
    if (m_buffer.empty()) {
        return;
    }
    Segment& segment = m_segments.back();
    m_file->write(m_buffer, segment.bytes);
    m_file->sync();
    segment.bytes += m_buffer.size();
    m_buffer.clear();
    // Names of segments must rise, also after entries of an earlier segment were replaced.
    if (segment.bytes >= m_segmentBytes && m_terms.lastIndex() + 1 > segment.firstIndex) {
        startSegment();
    }
}

void WalWriter::reset(consensus::Index index, consensus::Term term)
{
    appendRecord(m_buffer, m_segments.back().bytes, LogReset { index, term });
    m_terms = TermRuns(index, term);
    flush();
}

void WalWriter::removeCovered(consensus::Index snapshotIndex)
{
    bool removed = false;
    while (m_segments.size() > 1 && m_segments[1].firstIndex <= snapshotIndex + 1) {
        const std::string path = pathOf(m_segments.front().firstIndex);
        checkResult(m_hooks->remove(path), path, 0, "remove");
        m_segments.erase(m_segments.begin());
        removed = true;
    }
    if (removed) {
        checkResult(m_hooks->syncFolder(m_folder), m_folder, 0, "sync folder");
    }
    m_terms.dropThrough(snapshotIndex);
}

std::uint64_t WalWriter::bytes() const
{
    std::uint64_t bytes = 0;
    std::ranges::for_each(m_segments, [&bytes](const Segment& segment) { bytes += segment.bytes; });
    return bytes;
}

std::string WalWriter::pathOf(consensus::Index firstIndex) const { return m_folder + "/" + segmentName(firstIndex); }

/// The segment gets its name after its header is durable, so that it always has a whole header.
void WalWriter::startSegment()
{
    const consensus::Index firstIndex = m_terms.lastIndex() + 1;
    std::string header;
    appendRecord(header, 0, SegmentHeader { firstIndex, m_terms.lastTerm(), m_hardState });
    writeWholeFile(*m_hooks, m_folder, segmentName(firstIndex), { header });
    m_file.emplace(*m_hooks, pathOf(firstIndex), OpenMode::Append);
    m_segments.push_back({ firstIndex, header.size() });
}

} // namespace crocuscove::storage
