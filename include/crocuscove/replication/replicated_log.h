#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/random.h"
#include "crocuscove/base/time.h"
#include "crocuscove/consensus/raft.h"
#include "crocuscove/consensus/write_queue.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/replication/disk_writer.h"
#include "crocuscove/storage/data_folder.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::replication {

/// The outcome of a proposed entry.
enum class ProposalOutcome {
    /// The entry was committed and applied.
    Applied,
    /// The entry will never be applied.
    NotExecuted,
    /// It may or may not be applied.
    Unknown,
};

using ProposalCallback = std::function<void(ProposalOutcome)>;

struct ReplicatedLogHooks {
    std::function<void(const consensus::Message&)> send;
    /// Applies one committed entry to the state machine.
    std::function<void(consensus::Index index, std::string_view data)> apply;
    std::function<std::string()> encodeSnapshot;
    std::function<void(std::string_view bytes)> restoreSnapshot;
    /// Runs after entries were applied or a snapshot was installed.
    std::function<void()> onApplied;
    std::function<void(const consensus::RoleChange&)> onRoleChange;
    /// Runs when the disk has failed to take a write, and when it takes writes again.
    std::function<void(bool isAvailable)> onStorageChange = [](bool /*isAvailable*/) {};
};

struct ReplicatedLogOptions {
    base::NodeId node;
    /// Empty for a node without a disk, which joins as a learner.
    std::string dataFolder;
    storage::FileHooks files = storage::systemFiles();
    base::Milliseconds heartbeatInterval { 100 };
    base::Milliseconds electionTimeoutMin { 500 };
    base::Milliseconds electionTimeoutMax { 1'000 };
    /// Derives the node id from the data folder and replaces `node`, so that a node that lost its disk gets a new id.
    std::function<base::NodeId(std::uint64_t folderId)> nodeFromFolder = nullptr;
    /// Returns the members of a new cluster when the folder is empty. An empty membership joins an existing cluster.
    std::function<consensus::Membership(const base::NodeId& self)> firstMembership = nullptr;
};

/// One node's replica of the log: the Raft core, and the data folder if the node has a disk. The hooks connect the
/// state machine and the transport. After a failed write the node leaves consensus, and returns by itself once its disk
/// takes writes again. Errors that opening the folder would report to an operator, such as a corrupt file, end the loop
/// with an exception then.
class ReplicatedLog {
public:
    /// Opens the data folder. Throws base::Error when it is locked, corrupt or of another format.
    ReplicatedLog(http::EventLoop& loop, ReplicatedLogOptions options, const base::Log& log, base::Random& random,
        ReplicatedLogHooks hooks);

    void step(const consensus::Message& message);

    /// Proposes an entry when this node leads. `callback` runs exactly once; NotExecuted when the node doesn't lead.
    void propose(std::string data, base::MonotonicTime deadline, ProposalCallback callback);

    /// Returns false when this node can't propose the change now.
    bool proposeMembership(const consensus::MembershipChange& change);

    /// Runs `callback` once the state is at least as new as any state that was current when this was called, or with
    /// false when that can't be confirmed by `deadline`.
    void confirmCurrent(base::MonotonicTime deadline, std::function<void(bool isCurrent)> callback);

    [[nodiscard]] const base::NodeId& node() const { return m_options.node; }
    [[nodiscard]] const consensus::Raft& raft() const { return m_raft; }
    [[nodiscard]] bool isLeader() const { return !m_hasStorageFailed && m_raft.role() == consensus::Role::Leader; }

    /// The known leader, or an empty id, as while this node takes no part in consensus.
    [[nodiscard]] base::NodeId leader() const { return m_hasStorageFailed ? base::NodeId() : m_raft.leader(); }

    /// Index of the last entry that this node has applied.
    [[nodiscard]] consensus::Index appliedIndex() const { return m_applied; }

    /// Tells whether a leader with a quorum was heard within the staleness bound, and the log is caught up with it.
    [[nodiscard]] bool isCurrent(base::MonotonicTime now) const;

private:
    struct PendingProposal {
        consensus::Term term = 0;
        base::MonotonicTime deadline;
        ProposalCallback callback;
    };
    struct PendingRead {
        base::MonotonicTime deadline;
        std::optional<consensus::Index> index;
        std::function<void(bool)> callback;
    };

    std::optional<storage::DataFolder> openFolder();
    void keepRecovered(storage::Recovered recovered);
    consensus::Raft makeRaft();
    [[nodiscard]] std::string readSnapshot(consensus::Index index, std::uint64_t offset, std::size_t maxBytes) const;
    void restoreRecoveredSnapshot();
    void scheduleFlush();
    void flush();
    void onWritten(const std::exception_ptr& error);
    /// Handles the pending output of the Raft core, runs `work`, and starts the next write.
    void advance(const std::function<void()>& work);
    void takeAll();
    void leaveConsensus(const storage::StorageError& error);
    void tryToReturn();
    void returnToConsensus();
    [[nodiscard]] std::int64_t failedForMs() const;
    void persist(consensus::Ready& ready);
    /// Starts a write of everything queued, unless a write is in progress.
    void startWrite();
    /// Completes the write in progress and sends the messages that it delayed. Throws the error of a failed write.
    void finishWrite(const std::exception_ptr& error);
    /// Waits until everything queued is durable.
    void finishAllWrites();
    void installSnapshot(const consensus::SnapshotToInstall& snapshot);
    void applyEntry(const consensus::Entry& entry);
    void finishReads(const std::vector<consensus::ReadResult>& reads);
    void completeReads();
    void expirePending();
    /// Returns the size of the log in memory from which on it is compacted.
    [[nodiscard]] std::size_t largestLogBytes() const;
    void compactIfLarge();
    /// Returns the indexes through which the log may be compacted, those that keep most entries first: for members that
    /// catch up, as usual, and through the snapshot.
    [[nodiscard]] std::vector<consensus::Index> compactionChoices(consensus::Index snapshotIndex) const;
    /// Returns nothing when the disk has no room for the snapshot.
    std::optional<consensus::SnapshotMeta> saveSnapshot(consensus::SnapshotMeta meta);
    void armTimer();

    http::EventLoop& m_loop;
    const base::Log& m_log;
    ReplicatedLogHooks m_hooks;
    ReplicatedLogOptions m_options;
    base::Random m_random;
    std::size_t m_compactionBytes;
    std::string m_restoredSnapshot;
    consensus::Restored m_restored;
    std::optional<storage::DataFolder> m_folder;
    consensus::Raft m_raft;
    consensus::WriteQueue m_writes;
    /// Null without a data folder.
    std::unique_ptr<DiskWriter> m_writer;
    std::map<consensus::Index, PendingProposal> m_proposals;
    std::map<std::uint64_t, PendingRead> m_reads;
    std::uint64_t m_nextRead = 1;
    consensus::Index m_applied = 0;
    /// Index of the last entry that the Raft core has reported as committed. Lower than m_applied after a return to
    /// consensus, until the core knows again what was committed.
    consensus::Index m_reported = 0;
    /// Index of the last snapshot; a later one must be newer.
    consensus::Index m_snapshotIndex = 0;
    bool m_isFlushScheduled = false;
    /// Set after a failed write. The node then takes no part in consensus, but its state can still be read.
    bool m_hasStorageFailed = false;
    base::MonotonicTime m_storageFailedAt;
    base::MonotonicTime m_nextFailureLogAt;
    base::MonotonicTime m_returnedAt;
    /// Failures that each followed a return soon.
    unsigned m_repeatedFailures = 0;
    base::MonotonicTime m_nextCompactionAt;
    bool m_hasCaughtUp = false;
    http::Timer m_timer;
};

} // namespace crocuscove::replication
