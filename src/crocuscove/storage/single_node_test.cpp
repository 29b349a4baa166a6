#include "crocuscove/consensus/raft.h"
#include "crocuscove/storage/data_folder.h"
#include "crocuscove/storage/memory_files_test.h"
#include "crocuscove/storage/temporary_folder.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace crocuscove::storage {
namespace {

using base::NodeId;
using consensus::Entry;
using consensus::EntryKind;
using consensus::Index;
using consensus::Raft;
using consensus::Ready;

constexpr base::MonotonicTime start { base::Microseconds { 1'000'000 } };

/// Drives one Raft core with one data folder, as the server does.
class SingleNode {
public:
    explicit SingleNode(DataFolderOptions options)
        : m_folder(DataFolder::open(std::move(options)))
        , m_raft(restore())
    {
        run();
    }

    void run()
    {
        m_raft.tick(m_raft.nextDeadline());
        for (Ready ready = m_raft.takeReady(); !ready.empty(); ready = m_raft.takeReady()) {
            m_folder.append(ready.hardState, ready.entries);
            m_folder.sync();
            if (!ready.entries.empty()) {
                m_raft.persisted(ready.entries.back().index);
            }
            std::ranges::copy(ready.committed, std::back_inserter(m_committed));
        }
    }

    void compact(Index index, const std::string& state)
    {
        m_raft.compact(index, m_folder.saveSnapshot(m_raft.snapshotMetaAt(index), state));
    }

    Raft& raft() { return m_raft; }
    [[nodiscard]] const std::string& snapshotData() const { return m_snapshotData; }
    [[nodiscard]] std::vector<std::string> committedData() const
    {
        std::vector<std::string> data;
        for (const Entry& entry : m_committed) {
            if (entry.kind == EntryKind::Normal) {
                data.push_back(entry.data);
            }
        }
        return data;
    }

private:
    Raft restore()
    {
        Recovered recovered = m_folder.takeRecovered();
        if (recovered.isNew) {
            recovered.restored = consensus::bootstrap({ { NodeId("a") }, {} });
            m_folder.append(recovered.restored.hardState, recovered.restored.entries);
            m_folder.sync();
        }
        m_snapshotData = recovered.snapshotData;
        return { { .self = NodeId("a") }, std::move(recovered.restored), base::Random(1), start };
    }

    DataFolder m_folder;
    std::string m_snapshotData;
    Raft m_raft;
    std::vector<Entry> m_committed;
};

// Guards against a single node that waits for a quorum of others, or forgets what it committed.
TEST(SingleNode, ElectsItselfCommitsAndRecovers)
{
    const TemporaryFolder folder;
    {
        SingleNode node({ .path = folder.path("data") });
        EXPECT_EQ(node.raft().role(), consensus::Role::Leader);
        EXPECT_TRUE(node.raft().propose(start, "one"));
        EXPECT_TRUE(node.raft().propose(start, "two"));
        node.run();
        EXPECT_EQ(node.committedData(), (std::vector<std::string> { "one", "two" }));
    }
    SingleNode node({ .path = folder.path("data") });
    EXPECT_EQ(node.committedData(), (std::vector<std::string> { "one", "two" }));
    EXPECT_EQ(node.raft().term(), 3U);
}

// Guards against entries that are lost, or applied twice, around a snapshot and a restart.
TEST(SingleNode, RecoversFromSnapshotAndLaterEntries)
{
    const TemporaryFolder folder;
    Index snapshotIndex = 0;
    {
        SingleNode node({ .path = folder.path("data") });
        node.raft().propose(start, "one");
        node.run();
        snapshotIndex = node.raft().commitIndex();
        node.compact(snapshotIndex, "state through " + std::to_string(snapshotIndex));
        node.raft().propose(start, "two");
        node.run();
    }
    SingleNode node({ .path = folder.path("data") });
    EXPECT_EQ(node.snapshotData(), "state through " + std::to_string(snapshotIndex));
    EXPECT_EQ(node.committedData(), (std::vector<std::string> { "two" }));
}

/// Proposes and compacts until the files crash. Adds what was committed to `acknowledged`. Returns false when something
/// acknowledged before is missing.
bool runUntilCrash(MemoryFiles& files, base::Random& random, std::vector<std::string>& acknowledged)
{
    SingleNode node({ .path = "data", .segmentBytes = 500, .files = files.hooks() });
    // The snapshot states how many entries it covers; the log holds the others.
    const std::size_t covered = node.snapshotData().empty() ? 0 : std::stoul(node.snapshotData());
    const std::vector<std::string> later = node.committedData();
    if (covered > acknowledged.size() || covered + later.size() < acknowledged.size()
        || !std::equal(
            acknowledged.begin() + static_cast<std::ptrdiff_t>(covered), acknowledged.end(), later.begin())) {
        return false;
    }
    acknowledged.resize(covered);
    for (int i = 0; i < 1000; ++i) {
        const std::vector<std::string> committed = node.committedData();
        acknowledged.resize(covered);
        std::ranges::copy(committed, std::back_inserter(acknowledged));
        if (random() % 20 == 0 && node.raft().commitIndex() > node.raft().compactedIndex()) {
            node.compact(node.raft().commitIndex(), std::to_string(acknowledged.size()));
        } else {
            node.raft().propose(start, "value " + std::to_string(random()));
            node.run();
        }
    }
    return true;
}

// Guards against an acknowledged entry that a crash takes back, with the core and the folder together.
TEST(SingleNode, KeepsAcknowledgedEntriesThroughCrashes)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        MemoryFiles files(seed);
        base::Random random(seed);
        std::vector<std::string> acknowledged;
        for (int round = 0; round < 20; ++round) {
            files.injectAfter(random() % 150, Injection::Crash);
            try {
                ASSERT_TRUE(runUntilCrash(files, random, acknowledged)) << "seed " << seed << ", round " << round;
            } catch (const SimulatedCrash&) {
                files.crash();
            }
        }
        EXPECT_GT(acknowledged.size(), 200U);
    }
}

} // namespace
} // namespace crocuscove::storage
