#pragma once

#include "crocuscove/storage/recovery.h"
#include "crocuscove/storage/term_runs.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crocuscove::storage {

/// Appends records to the segments of a data folder. After an exception only discardUnsynced() may be called.
class WalWriter {
public:
    WalWriter(const FileHooks& hooks, std::string folder, std::uint64_t segmentBytes);

    /// Starts the first segment of a new folder.
    void create() { startSegment(); }
    /// Goes on after what was read from the folder, and makes it durable.
    void resume(const FolderContent& content, const FolderListing& listing);

    /// Buffers records. Throws base::Error when an entry doesn't continue the log.
    void append(const std::optional<consensus::HardState>& hardState, std::span<const consensus::Entry> entries);
    /// Writes and syncs the buffer, and starts a new segment when the current one is full.
    void flush();
    /// Empties the log, so that it goes on after a snapshot.
    void reset(consensus::Index index, consensus::Term term);
    /// Removes the segments whose entries all lie within a snapshot.
    void removeCovered(consensus::Index snapshotIndex);

    /// Bytes that were appended and are not known to be durable.
    [[nodiscard]] std::size_t unsyncedBytes() const { return m_buffer.size(); }
    /// Cuts off what was written to the current segment after its last successful sync, and makes that durable. Only
    /// resume() may follow. Throws StorageError, Corrupt when synced bytes are missing.
    void discardUnsynced();

    [[nodiscard]] std::optional<consensus::Term> termAt(consensus::Index index) const { return m_terms.termAt(index); }
    [[nodiscard]] std::uint64_t bytes() const;

private:
    struct Segment {
        consensus::Index firstIndex = 1;
        std::uint64_t bytes = 0;
    };

    [[nodiscard]] std::string pathOf(consensus::Index firstIndex) const;
    void startSegment();

    const FileHooks* m_hooks;
    std::string m_folder;
    std::uint64_t m_segmentBytes;
    std::vector<Segment> m_segments;
    std::optional<File> m_file;
    std::string m_buffer;
    consensus::HardState m_hardState;
    TermRuns m_terms;
};

} // namespace crocuscove::storage
