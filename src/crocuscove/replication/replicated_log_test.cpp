#include "crocuscove/replication/replicated_log.h"

#include "crocuscove/http/socket_testing.h"
#include "crocuscove/replication/storage_start.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuscove::replication {
namespace {

using http::testing::runUntil;

/// A single voter with a disk.
class ReplicatedLogTest : public ::testing::Test {
protected:
    ReplicatedLogTest()
        : m_folder(std::filesystem::temp_directory_path() / ("replicated-log-" + std::to_string(getpid())))
    {
        restart();
    }

    ~ReplicatedLogTest() override { std::filesystem::remove_all(m_folder); }

    void restart()
    {
        m_log.reset();
        m_applied = 0;
        m_log.emplace(m_loop, options(), m_logLines, m_random, hooks());
        EXPECT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    }

    ReplicatedLogOptions options()
    {
        ReplicatedLogOptions result;
        result.node = base::NodeId("n1");
        result.dataFolder = m_folder;
        result.firstMembership = [](const base::NodeId& self) { return consensus::Membership { { self }, {} }; };
        result.files.write = [this, write = result.files.write](int file, const char* data, std::size_t size) {
            const std::size_t part = std::min(size, m_roomBytes.load());
            if (m_isDiskFull || (part == 0 && size > 0)) {
                m_isDiskFull = true;
                return -std::int64_t { ENOSPC };
            }
            m_roomBytes -= m_roomBytes == unlimited ? 0 : part;
            return write(file, data, part);
        };
        result.files.open = [this, open = result.files.open](const std::string& path, storage::OpenMode mode) {
            const bool isRefused = !m_hasRoomForSnapshots && path.find("snapshot") != std::string::npos;
            return isRefused && mode == storage::OpenMode::Create ? -ENOSPC : open(path, mode);
        };
        result.files.sync = [this, sync = result.files.sync](int file) { return m_isSyncFailing ? -EIO : sync(file); };
        return result;
    }

    ReplicatedLogHooks hooks()
    {
        ReplicatedLogHooks result;
        result.send = [](const consensus::Message&) {};
        result.apply = [this](consensus::Index, std::string_view) { ++m_applied; };
        result.encodeSnapshot = [this] { return std::to_string(m_applied); };
        result.restoreSnapshot = [](std::string_view) {};
        result.onApplied = [this] {
            m_mostAppliedAtOnce = std::max(m_mostAppliedAtOnce, m_applied - m_appliedBefore);
            m_appliedBefore = m_applied;
        };
        result.onRoleChange = [](const consensus::RoleChange&) {};
        result.onStorageChange = [this](bool isAvailable) { m_hasStorageFailed = !isAvailable; };
        return result;
    }

    /// Proposes an entry of this size and returns its outcome.
    ProposalOutcome propose(std::size_t bytes)
    {
        std::optional<ProposalOutcome> outcome;
        m_log->propose(std::string(bytes, 'x'), base::monotonicNow() + std::chrono::seconds(20),
            [&](ProposalOutcome result) { outcome = result; });
        EXPECT_TRUE(runUntil(m_loop, [&] { return outcome.has_value(); }));
        return outcome.value_or(ProposalOutcome::Unknown);
    }

    http::EventLoop m_loop;
    std::filesystem::path m_folder;
    base::Log m_logLines { base::LogLevel::Error };
    base::Random m_random { 1 };
    static constexpr std::size_t unlimited = ~std::size_t { 0 };

    /// Used by the thread that writes.
    std::atomic<std::size_t> m_roomBytes = unlimited;
    std::atomic<bool> m_isDiskFull = false;
    std::atomic<bool> m_isSyncFailing = false;
    bool m_hasRoomForSnapshots = true;
    bool m_hasStorageFailed = false;
    int m_applied = 0;
    int m_appliedBefore = 0;
    int m_mostAppliedAtOnce = 0;
    std::optional<ReplicatedLog> m_log;
};

// Guards against a node that leaves consensus because its last entries alone exceed the size at which the log is
// compacted, so that it tried to save two snapshots at one index.
TEST_F(ReplicatedLogTest, LargeEntriesAreCompactedAgainAndAgain)
{
    constexpr std::size_t entryBytes = 256UL * 1024;
    constexpr int entries = 100;
    for (int entry = 0; entry < entries; ++entry) {
        ASSERT_EQ(propose(entryBytes), ProposalOutcome::Applied) << "entry " << entry;
    }
    EXPECT_TRUE(m_log->isLeader());
    EXPECT_LE(m_log->raft().logBytes(), 12UL * 1024 * 1024 + entryBytes)
        << "at most 12 MB, and the entry that exceeds it";
}

// Guards against a new leader that applies the whole log in one turn after a restart, sends no heartbeat meanwhile, and
// loses its leadership.
TEST_F(ReplicatedLogTest, ALongLogIsAppliedInManyTurns)
{
    constexpr int entries = 3'000;
    for (int entry = 0; entry < entries; ++entry) {
        m_log->propose("x", base::monotonicNow() + std::chrono::seconds(20), [](ProposalOutcome) {});
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_applied == entries; }));
    m_appliedBefore = 0;
    m_mostAppliedAtOnce = 0;
    restart();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_applied == entries; }));
    EXPECT_GT(m_mostAppliedAtOnce, 0);
    EXPECT_LE(m_mostAppliedAtOnce, 512);
}

TEST_F(ReplicatedLogTest, ANodeReturnsToConsensusWhenItsDiskHasRoomAgain)
{
    ASSERT_EQ(propose(100), ProposalOutcome::Applied);
    for (int time = 0; time < 3; ++time) {
        m_isDiskFull = true;
        EXPECT_NE(propose(100), ProposalOutcome::Applied);
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_hasStorageFailed; }));
        EXPECT_FALSE(m_log->isLeader());
        m_isDiskFull = false;
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); })) << "time " << time;
        EXPECT_EQ(propose(100), ProposalOutcome::Applied);
    }
    EXPECT_EQ(m_applied, 4) << "no entry is applied twice";
    restart();
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_applied == 4; }));
}

TEST_F(ReplicatedLogTest, AProposalWhoseSyncFailedIsNotKeptAsIfItWereDurable)
{
    ASSERT_EQ(propose(100), ProposalOutcome::Applied);
    m_isSyncFailing = true;
    EXPECT_EQ(propose(100), ProposalOutcome::Unknown);
    m_isSyncFailing = false;
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    EXPECT_EQ(propose(100), ProposalOutcome::Applied);
    EXPECT_EQ(m_applied, 2);
}

TEST_F(ReplicatedLogTest, EntriesAreAcceptedWhileTheDiskHasNoRoomForASnapshot)
{
    constexpr std::size_t entryBytes = 256UL * 1024;
    constexpr int entries = 100;
    m_hasRoomForSnapshots = false;
    for (int entry = 0; entry < entries; ++entry) {
        ASSERT_EQ(propose(entryBytes), ProposalOutcome::Applied) << "entry " << entry;
    }
    EXPECT_GT(m_log->raft().logBytes(), 12UL * 1024 * 1024 + entryBytes);
    m_hasRoomForSnapshots = true;
    const auto giveUpAt = base::monotonicNow() + http::testing::conditionTimeout;
    while (m_log->raft().logBytes() > 12UL * 1024 * 1024 && base::monotonicNow() < giveUpAt) {
        propose(1);
    }
    EXPECT_LE(m_log->raft().logBytes(), 12UL * 1024 * 1024);
    restart();
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_log->raft().commitIndex() > entries; }));
}

TEST_F(ReplicatedLogTest, AFirstStartOnAFullDiskFormsTheClusterOnceThereIsRoom)
{
    constexpr std::size_t mostBytes = 400;
    for (std::size_t room = 0; room < mostBytes; room += 11) {
        m_log.reset();
        std::filesystem::remove_all(m_folder);
        m_roomBytes = room;
        int starts = 0;
        const StorageStart start(m_loop, m_logLines, [&] {
            ++starts;
            m_log.emplace(m_loop, options(), m_logLines, m_random, hooks());
        });
        EXPECT_EQ(m_log.has_value(), starts == 1 && !m_isDiskFull);
        m_roomBytes = unlimited;
        m_isDiskFull = false;
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_log && m_log->isLeader(); })) << room << " bytes of room";
    }
}

/// One of three voters, whose peers grant every vote and acknowledge what the test says.
class ReplicatedLogOfThreeTest : public ReplicatedLogTest {
protected:
    ReplicatedLogOfThreeTest()
    {
        m_log.reset();
        std::filesystem::remove_all(m_folder);
        ReplicatedLogOptions three = options();
        three.firstMembership = [](const base::NodeId& self) {
            return consensus::Membership { { self, base::NodeId("n2"), base::NodeId("n3") }, {} };
        };
        ReplicatedLogHooks voting = hooks();
        voting.send = [this](const consensus::Message& message) {
            if (const auto* request = std::get_if<consensus::VoteRequest>(&message.body)) {
                m_loop.post([this, message, request = *request] {
                    m_log->step({ message.to, message.from, message.term,
                        consensus::VoteAnswer { request.preVote, request.electionTerm, true } });
                });
            }
            const auto* append = std::get_if<consensus::AppendRequest>(&message.body);
            const auto reach = m_reach.find(message.to.text());
            if (append != nullptr && reach != m_reach.end()) {
                const consensus::AppendAnswer answer { true, append->previousIndex,
                    std::min(append->previousIndex + append->entries.size(), reach->second), append->round };
                m_loop.post([this, message, answer] {
                    m_log->step({ message.to, message.from, message.term, answer });
                });
            }
            m_snapshotChunks += std::holds_alternative<consensus::SnapshotChunk>(message.body) ? 1 : 0;
        };
        m_log.emplace(m_loop, three, m_logLines, m_random, voting);
    }

    std::vector<ProposalOutcome>& proposeLater(std::vector<ProposalOutcome>& outcomes)
    {
        m_log->propose("x", base::monotonicNow() + std::chrono::seconds(60),
            [&outcomes](ProposalOutcome outcome) { outcomes.push_back(outcome); });
        return outcomes;
    }

    /// Applies entries until `done`, and runs `onPart` before each part of them.
    void fill(
        const std::function<bool()>& done, const std::function<void()>& onPart = [] {}, std::size_t entryBytes = 1'000)
    {
        constexpr int mostParts = 250;
        for (int part = 0; part < mostParts && !done(); ++part) {
            onPart();
            for (consensus::Index entry = 0; entry < partEntries; ++entry) {
                m_log->propose(std::string(entryBytes, 'x'), base::monotonicNow() + std::chrono::seconds(60),
                    [](ProposalOutcome) {});
            }
            const consensus::Index last = m_log->raft().lastIndex();
            ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->appliedIndex() >= last; }));
        }
        EXPECT_TRUE(done());
    }

    /// Fills the log until it is compacted. Returns the bytes of entries that it had.
    std::size_t fillUntilCompacted(
        const std::function<void()>& onPart = [] {}, std::size_t entryBytes = 1'000)
    {
        const consensus::Index before = m_log->raft().compactedIndex();
        std::size_t bytes = 0;
        fill(
            [&] {
                bytes = std::max(bytes, m_log->raft().logBytes());
                return m_log->raft().compactedIndex() > before;
            },
            onPart, entryBytes);
        return bytes;
    }

    [[nodiscard]] consensus::Index matchOf(const std::string& peer) const
    {
        return m_log->raft().matchIndex(base::NodeId(peer)).value_or(0);
    }

    [[nodiscard]] std::uintmax_t folderBytes() const
    {
        std::uintmax_t bytes = 0;
        for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
            bytes += file.is_regular_file() ? file.file_size() : 0;
        }
        return bytes;
    }

    /// Entries that fill() adds at a time.
    static constexpr consensus::Index partEntries = 200;
    static constexpr consensus::Index everything = ~consensus::Index { 0 };
    /// The last index that a peer acknowledges. A peer that isn't here answers no append.
    std::map<std::string, consensus::Index> m_reach;
    int m_snapshotChunks = 0;
};

// Guards against a caller that is never answered, because its node led again and gave another proposal the same place
// in the log.
TEST_F(ReplicatedLogOfThreeTest, AProposalWhosePlaceIsTakenEndsAsUnknown)
{
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    const consensus::Term term = m_log->raft().term();
    const consensus::Index last = m_log->raft().lastIndex();
    std::vector<ProposalOutcome> first;
    std::vector<ProposalOutcome> second;
    proposeLater(first);
    proposeLater(second);
    // A leader of a later term that has none of these entries.
    m_log->step({ base::NodeId("n2"), base::NodeId("n1"), term + 1,
        consensus::AppendRequest { 1, 1, 0, 1, { { last, term + 1, consensus::EntryKind::NoOp, {} } } } });
    ASSERT_FALSE(m_log->isLeader());
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    std::vector<ProposalOutcome> third;
    proposeLater(third);
    EXPECT_EQ(second, std::vector { ProposalOutcome::Unknown });
    EXPECT_TRUE(first.empty()) << "its place holds the entry that a new leader begins with, not yet committed";
    EXPECT_TRUE(third.empty());
}

// Guards against a leader that is deposed because a snapshot holds it up, when a follower could have taken it.
TEST_F(ReplicatedLogOfThreeTest, ALeaderCompactsLaterThanAnyFollower)
{
    constexpr std::size_t largestOfFollowers = 12UL * 1024 * 1024;
    constexpr std::size_t largestOfLeaders = 36UL * 1024 * 1024;
    constexpr std::uintmax_t largestOfLeadersOnDisk = 48UL * 1024 * 1024;
    constexpr std::size_t entryBytes = 4'000;
    constexpr std::size_t partBytes = partEntries * entryBytes * 5 / 4;
    m_reach = { { "n2", everything }, { "n3", everything } };
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    std::uintmax_t diskBytes = 0;
    const std::size_t bytes = fillUntilCompacted([&] { diskBytes = std::max(diskBytes, folderBytes()); }, entryBytes);
    EXPECT_GT(bytes, largestOfFollowers + partBytes);
    EXPECT_LE(bytes, largestOfLeaders + partBytes);
    EXPECT_LE(diskBytes, largestOfLeadersOnDisk);
    fill([&] { return m_log->raft().logBytes() > largestOfFollowers; }, [] {}, entryBytes);
    const consensus::Index compacted = m_log->raft().compactedIndex();
    const consensus::Index last = m_log->raft().lastIndex();
    const consensus::Term term = m_log->raft().term();
    m_log->step({ base::NodeId("n2"), base::NodeId("n1"), term + 1,
        consensus::AppendRequest { last, term, last, 1, { { last + 1, term + 1, consensus::EntryKind::NoOp, {} } } } });
    ASSERT_FALSE(m_log->isLeader());
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_log->raft().compactedIndex() > compacted; }))
        << "a node that no longer leads makes up for it";
}

// Guards against a member that is a few thousand entries behind and is sent a snapshot of megabytes.
TEST_F(ReplicatedLogOfThreeTest, EntriesAreKeptForAMemberThatCatchesUp)
{
    constexpr consensus::Index lag = 3'000;
    m_reach = { { "n2", everything }, { "n3", 0 } };
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    fillUntilCompacted([&] { m_reach["n3"] = std::max(m_log->raft().lastIndex(), lag) - lag; });
    EXPECT_LE(m_log->raft().compactedIndex(), matchOf("n3"));
    m_reach["n3"] = everything;
    ASSERT_TRUE(runUntil(m_loop, [&] { return matchOf("n3") == m_log->raft().lastIndex(); }));
    EXPECT_EQ(m_snapshotChunks, 0);
}

TEST_F(ReplicatedLogOfThreeTest, AMemberThatIsFarBehindKeepsNoEntries)
{
    m_reach = { { "n2", everything }, { "n3", 100 } };
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    fillUntilCompacted();
    EXPECT_LE(m_log->raft().logBytes(), 4UL * 1024 * 1024);
}

// Guards against a dead member for whom the log is kept.
TEST_F(ReplicatedLogOfThreeTest, AMemberThatAnswersNoMoreKeepsNoEntries)
{
    constexpr std::size_t lagBytes = 2UL * 1024 * 1024;
    constexpr consensus::Index entriesKeptInAnyCase = 1'024;
    m_reach = { { "n2", everything }, { "n3", everything } };
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_log->isLeader(); }));
    const std::size_t bytes = fillUntilCompacted();
    fill([&] { return m_log->raft().logBytes() + lagBytes > bytes; });
    m_reach.erase("n3");
    const auto silentUntil = base::monotonicNow() + std::chrono::milliseconds(3'200);
    ASSERT_TRUE(runUntil(m_loop, [&] { return base::monotonicNow() >= silentUntil; }));
    fillUntilCompacted();
    EXPECT_GT(m_log->raft().compactedIndex(), matchOf("n3"));
    EXPECT_GE(m_log->raft().compactedIndex() + entriesKeptInAnyCase + partEntries, m_log->appliedIndex());
}

} // namespace
} // namespace crocuscove::replication
