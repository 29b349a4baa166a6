#include "crocuscove/storage/data_folder.h"
#include "crocuscove/storage/recovery.h"

#include <algorithm>
#include <functional>

namespace crocuscove::storage {

namespace {

/// Runs one part of the check and notes its failure.
void note(FolderReport& report, const std::function<void()>& part)
{
    try {
        part();
    } catch (const StorageError& error) {
        report.problems.push_back({ error.file(), error.offset(), error.what() });
    }
}

void describe(FolderReport& report, const FolderContent& content)
{
    report.hardState = content.log.hardState;
    report.snapshotIndex = content.snapshot ? content.snapshot->meta.index : 0;
    report.firstIndex = content.log.previousIndex + 1;
    report.lastIndex = content.log.lastIndex();
    report.logBytes = content.logBytes;
    report.tornTail = content.tornTail;
}

} // namespace

FolderReport checkDataFolder(const std::string& path, const FileHooks& files)
{
    FolderReport report;
    FolderListing listing;
    note(report, [&] {
        listing = listDataFolder(files, path);
        report.segments = listing.segments.size();
        report.folderId = readFormat(files, path).folderId;
    });
    // Opening reads only the newest snapshot. The check also reads older ones that were not removed yet.
    std::ranges::for_each(listing.snapshots, [&](consensus::Index index) {
        if (index != listing.snapshots.back()) {
            note(report, [&] { readSnapshotFile(files, path, index); });
        }
    });
    note(report, [&] { describe(report, readFolderContent(files, path, listing)); });
    return report;
}

} // namespace crocuscove::storage
