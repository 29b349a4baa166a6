#include "crocuscove/consensus/raft_core.h"

#include "crocuscove/base/error.h"

#include <algorithm>

namespace crocuscove::consensus {

namespace {

/// Largest size of the committed entries in one Ready, in bytes.
constexpr std::size_t maxCommittedBytes = std::size_t { 8 } * 1024 * 1024;

void requireValid(const RaftOptions& options, const Restored& restored)
{
    const bool timesValid = options.heartbeatInterval.count() > 0
        && options.heartbeatInterval < options.electionTimeoutMin
        && options.learnerHeartbeatInterval < options.electionTimeoutMax
        && options.electionTimeoutMin <= options.electionTimeoutMax;
    const bool boundsValid = options.maxBatchEntries > 0 && options.maxBatchEntries <= maxMessageEntries
        && options.maxBatchBytes + maxEntryBytes < maxMessageBytes && options.maxBatchesInFlight > 0
        && options.maxCommittedEntries > 0 && options.snapshotChunkBytes > 0
        && options.snapshotChunkBytes < maxMessageBytes / 2;
    if (options.self.empty() || !timesValid || !boundsValid) {
        throw base::Error("invalid Raft options: node id, timeouts or limits");
    }
    const Term lastTerm = restored.entries.empty() ? restored.snapshot.term : restored.entries.back().term;
    if (lastTerm > restored.hardState.term) {
        throw base::Error("the restored term is lower than the term of the last entry");
    }
}

RaftOptions validated(RaftOptions options, const Restored& restored)
{
    requireValid(options, restored);
    return options;
}

} // namespace

Raft::Core::Core(RaftOptions options, Restored restored, const base::Random& random, base::MonotonicTime now)
    : m_options(validated(std::move(options), restored))
    , m_random(random)
    , m_now(now)
    , m_log(restored)
    , m_hardState(restored.hardState)
    , m_handedOutHardState(restored.hardState)
    , m_snapshot(std::move(restored.snapshot))
    , m_commit(m_snapshot.index)
    , m_applied(m_snapshot.index)
{
    resetElectionDeadline(m_options.electionTimeoutMin, m_options.electionTimeoutMax);
    if (m_hardState.term > 0) {
        // This node may have acknowledged the leader right before its restart, so it delays granting votes.
        m_restartedAt = now;
    }
    if (isVoter() && m_log.membership().voters.size() == 1) {
        m_electionDeadline = now;
    }
}

Role Raft::Core::role() const { return m_role == Role::Follower && !isVoter() ? Role::Learner : m_role; }

void Raft::Core::advanceTo(base::MonotonicTime now) { m_now = std::max(m_now, now); }

void Raft::Core::send(const base::NodeId& to, MessageBody body)
{
    m_messages.push_back({ m_options.self, to, m_hardState.term, std::move(body) });
}

void Raft::Core::step(base::MonotonicTime now, const Message& message)
{
    advanceTo(now);
    if (!isSelf(message.to) || isSelf(message.from) || !acceptTerm(message)) {
        return;
    }
    std::visit([this, &message](const auto& body) { handle(message, body); }, message.body);
}

/// Adopts a higher term and rejects a lower one. Returns whether the message must be handled.
bool Raft::Core::acceptTerm(const Message& message)
{
    const auto* const request = std::get_if<VoteRequest>(&message.body);
    const auto* const answer = std::get_if<VoteAnswer>(&message.body);
    const bool isFromLeader
        = std::holds_alternative<AppendRequest>(message.body) || std::holds_alternative<SnapshotChunk>(message.body);
    const bool isPreVote = request != nullptr && request->preVote;
    const bool isPreVoteGrant = answer != nullptr && answer->preVote && answer->granted;
    if (isPreVote || isPreVoteGrant) {
        return true;
    }
    if (message.term > m_hardState.term) {
        // A candidate that can't reach the leader must not depose it.
        if (request != nullptr && heardFromLeader()) {
            return false;
        }
        becomeFollower(message.term, isFromLeader ? message.from : base::NodeId());
        return true;
    }
    if (message.term < m_hardState.term) {
        // The answer carries the higher term, so that a deposed leader or an outdated candidate steps down.
        if (isFromLeader) {
            send(message.from, AppendAnswer {});
        } else if (request != nullptr) {
            send(message.from, VoteAnswer { false, request->electionTerm, false });
        }
        return false;
    }
    return true;
}

void Raft::Core::tick(base::MonotonicTime now)
{
    advanceTo(now);
    expireReads();
    if (m_role != Role::Leader) {
        if (isVoter() && m_electionDeadline <= m_now) {
            startPreVote();
        }
        return;
    }
    if (m_heartbeatDeadline > m_now) {
        return;
    }
    m_heartbeatDeadline = m_now + m_options.heartbeatInterval;
    if (hasQuorumContact(m_now)) {
        startRound();
        const bool withLearners = m_learnerHeartbeatDeadline <= m_now;
        m_learnerHeartbeatDeadline
            = withLearners ? m_now + m_options.learnerHeartbeatInterval : m_learnerHeartbeatDeadline;
        markHeartbeatsDue(withLearners);
    } else {
        becomeFollower(m_hardState.term, {});
    }
}

std::optional<Index> Raft::Core::propose(base::MonotonicTime now, EntryKind kind, std::string data)
{
    advanceTo(now);
    if (m_role != Role::Leader || data.size() > maxEntryBytes || !hasRoomFor(data.size())) {
        return std::nullopt;
    }
    m_uncommittedBytes += data.size();
    const Index index = m_log.lastIndex() + 1;
    m_log.append({ index, m_hardState.term, kind, std::move(data) });
    return index;
}

bool Raft::Core::hasRoomFor(std::size_t bytes) const
{
    return m_log.lastIndex() - m_commit < m_options.maxUncommittedEntries
        && m_uncommittedBytes + bytes <= m_options.maxUncommittedBytes;
}

Ready Raft::Core::takeReady()
{
    if (m_role == Role::Leader) {
        assignReadRound();
        finishReads();
        sendToFollowers();
    }
    Ready ready;
    if (m_hardState != m_handedOutHardState) {
        ready.hardState = m_handedOutHardState = m_hardState;
    }
    ready.snapshot = std::exchange(m_snapshotToInstall, std::nullopt);
    ready.entries = m_log.takeUnpersisted();
    ready.messages = std::exchange(m_messages, {});
    ready.reads = std::exchange(m_readResults, {});
    collectCommitted(ready);
    reportRole(ready);
    return ready;
}

void Raft::Core::collectCommitted(Ready& ready)
{
    if (m_applied < m_commit) {
        ready.committed = m_log.slice(m_applied + 1, m_commit, m_options.maxCommittedEntries, maxCommittedBytes);
        m_applied += ready.committed.size();
    }
}

void Raft::Core::reportRole(Ready& ready)
{
    const RoleChange current { role(), m_hardState.term, m_leader };
    if (m_reportedRole != current) {
        ready.roleChange = m_reportedRole = current;
    }
}

void Raft::Core::persisted(Index index)
{
    m_log.setPersisted(index);
    advanceCommit();
}

void Raft::Core::compact(Index index, SnapshotMeta snapshot)
{
    if (snapshot.index > m_applied || index > snapshot.index || snapshot.index < m_snapshot.index) {
        throw base::Error("compaction needs a snapshot of applied entries that is newer than the last one");
    }
    m_snapshot = std::move(snapshot);
    m_log.compact(index);
}

SnapshotMeta Raft::Core::snapshotMetaAt(Index index) const
{
    const std::optional<Term> term = m_log.termAt(index);
    if (!term || index > m_applied) {
        throw base::Error("a snapshot needs an applied entry that is still held");
    }
    return { index, *term, m_log.membershipAt(index), 0, 0 };
}

base::MonotonicTime Raft::Core::nextDeadline() const
{
    base::MonotonicTime deadline = base::MonotonicTime::max();
    if (m_role == Role::Leader) {
        deadline = m_heartbeatDeadline;
    } else if (isVoter()) {
        deadline = m_electionDeadline;
    }
    if (!m_leaderReads.empty()) {
        deadline = std::min(deadline, m_leaderReads.front().deadline);
    }
    return m_forwardedReads.empty() ? deadline : std::min(deadline, m_forwardedReads.front().deadline);
}

} // namespace crocuscove::consensus
