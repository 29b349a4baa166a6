#include "crocuscove/consensus/raft_core.h"

#include <algorithm>
#include <random>

namespace crocuscove::consensus {

void Raft::Core::becomeFollower(Term term, const base::NodeId& leader)
{
    if (m_role == Role::Leader || m_leader != leader) {
        failReads();
    }
    if (term > m_hardState.term) {
        m_hardState = { term, {} };
    }
    m_role = Role::Follower;
    m_leader = leader;
    m_votes.clear();
    m_progress.clear();
    m_uncommittedBytes = 0;
    resetElectionDeadline(m_options.electionTimeoutMin, m_options.electionTimeoutMax);
}

void Raft::Core::becomeLeader()
{
    failReads();
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_incoming.reset();
    m_progress.clear();
    m_uncommittedBytes = 0;
    for (Index index = m_commit + 1; index <= m_log.lastIndex(); ++index) {
        m_uncommittedBytes += m_log.at(index).data.size();
    }
    m_heartbeatDeadline = m_now + m_options.heartbeatInterval;
    m_roundStarts.clear();
    updateProgress();
    m_log.append({ m_log.lastIndex() + 1, m_hardState.term, EntryKind::NoOp, {} });
    // The voters that have just granted their vote are in contact; check-quorum needs no other grace period.
    for (auto& [node, progress] : m_progress) {
        progress.lastContact = m_votes.contains(node) ? m_now : base::MonotonicTime {};
    }
    m_votes.clear();
}

void Raft::Core::startPreVote()
{
    if (m_options.fault == Fault::SkipsPreVote) {
        startElection();
        return;
    }
    becomeFollower(m_hardState.term, {});
    m_role = Role::PreCandidate;
    m_votes = { { m_options.self, true } };
    requestVotes(true, m_hardState.term + 1);
    winIfQuorumGranted();
}

void Raft::Core::startElection()
{
    becomeFollower(m_hardState.term + 1, {});
    m_role = Role::Candidate;
    m_hardState.votedFor = m_options.self;
    m_votes = { { m_options.self, true } };
    requestVotes(false, m_hardState.term);
    winIfQuorumGranted();
}

void Raft::Core::requestVotes(bool preVote, Term electionTerm)
{
    // No leader is known, so a failed election may be retried sooner than a first one may start.
    resetElectionDeadline(m_options.electionTimeoutMin / 2, m_options.electionTimeoutMin);
    for (const base::NodeId& voter : m_log.membership().voters) {
        if (!isSelf(voter)) {
            send(voter, VoteRequest { preVote, electionTerm, m_log.lastIndex(), m_log.lastTerm() });
        }
    }
}

void Raft::Core::winIfQuorumGranted()
{
    const auto granted = std::ranges::count_if(m_log.membership().voters, [this](const base::NodeId& voter) {
        const auto vote = m_votes.find(voter);
        return vote != m_votes.end() && vote->second;
    });
    if (static_cast<std::size_t>(granted) < quorum()) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startElection();
    } else {
        becomeLeader();
    }
}

void Raft::Core::handle(const Message& message, const VoteRequest& request)
{
    // A node with an empty log grants no votes: it may have lost a disk with entries that it had acknowledged.
    const bool hasLog = m_log.lastIndex() > 0;
    const bool mayGrant = hasLog && !heardFromLeader() && isUpToDate(request);
    if (request.preVote) {
        const bool granted = mayGrant && request.electionTerm > m_hardState.term;
        send(message.from, VoteAnswer { true, request.electionTerm, granted });
        return;
    }
    const bool isFree
        = m_hardState.votedFor.empty() || m_hardState.votedFor == message.from || m_options.fault == Fault::VotesTwice;
    const bool granted = mayGrant && isFree && request.electionTerm == m_hardState.term && m_role != Role::Leader;
    if (granted) {
        m_hardState.votedFor = message.from;
        resetElectionDeadline(m_options.electionTimeoutMin, m_options.electionTimeoutMax);
    }
    send(message.from, VoteAnswer { false, request.electionTerm, granted });
}

void Raft::Core::handle(const Message& message, const VoteAnswer& answer)
{
    const bool answersPreVote
        = m_role == Role::PreCandidate && answer.preVote && answer.electionTerm == m_hardState.term + 1;
    const bool answersVote = m_role == Role::Candidate && !answer.preVote && answer.electionTerm == m_hardState.term;
    if (answersPreVote || answersVote) {
        m_votes[message.from] = answer.granted;
        winIfQuorumGranted();
    }
}

void Raft::Core::resetElectionDeadline(base::Milliseconds minimum, base::Milliseconds maximum)
{
    using Count = base::Microseconds::rep;
    std::uniform_int_distribution<Count> timeout(
        base::Microseconds(minimum).count(), base::Microseconds(maximum).count());
    m_electionDeadline = m_now + base::Microseconds(timeout(m_random));
}

bool Raft::Core::heardFromLeader() const
{
    if (m_options.fault == Fault::SkipsPreVote) {
        return false;
    }
    const auto isRecent = [this](const std::optional<base::MonotonicTime>& time) {
        return time && m_now - *time < m_options.electionTimeoutMin;
    };
    return m_role == Role::Leader || isRecent(m_leaderContact) || isRecent(m_restartedAt);
}

bool Raft::Core::isUpToDate(const VoteRequest& request) const
{
    return m_options.fault == Fault::IgnoresLogOfCandidate
        || std::pair(request.lastTerm, request.lastIndex) >= std::pair(m_log.lastTerm(), m_log.lastIndex());
}

} // namespace crocuscove::consensus
