#include "crocuscove/consensus/raft.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/consensus/raft_core.h"

namespace crocuscove::consensus {

namespace {

constexpr auto roleNames = base::enumNames<Role>({
    { Role::Learner, "learner" },
    { Role::Follower, "follower" },
    { Role::PreCandidate, "pre-candidate" },
    { Role::Candidate, "candidate" },
    { Role::Leader, "leader" },
});

constexpr auto refusalNames = base::enumNames<ChangeRefusal>({
    { ChangeRefusal::NotLeader, "not-leader" },
    { ChangeRefusal::ChangeInProgress, "change-in-progress" },
    { ChangeRefusal::AlreadyMember, "already-member" },
    { ChangeRefusal::NotMember, "not-member" },
    { ChangeRefusal::LearnerLagsBehind, "learner-lags-behind" },
    { ChangeRefusal::LastVoter, "last-voter" },
    { ChangeRefusal::TooManyMembers, "too-many-members" },
    { ChangeRefusal::Busy, "busy" },
});

} // namespace

std::string_view roleName(Role role) { return roleNames.name(role); }

std::string_view changeRefusalName(ChangeRefusal refusal) { return refusalNames.name(refusal); }

bool Ready::empty() const
{
    return !needsSync() && messages.empty() && committed.empty() && reads.empty() && !roleChange;
}

Raft::Raft(RaftOptions options, Restored restored, const base::Random& random, base::MonotonicTime now)
    : m_core(std::make_unique<Core>(std::move(options), std::move(restored), random, now))
{
}

Raft::~Raft() = default;
Raft::Raft(Raft&&) noexcept = default;
Raft& Raft::operator=(Raft&&) noexcept = default;

void Raft::step(base::MonotonicTime now, const Message& message) { m_core->step(now, message); }

void Raft::tick(base::MonotonicTime now) { m_core->tick(now); }

std::optional<Index> Raft::propose(base::MonotonicTime now, std::string data)
{
    return m_core->propose(now, EntryKind::Normal, std::move(data));
}

std::optional<Index> Raft::proposeMembership(base::MonotonicTime now, const MembershipChange& change)
{
    return m_core->proposeMembership(now, change);
}

bool Raft::readIndex(base::MonotonicTime now, std::uint64_t context) { return m_core->readIndex(now, context); }

Ready Raft::takeReady() { return m_core->takeReady(); }

void Raft::persisted(Index index) { m_core->persisted(index); }

void Raft::compact(Index index, SnapshotMeta snapshot) { m_core->compact(index, std::move(snapshot)); }

SnapshotMeta Raft::snapshotMetaAt(Index index) const { return m_core->snapshotMetaAt(index); }

Role Raft::role() const { return m_core->role(); }

const base::NodeId& Raft::leader() const { return m_core->leader(); }

Term Raft::term() const { return m_core->term(); }

Index Raft::commitIndex() const { return m_core->commitIndex(); }

Index Raft::lastIndex() const { return m_core->log().lastIndex(); }

Index Raft::compactedIndex() const { return m_core->log().compactedIndex(); }

std::size_t Raft::logBytes() const { return m_core->log().bytes(); }

const Membership& Raft::membership() const { return m_core->log().membership(); }

std::optional<ChangeRefusal> Raft::changeRefusal(const MembershipChange& change) const
{
    return m_core->changeRefusal(change);
}

std::optional<Index> Raft::matchIndex(const base::NodeId& node) const { return m_core->matchIndex(node); }

std::optional<base::MonotonicTime> Raft::lastContact(const base::NodeId& node) const
{
    return m_core->lastContact(node);
}

bool Raft::isSendingSnapshot() const { return m_core->isSendingSnapshot(); }

std::optional<base::MonotonicTime> Raft::lastQuorumContact() const { return m_core->lastQuorumContact(); }

std::optional<base::MonotonicTime> Raft::leadershipConfirmedAt() const { return m_core->leadershipConfirmedAt(); }

bool Raft::hasQuorumContact(base::MonotonicTime now) const { return m_core->hasQuorumContact(now); }

base::MonotonicTime Raft::nextDeadline() const { return m_core->nextDeadline(); }

} // namespace crocuscove::consensus
