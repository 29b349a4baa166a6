#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/random.h"
#include "crocuscove/base/time.h"
#include "crocuscove/consensus/raft.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/server/server_options.h"
#include "crocuscove/state/state.h"
#include "crocuscove/storage/data_folder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocuscove::server {

/// What became of a proposed command.
enum class ProposalOutcome {
    /// The command was committed and applied; there is a result.
    Applied,
    /// The command will never be applied.
    NotExecuted,
    /// It may or may not be applied.
    Unknown,
};

struct ProposalResult {
    ProposalOutcome outcome = ProposalOutcome::Unknown;
    state::CommandResult result;
};

using ProposalCallback = std::function<void(const ProposalResult&)>;

struct ReplicaHooks {
    std::function<void(const consensus::Message&)> send;
    /// Runs after entries were applied or a snapshot was installed.
    std::function<void()> onApplied;
    std::function<void(const consensus::RoleChange&)> onRoleChange;
};

/// This node's copy of the replicated state: consensus, the data folder of a voter, and the state machine.
class Replica {
public:
    /// Opens the data folder of a voter. Throws base::Error when it is locked, corrupt or of another format.
    Replica(http::EventLoop& loop, const ServerOptions& options, const base::Log& log, base::Random& random,
        ReplicaHooks hooks);

    void step(const consensus::Message& message);

    /// Proposes a command when this node leads. `callback` runs exactly once; NotExecuted when the node doesn't lead.
    void propose(const state::Command& command, base::MonotonicTime deadline, ProposalCallback callback);

    /// Runs `callback` once the state is at least as new as any state that was current when this was called, or with
    /// false when that can't be confirmed by `deadline`.
    void confirmCurrent(base::MonotonicTime deadline, std::function<void(bool isCurrent)> callback);

    [[nodiscard]] const state::State& state() const { return m_state; }
    [[nodiscard]] const consensus::Raft& raft() const { return m_raft; }
    [[nodiscard]] bool isLeader() const { return !m_hasStorageFailed && m_raft.role() == consensus::Role::Leader; }

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

    std::optional<storage::DataFolder> openFolder(const ServerOptions& options);
    consensus::Raft makeRaft(const ServerOptions& options, base::Random& random);
    void scheduleFlush();
    void flush();
    void takeAll();
    void stopVoting(const storage::StorageError& error);
    void persist(const consensus::Ready& ready);
    void installSnapshot(const consensus::SnapshotToInstall& snapshot);
    void applyEntry(const consensus::Entry& entry);
    void finishReads(const std::vector<consensus::ReadResult>& reads);
    void completeReads();
    void expirePending();
    void compactIfLarge();
    void armTimer();
    void advanceTimeBeforeProposal(base::MonotonicTime now);

    http::EventLoop& m_loop;
    const base::Log& m_log;
    ReplicaHooks m_hooks;
    std::string m_restoredSnapshot;
    consensus::Restored m_restored;
    std::optional<storage::DataFolder> m_folder;
    std::string m_memorySnapshot;
    consensus::Raft m_raft;
    state::State m_state;
    std::map<consensus::Index, PendingProposal> m_proposals;
    std::map<std::uint64_t, PendingRead> m_reads;
    std::uint64_t m_nextRead = 1;
    consensus::Index m_applied = 0;
    bool m_isFlushScheduled = false;
    /// Set after a failed write. The node then takes no part in consensus, but its state can still be read.
    bool m_hasStorageFailed = false;
    bool m_hasCaughtUp = false;
    http::Timer m_timer;
};

} // namespace crocuscove::server
