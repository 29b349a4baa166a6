#include "crocuscove/storage/segment.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace crocuscove::storage {

namespace {

constexpr std::string_view prefix = "wal-";
constexpr std::string_view suffix = ".log";
/// Unit in which a disk writes, in bytes. After a crash each unit holds its old or its new content.
constexpr std::size_t sectorBytes = 512;

/// Applies records to the log and throws when one contradicts what came before.
class LogReader {
public:
    LogReader(LogImage& log, const std::string& path)
        : m_log(log)
        , m_path(path)
    {
    }

    void apply(const Record& record, std::uint64_t offset)
    {
        m_offset = offset;
        std::visit([this](const auto& body) { apply(body); }, record.body);
    }

    void applyHeader(const SegmentHeader& header, consensus::Index firstIndex)
    {
        m_offset = 0;
        require(header.firstIndex == firstIndex, "the first index differs from the name of the file");
        if (!m_log.hasSegment) {
            m_log.previousIndex = firstIndex - 1;
            m_log.previousTerm = header.previousTerm;
            m_log.hasSegment = true;
        }
        require(m_log.lastIndex() + 1 == firstIndex && m_log.lastTerm() == header.previousTerm,
            "the segment doesn't follow the segment before it");
        m_log.hardState = header.hardState;
    }

    [[noreturn]] void fail(std::string_view cause) const
    {
        throw StorageError(StorageFault::Corrupt, m_path, m_offset, cause);
    }

private:
    void require(bool condition, std::string_view cause) const
    {
        if (!condition) {
            fail(cause);
        }
    }

    void apply(const consensus::Entry& entry)
    {
        require(entry.index > 0 && entry.index <= m_log.lastIndex() + 1, "an entry is missing before this one");
        if (entry.index <= m_log.previousIndex) {
            m_log.entries.clear();
            m_log.previousIndex = entry.index - 1;
            // A segment that was removed held the entry before; the snapshot covers it.
            m_log.previousTerm = 0;
        }
        m_log.entries.resize(entry.index - m_log.previousIndex - 1);
        require(entry.term >= m_log.lastTerm() && entry.term <= m_log.hardState.term, "the term is out of order");
        m_log.entries.push_back(entry);
    }

    void apply(const consensus::HardState& hardState)
    {
        require(hardState.term >= m_log.hardState.term, "the term of the hard state decreases");
        m_log.hardState = hardState;
    }

    void apply(const LogReset& reset)
    {
        m_log.entries.clear();
        m_log.previousIndex = reset.index;
        m_log.previousTerm = reset.term;
    }

    void apply(const SegmentHeader& /*body*/) { fail("a second header"); }
    void apply(const FormatRecord& /*body*/) { fail("a format record in a segment"); }
    void apply(const SnapshotHeader& /*body*/) { fail("a snapshot header in a segment"); }

    LogImage& m_log;
    const std::string& m_path;
    std::uint64_t m_offset = 0;
};

/// Tells whether a later record states that the byte at `offset` was synced before it was written.
bool wasSynced(std::string_view bytes, std::size_t offset)
{
    std::size_t position = offset + 1;
    while (position + recordHeaderBytes < bytes.size()) {
        const ReadRecord read = readRecord(bytes, position);
        if (read.record && read.record->durableBytes > offset && read.record->durableBytes <= position) {
            return true;
        }
        position += read.record ? read.size : 1;
    }
    return false;
}

/// Tells whether a damaged record at `offset` can come from a write that a crash interrupted: the file ends early, or
/// a sector was never written.
bool looksTorn(std::string_view bytes, std::size_t offset, std::size_t size)
{
    if (size > bytes.size() - offset) {
        return true;
    }
    const std::size_t end = offset + size;
    for (std::size_t begin = offset; begin < end;) {
        const std::size_t sectorEnd = std::min(end, (begin / sectorBytes + 1) * sectorBytes);
        if (std::ranges::all_of(bytes.substr(begin, sectorEnd - begin), [](char byte) { return byte == '\0'; })) {
            return true;
        }
        begin = sectorEnd;
    }
    return false;
}

} // namespace

std::string segmentName(consensus::Index firstIndex) { return fmt::format("{}{}{}", prefix, firstIndex, suffix); }

std::optional<consensus::Index> parseSegmentName(std::string_view name)
{
    if (!name.starts_with(prefix) || !name.ends_with(suffix) || name.size() <= prefix.size() + suffix.size()) {
        return std::nullopt;
    }
    const std::string_view digits = name.substr(prefix.size(), name.size() - prefix.size() - suffix.size());
    consensus::Index index = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    const bool valid = error == std::errc() && end == digits.data() + digits.size() && index > 0;
    return valid ? std::optional(index) : std::nullopt;
}

std::optional<consensus::Term> LogImage::termAt(consensus::Index index) const
{
    if (index < previousIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return index == previousIndex ? previousTerm : entries[index - previousIndex - 1].term;
}

void LogImage::dropThrough(consensus::Index index)
{
    previousTerm = termAt(index).value_or(0);
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(index - previousIndex));
    previousIndex = index;
}

std::optional<TornTail> readSegment(
    LogImage& log, std::string_view bytes, const std::string& path, consensus::Index firstIndex, bool isLast)
{
    LogReader reader(log, path);
    // A segment gets its name after its header was synced, so that the header is never torn.
    const ReadRecord header = readRecord(bytes, 0);
    if (!header.record || !std::holds_alternative<SegmentHeader>(header.record->body)) {
        reader.fail("the segment has no valid header");
    }
    reader.applyHeader(std::get<SegmentHeader>(header.record->body), firstIndex);
    std::size_t offset = header.size;
    while (offset < bytes.size()) {
        const ReadRecord read = readRecord(bytes, offset);
        if (!read.record) {
            if (!isLast || !looksTorn(bytes, offset, read.size) || wasSynced(bytes, offset)) {
                throw StorageError(StorageFault::Corrupt, path, offset, "the record is damaged");
            }
            return TornTail { path, offset, bytes.size() - offset };
        }
        reader.apply(*read.record, offset);
        offset += read.size;
    }
    return std::nullopt;
}

} // namespace crocuscove::storage
