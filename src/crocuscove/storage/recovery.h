#pragma once

#include "crocuscove/storage/segment.h"
#include "crocuscove/storage/snapshot_file.h"

#include <string>
#include <vector>

namespace crocuscove::storage {

inline constexpr std::string_view formatName = "FORMAT";
inline constexpr std::string_view lockName = "LOCK";
inline constexpr std::uint64_t formatVersion = 1;

/// The files of a data folder by kind; indexes are sorted.
struct FolderListing {
    std::vector<consensus::Index> segments;
    std::vector<consensus::Index> snapshots;
    std::vector<std::string> temporary;
    bool hasFormat = false;
};

FolderListing listDataFolder(const FileHooks& hooks, const std::string& folder);

/// Reads and verifies FORMAT. Throws StorageError, also for a newer version.
FormatRecord readFormat(const FileHooks& hooks, const std::string& folder);

/// What the snapshot and the segments give together.
struct FolderContent {
    std::optional<SnapshotContent> snapshot;
    LogImage log;
    std::optional<TornTail> tornTail;
    std::uint64_t logBytes = 0;
    std::uint64_t lastSegmentBytes = 0;
    /// The log doesn't hold the end of the snapshot, so it must be emptied before it is continued.
    bool needsReset = false;
    /// The snapshot was received in a term that the hard state hadn't reached yet.
    bool needsHardState = false;
};

/// Reads everything without changing it. Throws StorageError for damage other than a torn end.
FolderContent readFolderContent(const FileHooks& hooks, const std::string& folder, const FolderListing& listing);

} // namespace crocuscove::storage
