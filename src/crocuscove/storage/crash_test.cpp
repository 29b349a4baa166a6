#include "crocuscove/storage/data_folder.h"
#include "crocuscove/storage/memory_files_test.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace crocuscove::storage {
namespace {

using base::NodeId;
using consensus::Entry;
using consensus::EntryKind;
using consensus::HardState;
using consensus::Index;
using consensus::SnapshotMeta;
using consensus::Term;

const std::string folderPath = "data";

/// What a folder must hold after some number of changes.
struct Model {
    HardState hardState;
    SnapshotMeta snapshot;
    std::string snapshotData;
    std::vector<Entry> entries;

    [[nodiscard]] Index lastIndex() const { return snapshot.index + entries.size(); }
    [[nodiscard]] Term termAt(Index index) const
    {
        return index == snapshot.index ? snapshot.term : entries[index - snapshot.index - 1].term;
    }

    void apply(const Entry& entry)
    {
        entries.resize(entry.index - snapshot.index - 1);
        entries.push_back(entry);
    }

    void apply(const SnapshotMeta& meta, const std::string& data)
    {
        if (meta.index <= lastIndex() && termAt(meta.index) == meta.term) {
            entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(meta.index - snapshot.index));
        } else {
            entries.clear();
        }
        snapshot = meta;
        snapshotData = data;
        if (hardState.term < meta.term) {
            hardState = { meta.term, {} };
        }
    }

    bool operator==(const Model&) const = default;
};

/// Makes random changes to a folder on files that crash, and compares what is recovered.
class CrashRun {
public:
    explicit CrashRun(std::uint64_t seed)
        : files(seed)
        , m_random(seed * 7919 + 1)
    {
    }

    /// Returns a description of the first difference, or an empty text.
    std::string run(std::size_t rounds, Injection injection)
    {
        for (std::size_t round = 0; round < rounds; ++round) {
            files.injectAfter(below(60), injection);
            try {
                std::string difference = openAndChange();
                if (!difference.empty()) {
                    return difference;
                }
            } catch (const SimulatedCrash&) {
                ++crashes;
            } catch (const StorageError& error) {
                if (injection == Injection::Crash) {
                    return error.what();
                }
                const auto expected
                    = injection == Injection::DiskFull ? StorageFault::DiskFull : StorageFault::InputOutput;
                if (error.fault() != expected) {
                    return error.what();
                }
                ++errors;
            }
            // A killed process leaves what wasn't synced visible, and a later crash of the VM may lose it.
            if (below(2) == 0) {
                files.endProcess();
            } else {
                files.crash();
            }
        }
        return {};
    }

    /// As run(), but after an error the folder is reopened and changed again, some times over, before the VM crashes.
    std::string runWithReopening(std::size_t rounds, Injection injection)
    {
        for (std::size_t round = 0; round < rounds; ++round) {
            std::string difference = openAndReopen(injection);
            if (!difference.empty()) {
                return difference;
            }
            files.crash();
        }
        return {};
    }

    MemoryFiles files;
    std::size_t crashes = 0;
    std::size_t errors = 0;
    std::size_t reopenings = 0;
    std::size_t tornTails = 0;

private:
    DataFolder open()
    {
        return DataFolder::open({ .path = folderPath,
            .segmentBytes = 700,
            .requiredRoomBytes = 100,
            .chooseFolderId = [] { return 1; },
            .files = files.hooks() });
    }

    std::string openAndChange()
    {
        DataFolder folder = open();
        std::string difference = compare(folder);
        for (int i = 0; i < 30 && difference.empty(); ++i) {
            change(folder);
        }
        return difference;
    }

    std::string openAndReopen(Injection injection)
    {
        DataFolder folder = open();
        std::string difference = compare(folder);
        for (int attempt = 0; attempt < 6 && difference.empty(); ++attempt) {
            files.injectAfter(below(40), injection);
            try {
                for (int i = 0; i < 10; ++i) {
                    change(folder);
                }
            } catch (const StorageError&) {
                ++errors;
                difference = reopen(folder, injection);
            }
        }
        return difference;
    }

    std::string reopen(DataFolder& folder, Injection injection)
    {
        files.injectAfter(below(20), injection);
        for (;;) {
            try {
                folder.reopen();
                ++reopenings;
                return compare(folder);
            } catch (const StorageError& error) {
                if (error.fault() == StorageFault::Corrupt) {
                    return error.what();
                }
                ++errors;
            }
        }
    }

    std::string compare(DataFolder& folder)
    {
        Recovered recovered = folder.takeRecovered();
        tornTails += recovered.tornTail ? 1 : 0;
        const Model found { recovered.restored.hardState, recovered.restored.snapshot, recovered.snapshotData,
            recovered.restored.entries };
        if (std::ranges::find(m_possible, found) == m_possible.end()) {
            return "what was recovered is neither the synced state nor a later one that was written: last index "
                + std::to_string(found.lastIndex()) + ", synced " + std::to_string(m_possible.front().lastIndex());
        }
        m_possible = { found };
        return {};
    }

    void change(DataFolder& folder)
    {
        switch (below(8)) {
        case 0:
            saveSnapshot(folder);
            break;
        case 1:
            installSnapshot(folder);
            break;
        default:
            appendAndSync(folder);
        }
    }

    void appendAndSync(DataFolder& folder)
    {
        Model next = m_possible.back();
        const auto note = [this, &next] { m_possible.push_back(next); };
        std::optional<HardState> hardState;
        if (next.hardState.term == 0 || below(3) == 0) {
            hardState = HardState { next.hardState.term + 1, below(2) == 0 ? NodeId("a") : NodeId() };
            next.hardState = *hardState;
            note();
        }
        std::vector<Entry> entries;
        // A new term may replace entries that weren't committed; the snapshot covers only committed ones.
        const Index first = hardState && next.lastIndex() > next.snapshot.index
            ? next.lastIndex() + 1 - below(std::min<std::size_t>(next.entries.size(), 8) + 1)
            : next.lastIndex() + 1;
        const std::size_t count = below(6);
        for (Index index = first; index < first + count; ++index) {
            entries.push_back({ index, next.hardState.term, EntryKind::Normal, std::string(below(300), 'd') });
            next.apply(entries.back());
            note();
        }
        folder.append(hardState, entries);
        folder.sync();
        m_possible = { next };
    }

    void saveSnapshot(DataFolder& folder)
    {
        Model next = m_possible.back();
        if (next.entries.empty()) {
            return;
        }
        const Index index = next.snapshot.index + 1 + below(next.entries.size());
        save(folder, { index, next.termAt(index), { { NodeId("a") }, {} }, 0, 0 });
    }

    /// A snapshot of the leader that goes beyond the log, or replaces a log that differs.
    void installSnapshot(DataFolder& folder)
    {
        const Model& last = m_possible.back();
        const Index index = last.snapshot.index + 1 + below(last.entries.size() + 5);
        save(folder, { index, last.hardState.term + 1, { { NodeId("a"), NodeId("b") }, {} }, 0, 0 });
    }

    void save(DataFolder& folder, SnapshotMeta meta)
    {
        const std::string data(below(2000), 's');
        // What is stored follows from the data, so that the model can be changed before the folder.
        MemoryFiles scratchFiles(1);
        DataFolder scratch = DataFolder::open(
            { .path = folderPath, .chooseFolderId = [] { return 1; }, .files = scratchFiles.hooks() });
        meta = scratch.saveSnapshot(meta, data);
        Model next = m_possible.back();
        next.apply(meta, data);
        m_possible.push_back(next);
        EXPECT_EQ(folder.saveSnapshot(meta, data), meta);
        // A higher term than the hard state's is noted on the disk only when the folder is opened. The server appends
        // the hard state of the same Ready.
        folder.append(next.hardState, {});
        folder.sync();
        m_possible = { next };
    }

    std::size_t below(std::size_t bound) { return m_random() % bound; }

    base::Random m_random;
    /// The synced state, then each state that the records after it give.
    std::vector<Model> m_possible { Model {} };
};

// Guards against synced records that a crash loses, and against records that were never whole, at every point between
// write, fsync, rename and removal.
TEST(StorageCrash, KeepsEverySyncedRecord)
{
    std::size_t crashes = 0;
    std::size_t tornTails = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CrashRun run(seed);
        EXPECT_EQ(run.run(20, Injection::Crash), "") << "seed " << seed;
        crashes += run.crashes;
        tornTails += run.tornTails;
    }
    std::printf("crashes %zu, torn tails %zu\n", crashes, tornTails);
    EXPECT_GT(crashes, 1000U);
    EXPECT_GT(tornTails, 100U);
}

// Guards against errors of the disk that are swallowed, or that lose synced records.
TEST(StorageCrash, ReportsErrorsOfTheDiskAndKeepsSyncedRecords)
{
    for (const Injection injection : { Injection::InputOutputError, Injection::DiskFull }) {
        std::size_t errors = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            CrashRun run(seed);
            EXPECT_EQ(run.run(20, injection), "") << "seed " << seed;
            errors += run.errors;
        }
        EXPECT_GT(errors, 500U);
    }
}

// Guards against a folder that stays unusable after a failed write or sync, or that takes the page cache for the disk.
TEST(StorageCrash, ReopensAfterErrorsAndKeepsSyncedRecords)
{
    for (const Injection injection : { Injection::InputOutputError, Injection::DiskFull, Injection::LostPages }) {
        std::size_t reopenings = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            CrashRun run(seed);
            EXPECT_EQ(run.runWithReopening(10, injection), "") << "seed " << seed;
            reopenings += run.reopenings;
        }
        EXPECT_GT(reopenings, 1000U);
    }
}

// Guards against a write that is taken as complete although the system wrote only a part.
TEST(StorageCrash, ContinuesShortWrites)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CrashRun run(seed);
        run.files.maxWriteBytes = 7;
        EXPECT_EQ(run.run(20, Injection::Crash), "") << "seed " << seed;
    }
}

/// Tells whether some seed shows a difference on a disk with a deliberate fault.
bool findsDifference(bool MemoryFiles::*fault)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CrashRun run(seed);
        run.files.*fault = true;
        if (!run.run(20, Injection::Crash).empty()) {
            return true;
        }
    }
    return false;
}

// Shows that the property above is able to fail: a missing fsync must be found.
TEST(StorageCrash, FindsMissingSyncs)
{
    EXPECT_TRUE(findsDifference(&MemoryFiles::ignoresSync));
    EXPECT_TRUE(findsDifference(&MemoryFiles::ignoresFolderSync));
}

} // namespace
} // namespace crocuscove::storage
