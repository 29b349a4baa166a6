#include "crocuscove/storage/data_folder.h"

#include "crocuscove/storage/memory_files_test.h"
#include "crocuscove/storage/temporary_folder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>

namespace crocuscove::storage {
namespace {

using base::NodeId;
using consensus::Entry;
using consensus::EntryKind;
using consensus::HardState;
using consensus::Index;

const std::string folderPath = "data";

DataFolder openFolder(MemoryFiles& files)
{
    return DataFolder::open(
        { .path = folderPath, .segmentBytes = 500, .chooseFolderId = [] { return 1; }, .files = files.hooks() });
}

std::vector<Entry> entriesFrom(Index first, std::size_t count, consensus::Term term = 1)
{
    std::vector<Entry> entries;
    for (Index index = first; index < first + count; ++index) {
        entries.push_back({ index, term, EntryKind::Normal, "data of entry " + std::to_string(index) });
    }
    return entries;
}

constexpr Index lastSynced = 30;
constexpr Index lastOfBatchBefore = 26;

/// A folder with a snapshot, several segments and a last batch of several records.
void fill(MemoryFiles& files)
{
    DataFolder folder = openFolder(files);
    folder.append(HardState { 1, NodeId("a") }, entriesFrom(1, 6));
    folder.sync();
    folder.saveSnapshot({ 4, 1, { { NodeId("a") }, {} }, 0, 0 }, "the state after entry 4");
    for (Index index = 7; index <= lastOfBatchBefore; index += 2) {
        folder.append(std::nullopt, entriesFrom(index, 2));
        folder.sync();
    }
    folder.append(std::nullopt, entriesFrom(lastOfBatchBefore + 1, lastSynced - lastOfBatchBefore));
    folder.sync();
    EXPECT_GE(files.paths().size(), 5U) << "several segments are wanted";
    EXPECT_GT(files.content(folderPath + "/wal-25.log").size(), 300U) << "the last batch must be in the last segment";
}

/// Opens a damaged folder. Returns whether it was refused; otherwise the content must be right, except that the end of
/// the last batch may be missing.
bool isRefused(MemoryFiles& files)
{
    try {
        DataFolder folder = openFolder(files);
        const Recovered recovered = folder.takeRecovered();
        const std::vector<Entry>& entries = recovered.restored.entries;
        EXPECT_EQ(recovered.snapshotData, "the state after entry 4");
        EXPECT_EQ(recovered.restored.hardState, (HardState { 1, NodeId("a") }));
        EXPECT_GE(entries.size() + 4, lastOfBatchBefore);
        EXPECT_EQ(entries, entriesFrom(5, entries.size()));
        EXPECT_EQ(recovered.tornTail.has_value(), entries.size() + 4 < lastSynced);
        return false;
    } catch (const StorageError& error) {
        EXPECT_NE(error.file(), "");
        return true;
    }
}

// Guards against a damaged byte that is accepted, in every byte of every file.
TEST(DataFolder, DamagedBytesAreNeverAccepted)
{
    MemoryFiles original(1);
    fill(original);
    base::Random random(11);
    std::size_t opened = 0;
    for (const std::string& path : original.paths()) {
        for (std::size_t position = 0; position < original.content(path).size(); ++position) {
            MemoryFiles files(1);
            fill(files);
            char& byte = files.content(path)[position];
            byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1 + random() % 255));
            opened += isRefused(files) ? 0 : 1;
        }
    }
    EXPECT_EQ(opened, 0U) << "a damaged byte looks like the torn end of a write";
}

// Guards against a file cut short that is accepted, other than at the end of the log.
TEST(DataFolder, TruncatedFilesAreRefusedExceptTheEndOfTheLog)
{
    MemoryFiles original(1);
    fill(original);
    const std::set<std::string> paths = original.paths();
    const auto firstIndexOf = [](const std::string& path) {
        const std::size_t number = path.find("wal-");
        return number == std::string::npos ? 0 : std::stoul(path.substr(number + 4));
    };
    const std::string last = *std::ranges::max_element(paths, {}, firstIndexOf);
    for (const std::string& path : paths) {
        const std::size_t size = original.content(path).size();
        const bool isLastSegment = path == last;
        for (std::size_t kept = 0; kept < size && !isLastSegment; ++kept) {
            MemoryFiles files(1);
            fill(files);
            files.content(path).resize(kept);
            EXPECT_TRUE(isRefused(files)) << path << " cut to " << kept;
        }
    }
}

// Guards against random damage of several bytes that crashes or is accepted.
RC_GTEST_PROP(DataFolderProperty, RandomDamageIsNeverAccepted, ())
{
    MemoryFiles files(1);
    fill(files);
    const auto paths = files.paths();
    const auto path = *std::next(paths.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(paths)));
    std::string& content = files.content(path);
    RC_PRE(!content.empty());
    const auto begin = *rc::gen::inRange<std::size_t>(0, content.size());
    const auto bytes
        = *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(1, 30), rc::gen::arbitrary<char>());
    content.replace(begin, std::min(bytes.size(), content.size() - begin), bytes);
    isRefused(files);
    RC_ASSERT(!testing::Test::HasFailure());
}

// Guards against two processes that write to one folder.
TEST(DataFolder, HasOneOwner)
{
    const TemporaryFolder folder;
    const auto open = [&folder] { return DataFolder::open({ .path = folder.path("data") }); };
    const DataFolder first = open();
    try {
        open();
        FAIL() << "the folder was opened twice";
    } catch (const StorageError& error) {
        EXPECT_EQ(error.fault(), StorageFault::Locked);
    }
}

// Guards against a folder that goes on after a failed fsync, when what the disk holds is unknown.
TEST(DataFolder, RefusesEverythingAfterAFailedSync)
{
    MemoryFiles files(1);
    DataFolder folder = openFolder(files);
    folder.append(HardState { 1, {} }, entriesFrom(1, 1));
    files.injectAfter(1, Injection::InputOutputError);
    EXPECT_THROW(folder.sync(), StorageError);
    try {
        folder.sync();
        FAIL() << "a second sync succeeded";
    } catch (const StorageError& error) {
        EXPECT_EQ(error.fault(), StorageFault::FailedBefore);
    }
    EXPECT_THROW(folder.append(std::nullopt, entriesFrom(2, 1)), StorageError);
}

// Guards against an fsync for each record.
TEST(DataFolder, SyncsOncePerBatch)
{
    MemoryFiles files(1);
    DataFolder folder
        = DataFolder::open({ .path = folderPath, .chooseFolderId = [] { return 1; }, .files = files.hooks() });
    const std::size_t before = files.syncs();
    folder.append(HardState { 1, {} }, entriesFrom(1, 100));
    folder.append(std::nullopt, entriesFrom(101, 100));
    folder.sync();
    folder.sync();
    EXPECT_EQ(files.syncs(), before + 1);
}

// Guards against a folder that lost its log or its FORMAT and is taken for a new one, so that it would vote again.
TEST(DataFolder, MissingFilesAreNotTakenForANewFolder)
{
    for (const std::string& path : { folderPath + "/FORMAT", folderPath + "/wal-1.log" }) {
        MemoryFiles files(1);
        {
            DataFolder folder = openFolder(files);
            EXPECT_TRUE(folder.takeRecovered().isNew);
            folder.append(HardState { 1, {} }, entriesFrom(1, 1));
            folder.sync();
        }
        EXPECT_EQ(files.hooks().remove(path), 0);
        EXPECT_THROW(openFolder(files), StorageError) << path;
    }
}

// Guards against entries that leave a gap, or a term that goes back.
TEST(DataFolder, RefusesEntriesThatDoNotContinueTheLog)
{
    MemoryFiles files(1);
    DataFolder folder = openFolder(files);
    folder.append(HardState { 2, {} }, entriesFrom(1, 2, 2));
    EXPECT_THROW(folder.append(std::nullopt, entriesFrom(4, 1, 2)), base::Error);
    EXPECT_THROW(folder.append(std::nullopt, entriesFrom(3, 1, 1)), base::Error);
    EXPECT_THROW(folder.append(std::nullopt, entriesFrom(3, 1, 3)), base::Error) << "above the term of the hard state";
}

// Guards against segments that are kept for ever, and against a snapshot that can't be read in parts.
TEST(DataFolder, SnapshotReplacesSegmentsAndIsReadInParts)
{
    MemoryFiles files(1);
    DataFolder folder = openFolder(files);
    folder.append(HardState { 1, {} }, {});
    for (Index index = 1; index <= 100; ++index) {
        folder.append(std::nullopt, entriesFrom(index, 1));
        folder.sync();
    }
    const std::uint64_t before = folder.logBytes();
    EXPECT_EQ(folder.saveSnapshot({ 95, 1, {}, 0, 0 }, "0123456789").size, 10U);
    EXPECT_LT(folder.logBytes(), before / 4);
    EXPECT_EQ(folder.readSnapshot(95, 0, 4), "0123");
    EXPECT_EQ(folder.readSnapshot(95, 8, 4), "89");
    EXPECT_EQ(folder.readSnapshot(95, 10, 4), "");
    EXPECT_EQ(folder.readSnapshot(94, 0, 4), "");
    EXPECT_THROW(folder.saveSnapshot({ 99, 1, {}, 3, 77 }, "abc"), StorageError) << "a wrong checksum";
}

// Guards against a check that changes the folder, misses damage, or names no place.
TEST(DataFolder, CheckReportsDamageAndChangesNothing)
{
    MemoryFiles files(1);
    fill(files);
    const FolderReport good = checkDataFolder(folderPath, files.hooks());
    EXPECT_TRUE(good.problems.empty());
    EXPECT_EQ(good.snapshotIndex, 4U);
    EXPECT_EQ(good.lastIndex, lastSynced);

    const std::string damaged = folderPath + "/snapshot-4.snap";
    files.content(damaged).back() ^= 1;
    const std::set<std::string> before = files.paths();
    const FolderReport bad = checkDataFolder(folderPath, files.hooks());
    ASSERT_EQ(bad.problems.size(), 1U);
    EXPECT_EQ(bad.problems.front().file, damaged);
    EXPECT_GT(bad.problems.front().offset, 0U);
    EXPECT_EQ(files.paths(), before);
}

// Guards against a torn end that is reported but not removed, or removed but not reported.
TEST(DataFolder, TornEndIsReportedOnceAndRemoved)
{
    const TemporaryFolder folder;
    const std::string path = folder.path("data");
    {
        DataFolder opened = DataFolder::open({ .path = path });
        opened.append(HardState { 1, {} }, entriesFrom(1, 3));
        opened.sync();
    }
    std::ofstream(path + "/wal-1.log", std::ios::app | std::ios::binary) << "half a rec";
    EXPECT_TRUE(checkDataFolder(path).tornTail.has_value());
    {
        DataFolder opened = DataFolder::open({ .path = path });
        const Recovered recovered = opened.takeRecovered();
        ASSERT_TRUE(recovered.tornTail.has_value());
        EXPECT_EQ(recovered.tornTail->removedBytes, 10U);
        EXPECT_EQ(recovered.restored.entries, entriesFrom(1, 3));
    }
    EXPECT_FALSE(checkDataFolder(path).tornTail.has_value());
    EXPECT_FALSE(DataFolder::open({ .path = path }).takeRecovered().tornTail.has_value());
}

} // namespace
} // namespace crocuscove::storage
