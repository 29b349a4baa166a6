#pragma once

#include "crocuscove/storage/file.h"
#include "crocuscove/storage/record.h"

#include <optional>
#include <string>
#include <string_view>

namespace crocuscove::storage {

std::string snapshotName(consensus::Index index);

/// The index in the name of a snapshot file, or nothing for other files.
std::optional<consensus::Index> parseSnapshotName(std::string_view name);

struct SnapshotContent {
    consensus::SnapshotMeta meta;
    std::string data;
};

/// Reads and verifies a snapshot file. Throws StorageError.
SnapshotContent readSnapshotFile(const FileHooks& hooks, const std::string& folder, consensus::Index index);

/// Writes and syncs the temporary file of a snapshot, which publishTemporaryFile() makes the snapshot. Returns the
/// offset of the data in it.
std::uint64_t writeSnapshotFile(
    const FileHooks& hooks, const std::string& folder, const consensus::SnapshotMeta& meta, std::string_view data);

/// The offset of the data in the file of a snapshot.
std::uint64_t snapshotDataOffset(const consensus::SnapshotMeta& meta);

} // namespace crocuscove::storage
