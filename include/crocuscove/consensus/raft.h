#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/base/time.h"
#include "crocuscove/consensus/entry.h"
#include "crocuscove/consensus/message.h"
#include "crocuscove/consensus/options.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::consensus {

enum class Role : std::uint8_t {
    Learner,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

std::string_view roleName(Role role);

enum class ChangeKind : std::uint8_t {
    AddLearner,
    PromoteLearner,
    RemoveNode,
};

/// A change of one member. A lost voter is replaced by AddLearner of a new id, RemoveNode of the lost id and
/// PromoteLearner of the new id, each after the change before it is committed.
struct MembershipChange {
    ChangeKind kind = ChangeKind::AddLearner;
    base::NodeId node;
};

enum class ChangeRefusal : std::uint8_t {
    NotLeader,
    /// The leader hasn't committed an entry of its own term yet, or an earlier change is not committed.
    ChangeInProgress,
    AlreadyMember,
    NotMember,
    LearnerLagsBehind,
    LastVoter,
    TooManyMembers,
    /// The limits of uncommitted entries are reached.
    Busy,
};

std::string_view changeRefusalName(ChangeRefusal refusal);

struct RoleChange {
    Role role = Role::Follower;
    Term term = 0;
    /// Empty when no leader is known.
    base::NodeId leader;

    bool operator==(const RoleChange&) const = default;
};

/// The result of a linearizable read. When confirmed, the state read is current once entries through `index` are
/// applied.
struct ReadResult {
    std::uint64_t context = 0;
    bool confirmed = false;
    Index index = 0;

    bool operator==(const ReadResult&) const = default;
};

struct SnapshotToInstall {
    SnapshotMeta meta;
    std::string data;
};

/// What the caller must do, in this order: save `snapshot` and load it into the state machine; append `hardState` and
/// `entries` to storage and sync; call Raft::persisted with the last entry's index; send `messages`; apply
/// `committed`. An entry whose index was appended before replaces that entry and all later ones. WriteQueue lets the
/// caller continue while the disk writes.
struct Ready {
    std::optional<HardState> hardState;
    std::optional<SnapshotToInstall> snapshot;
    std::vector<Entry> entries;
    std::vector<Message> messages;
    std::vector<Entry> committed;
    std::vector<ReadResult> reads;
    std::optional<RoleChange> roleChange;

    [[nodiscard]] bool empty() const;
    /// Tells whether something must be durable before messages are sent.
    [[nodiscard]] bool needsSync() const { return hardState.has_value() || snapshot.has_value() || !entries.empty(); }
};

/// The Raft state machine without I/O, clock or logging. Callers pass the time as `now` and fetch the output with
/// takeReady.
class Raft {
public:
    /// Throws base::Error when the options or the restored state are invalid.
    Raft(RaftOptions options, Restored restored, const base::Random& random, base::MonotonicTime now);
    ~Raft();
    Raft(Raft&&) noexcept;
    Raft& operator=(Raft&&) noexcept;
    Raft(const Raft&) = delete;
    Raft& operator=(const Raft&) = delete;

    /// Handles a message from a peer. A message for another node is ignored.
    void step(base::MonotonicTime now, const Message& message);

    /// Handles deadlines that have passed. Call it at nextDeadline() or later.
    void tick(base::MonotonicTime now);

    /// Appends an entry when this node leads. Returns its index, or nothing when the node doesn't lead, the data is
    /// too large, or the bounds of uncommitted entries are reached. The entry is decided once it is committed: when
    /// an entry with this index and the term at the time of the call is applied, it is this one.
    std::optional<Index> propose(base::MonotonicTime now, std::string data);

    /// Appends a membership entry. Returns nothing when changeRefusal gives a reason.
    std::optional<Index> proposeMembership(base::MonotonicTime now, const MembershipChange& change);

    /// Starts a linearizable read. The result with the same context comes in a Ready. Returns false when the bound of
    /// pending reads is reached or no leader is known.
    bool readIndex(base::MonotonicTime now, std::uint64_t context);

    /// Returns and clears the pending work. Call it until it is empty.
    Ready takeReady();

    /// Reports that the entries returned by takeReady through `index`, and the hard state with them, are durable.
    void persisted(Index index);

    /// Drops entries through `index`, at most `snapshot.index`, after the snapshot was saved. Keeping some entries
    /// before the snapshot avoids a snapshot transfer to slightly lagging followers.
    void compact(Index index, SnapshotMeta snapshot);

    /// Gives the position and membership for a snapshot of the state after `index`, which takeReady must have
    /// returned as committed and which must not be compacted. The caller fills in size and checksum.
    [[nodiscard]] SnapshotMeta snapshotMetaAt(Index index) const;

    [[nodiscard]] Role role() const;
    /// The known leader, or an empty id.
    [[nodiscard]] const base::NodeId& leader() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] Index commitIndex() const;
    [[nodiscard]] Index lastIndex() const;
    /// The last index that is part of the latest snapshot or dropped from the log.
    [[nodiscard]] Index compactedIndex() const;
    /// Bytes of data in the entries held, which compact() reduces.
    [[nodiscard]] std::size_t logBytes() const;
    [[nodiscard]] const Membership& membership() const;
    [[nodiscard]] std::optional<ChangeRefusal> changeRefusal(const MembershipChange& change) const;
    /// On the leader, the last index known to be durable on `node`.
    [[nodiscard]] std::optional<Index> matchIndex(const base::NodeId& node) const;
    /// On the leader, when `node` last answered an append or a snapshot chunk, or granted the vote that made this node
    /// the leader. Nothing when it hasn't in this term, and on other nodes.
    [[nodiscard]] std::optional<base::MonotonicTime> lastContact(const base::NodeId& node) const;
    /// On the leader, tells whether a reachable follower is receiving a snapshot. A new snapshot restarts it.
    [[nodiscard]] bool isSendingSnapshot() const;

    /// The last moment when a leader was known to have a quorum: on a follower, the last message from the leader.
    [[nodiscard]] std::optional<base::MonotonicTime> lastQuorumContact() const;
    /// On the leader, a moment at which no other leader could be elected yet: when the heartbeats were sent that a
    /// quorum has answered. Followers elect nobody for the shortest election timeout after they heard from the leader.
    /// Unlike lastQuorumContact, it does not rise when answers are read late. Nothing on other nodes.
    [[nodiscard]] std::optional<base::MonotonicTime> leadershipConfirmedAt() const;
    /// Tells whether lastQuorumContact is at most the longest election timeout ago.
    [[nodiscard]] bool hasQuorumContact(base::MonotonicTime now) const;
    /// When tick must be called next; the largest time when never.
    [[nodiscard]] base::MonotonicTime nextDeadline() const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

} // namespace crocuscove::consensus
