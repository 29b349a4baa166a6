#pragma once

#include "crocuscove/consensus/progress.h"
#include "crocuscove/consensus/raft.h"
#include "crocuscove/consensus/raft_log.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace crocuscove::consensus {

/// A read that is pending on the leader until a quorum has answered a heartbeat sent after it.
struct LeaderRead {
    base::NodeId origin;
    std::uint64_t context = 0;
    Index index = 0;
    /// The heartbeat round that confirms the read; empty until one is assigned.
    std::optional<std::uint64_t> round;
    base::MonotonicTime deadline;
};

/// A read that was forwarded to the leader.
struct ForwardedRead {
    std::uint64_t context = 0;
    base::MonotonicTime deadline;
};

/// A snapshot of which some chunks have arrived.
struct IncomingSnapshot {
    SnapshotMeta meta;
    std::string data;
};

/// Implementation of Raft. The comments name the source file that defines each group of functions.
class Raft::Core {
public:
    Core(RaftOptions options, Restored restored, const base::Random& random, base::MonotonicTime now);

    // raft_core.cpp
    void step(base::MonotonicTime now, const Message& message);
    void tick(base::MonotonicTime now);
    std::optional<Index> propose(base::MonotonicTime now, EntryKind kind, std::string data);
    Ready takeReady();
    void persisted(Index index);
    void compact(Index index, SnapshotMeta snapshot);
    [[nodiscard]] SnapshotMeta snapshotMetaAt(Index index) const;
    [[nodiscard]] base::MonotonicTime nextDeadline() const;

    // raft_membership.cpp
    std::optional<Index> proposeMembership(base::MonotonicTime now, const MembershipChange& change);
    [[nodiscard]] std::optional<ChangeRefusal> changeRefusal(const MembershipChange& change) const;

    // raft_read.cpp
    bool readIndex(base::MonotonicTime now, std::uint64_t context);

    // raft_quorum.cpp
    [[nodiscard]] std::optional<base::MonotonicTime> lastQuorumContact() const;
    [[nodiscard]] std::optional<base::MonotonicTime> leadershipConfirmedAt() const;
    [[nodiscard]] bool hasQuorumContact(base::MonotonicTime now) const;
    [[nodiscard]] bool isSendingSnapshot() const;

    [[nodiscard]] Role role() const;
    [[nodiscard]] const base::NodeId& leader() const { return m_leader; }
    [[nodiscard]] Term term() const { return m_hardState.term; }
    [[nodiscard]] Index commitIndex() const { return m_commit; }
    [[nodiscard]] const RaftLog& log() const { return m_log; }
    [[nodiscard]] std::optional<Index> matchIndex(const base::NodeId& node) const;
    [[nodiscard]] std::optional<base::MonotonicTime> lastContact(const base::NodeId& node) const;

private:
    // raft_core.cpp
    void advanceTo(base::MonotonicTime now);
    void send(const base::NodeId& to, MessageBody body);
    bool acceptTerm(const Message& message);
    [[nodiscard]] bool hasRoomFor(std::size_t bytes) const;
    void collectCommitted(Ready& ready);
    void reportRole(Ready& ready);
    [[nodiscard]] bool isSelf(const base::NodeId& node) const { return node == m_options.self; }
    [[nodiscard]] bool isVoter() const { return m_log.membership().isVoter(m_options.self); }

    // raft_election.cpp
    void becomeFollower(Term term, const base::NodeId& leader);
    void becomeLeader();
    void startPreVote();
    void startElection();
    void requestVotes(bool preVote, Term electionTerm);
    void winIfQuorumGranted();
    void handle(const Message& message, const VoteRequest& request);
    void handle(const Message& message, const VoteAnswer& answer);
    void resetElectionDeadline(base::Milliseconds minimum, base::Milliseconds maximum);
    [[nodiscard]] bool heardFromLeader() const;
    [[nodiscard]] bool isUpToDate(const VoteRequest& request) const;

    // raft_replication.cpp: replication by the leader
    void sendToFollowers();
    void sendTo(const base::NodeId& node, Progress& progress);
    void sendAppend(const base::NodeId& node, Progress& progress, bool withEntries);
    void handle(const Message& message, const AppendAnswer& answer);
    void handleRejection(Progress& progress, const AppendAnswer& answer, bool isLearner);
    void advanceCommit();
    void stepDownIfRemoved();
    void markHeartbeatsDue(bool withLearners);
    void startRound();
    Progress* noteContact(const base::NodeId& node, std::uint64_t round);

    // raft_follower.cpp
    void handle(const Message& message, const AppendRequest& request);
    [[nodiscard]] AppendAnswer rejection(const AppendRequest& request) const;
    void appendEntries(const AppendRequest& request);
    void commitThrough(Index index);
    void noteLeader(const base::NodeId& node);

    // raft_snapshot.cpp
    void sendSnapshotChunk(const base::NodeId& node, Progress& progress);
    void handle(const Message& message, const SnapshotChunk& chunk);
    void handle(const Message& message, const SnapshotAnswer& answer);
    bool receiveChunk(const SnapshotChunk& chunk);
    void installIncoming();

    // raft_membership.cpp
    void updateProgress();

    // raft_read.cpp
    void handle(const Message& message, const ReadRequest& request);
    void handle(const Message& message, const ReadAnswer& answer);
    bool addLeaderRead(const base::NodeId& origin, std::uint64_t context);
    void assignReadRound();
    void finishReads();
    void expireReads();
    void failReads();
    void answerRead(const LeaderRead& read, bool confirmed);
    [[nodiscard]] bool hasCommittedInTerm() const;

    // raft_quorum.cpp
    [[nodiscard]] static std::size_t quorumOf(std::size_t voters) { return voters / 2 + 1; }
    [[nodiscard]] std::size_t quorum() const { return quorumOf(m_log.membership().voters.size()); }
    /// The highest value that a quorum of voters has reached.
    template <typename Value, typename Of> [[nodiscard]] Value quorumValue(Value own, Of of) const;
    [[nodiscard]] Index quorumMatch() const;
    [[nodiscard]] std::uint64_t quorumRound() const;

    RaftOptions m_options;
    base::Random m_random;
    base::MonotonicTime m_now;
    RaftLog m_log;
    HardState m_hardState;
    HardState m_handedOutHardState;
    SnapshotMeta m_snapshot;
    Index m_commit = 0;
    Index m_applied = 0;

    /// Learner is never stored here; role() derives it from the membership.
    Role m_role = Role::Follower;
    base::NodeId m_leader;
    std::optional<base::MonotonicTime> m_leaderContact;
    /// Counts as contact with a leader for votes only.
    std::optional<base::MonotonicTime> m_restartedAt;
    base::MonotonicTime m_electionDeadline;
    base::MonotonicTime m_heartbeatDeadline;
    base::MonotonicTime m_learnerHeartbeatDeadline;
    std::map<base::NodeId, bool> m_votes;

    std::map<base::NodeId, Progress> m_progress;
    std::size_t m_uncommittedBytes = 0;
    std::uint64_t m_round = 0;
    /// Start times of the heartbeat rounds that no quorum has answered yet, and of the last round that it has.
    std::deque<std::pair<std::uint64_t, base::MonotonicTime>> m_roundStarts;
    std::uint64_t m_snapshotSequence = 0;
    std::optional<IncomingSnapshot> m_incoming;

    std::deque<LeaderRead> m_leaderReads;
    std::deque<ForwardedRead> m_forwardedReads;

    std::vector<Message> m_messages;
    std::vector<ReadResult> m_readResults;
    std::optional<SnapshotToInstall> m_snapshotToInstall;
    std::optional<RoleChange> m_reportedRole;
};

template <typename Value, typename Of> Value Raft::Core::quorumValue(Value own, Of of) const
{
    std::vector<Value> values;
    for (const base::NodeId& voter : m_log.membership().voters) {
        const auto progress = m_progress.find(voter);
        if (isSelf(voter)) {
            values.push_back(own);
        } else {
            values.push_back(progress == m_progress.end() ? Value {} : of(progress->second));
        }
    }
    if (values.empty()) {
        return Value {};
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(quorum() - 1);
    std::nth_element(values.begin(), position, values.end(), std::greater<>());
    return *position;
}

} // namespace crocuscove::consensus
