#include "crocuscove/storage/recovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace crocuscove::storage {

namespace {

void readSegments(
    FolderContent& content, const FileHooks& hooks, const std::string& folder, const FolderListing& listing)
{
    const consensus::Index snapshotIndex = content.snapshot ? content.snapshot->meta.index : 0;
    for (auto segment = listing.segments.begin(); segment != listing.segments.end(); ++segment) {
        const auto following = std::next(segment);
        const bool isLast = following == listing.segments.end();
        // Removed segments may come back in any order after a crash.
        if (!isLast && *following <= snapshotIndex + 1) {
            continue;
        }
        const consensus::Index firstIndex = *segment;
        const File file(hooks, folder + "/" + segmentName(firstIndex), OpenMode::Read);
        const std::string bytes = file.read(0, file.size());
        content.tornTail = readSegment(content.log, bytes, file.path(), firstIndex, isLast);
        content.logBytes += bytes.size();
        content.lastSegmentBytes = content.tornTail ? content.tornTail->offset : bytes.size();
    }
}

/// Makes the log start after the snapshot.
void joinWithSnapshot(FolderContent& content, const std::string& folder)
{
    const consensus::SnapshotMeta meta = content.snapshot ? content.snapshot->meta : consensus::SnapshotMeta {};
    LogImage& log = content.log;
    if (log.previousIndex > meta.index) {
        throw StorageError(StorageFault::Corrupt, folder, 0,
            fmt::format(
                "the log starts after entry {}, but the newest snapshot ends at {}", log.previousIndex, meta.index));
    }
    if (meta.term > log.hardState.term) {
        log.hardState = { meta.term, {} };
        content.needsHardState = true;
    }
    if (log.termAt(meta.index) == meta.term) {
        log.dropThrough(meta.index);
    } else {
        // A crash came between saving a snapshot from the leader and emptying the log.
        log.entries.clear();
        log.previousIndex = meta.index;
        log.previousTerm = meta.term;
        content.needsReset = true;
    }
}

} // namespace

FolderListing listDataFolder(const FileHooks& hooks, const std::string& folder)
{
    std::vector<std::string> names;
    checkResult(hooks.list(folder, names), folder, 0, "list folder");
    FolderListing listing;
    for (const std::string& name : names) {
        if (const auto segment = parseSegmentName(name)) {
            listing.segments.push_back(*segment);
        } else if (const auto snapshot = parseSnapshotName(name)) {
            listing.snapshots.push_back(*snapshot);
        } else if (name.ends_with(temporarySuffix)) {
            listing.temporary.push_back(name);
        } else if (name == formatName) {
            listing.hasFormat = true;
        }
    }
    std::ranges::sort(listing.segments);
    std::ranges::sort(listing.snapshots);
    return listing;
}

FormatRecord readFormat(const FileHooks& hooks, const std::string& folder)
{
    const File file(hooks, folder + "/" + std::string(formatName), OpenMode::Read);
    const std::string bytes = file.read(0, file.size());
    const ReadRecord read = readRecord(bytes, 0);
    if (!read.record || read.size != bytes.size() || !std::holds_alternative<FormatRecord>(read.record->body)) {
        throw StorageError(StorageFault::Corrupt, file.path(), 0, "the record is damaged");
    }
    const FormatRecord& format = std::get<FormatRecord>(read.record->body);
    if (format.version != formatVersion) {
        throw StorageError(StorageFault::UnknownFormat, file.path(), 0,
            fmt::format(
                "version {} was written by another release; this one reads version {}", format.version, formatVersion));
    }
    return format;
}

FolderContent readFolderContent(const FileHooks& hooks, const std::string& folder, const FolderListing& listing)
{
    FolderContent content;
    if (!listing.snapshots.empty()) {
        content.snapshot = readSnapshotFile(hooks, folder, listing.snapshots.back());
    }
    if (listing.segments.empty()) {
        throw StorageError(StorageFault::Corrupt, folder, 0, "the folder has no log segment");
    }
    readSegments(content, hooks, folder, listing);
    joinWithSnapshot(content, folder);
    return content;
}

} // namespace crocuscove::storage
