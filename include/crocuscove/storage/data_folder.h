#pragma once

#include "crocuscove/consensus/entry.h"
#include "crocuscove/storage/file_hooks.h"
#include "crocuscove/storage/storage_error.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::storage {

struct DataFolderOptions {
    std::string path;
    /// A new segment is started once the current one has this many bytes.
    std::uint64_t segmentBytes = std::uint64_t { 16 } * 1024 * 1024;
    /// Room that the disk must have, beside what could not be written, before a folder is used again after a failure,
    /// in bytes.
    std::size_t requiredRoomBytes = std::size_t { 256 } * 1024;
    /// Gives a new folder its id. By default the operating system's random device.
    std::function<std::uint64_t()> chooseFolderId = nullptr;
    FileHooks files = systemFiles();
};

/// Bytes of an unfinished write that were cut off the end of the last segment.
struct TornTail {
    std::string file;
    std::uint64_t offset = 0;
    std::uint64_t removedBytes = 0;
};

/// What a folder held when it was opened.
struct Recovered {
    consensus::Restored restored;
    /// The bytes of the snapshot, when restored.snapshot.index isn't 0.
    std::string snapshotData;
    std::optional<TornTail> tornTail;
    /// Set when the folder was empty, so that it must be bootstrapped or joined to a cluster.
    bool isNew = false;
};

/// The data folder of one voter: log, hard state and snapshots. After a failed change every call throws until reopen()
/// has succeeded. Only a snapshot that could not be written leaves the folder as it was.
class DataFolder {
public:
    /// Locks the folder, creating it when it is missing, and recovers its content. Throws StorageError.
    static DataFolder open(DataFolderOptions options);

    ~DataFolder();
    DataFolder(DataFolder&&) noexcept;
    DataFolder& operator=(DataFolder&&) noexcept;
    DataFolder(const DataFolder&) = delete;
    DataFolder& operator=(const DataFolder&) = delete;

    /// Recovers the content again after a failed change, as open() does, but trusts nothing that was written after the
    /// last successful sync: after a failed sync the page cache may show bytes that aren't on the disk. Throws
    /// StorageError, also while the disk has no room for some more writes; then it may be called again.
    void reopen();

    /// Returns what open() or reopen() recovered. To be called once after each.
    Recovered takeRecovered();

    /// A random number that was chosen when the folder was created, from which a node id can be derived that is not
    /// used again after the disk was lost.
    [[nodiscard]] std::uint64_t folderId() const;

    /// Buffers a hard state and entries. An entry whose index is in the log replaces it and all later ones.
    void append(const std::optional<consensus::HardState>& hardState, std::span<const consensus::Entry> entries);

    /// Makes everything appended durable, with one write and one fsync.
    void sync();

    /// Makes a snapshot durable, then removes older snapshots and the segments it covers. When the log lacks the
    /// snapshot's last entry, the log is emptied. Fills in size and checksum and returns the result. Throws
    /// StorageError when `meta` states a size or checksum other than zero that `data` doesn't have.
    consensus::SnapshotMeta saveSnapshot(consensus::SnapshotMeta meta, std::string_view data);

    /// Returns up to `maxBytes` of the snapshot at `index`, or nothing when that snapshot was removed.
    [[nodiscard]] std::string readSnapshot(consensus::Index index, std::uint64_t offset, std::size_t maxBytes) const;

    /// Bytes of the segments in the folder.
    [[nodiscard]] std::uint64_t logBytes() const;

    /// Tells whether a change has failed, so that reopen() is needed.
    [[nodiscard]] bool hasFailed() const;

private:
    class Impl;
    explicit DataFolder(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// One problem found in a data folder.
struct FolderProblem {
    std::string file;
    std::uint64_t offset = 0;
    std::string cause;
};

/// Report about a data folder for an operator.
struct FolderReport {
    std::uint64_t folderId = 0;
    consensus::HardState hardState;
    consensus::Index snapshotIndex = 0;
    consensus::Index firstIndex = 0;
    consensus::Index lastIndex = 0;
    std::size_t segments = 0;
    std::uint64_t logBytes = 0;
    std::optional<TornTail> tornTail;
    std::vector<FolderProblem> problems;
};

/// Reads a data folder without changing or locking it, and reports what opening it would find.
FolderReport checkDataFolder(const std::string& path, const FileHooks& files = systemFiles());

} // namespace crocuscove::storage
