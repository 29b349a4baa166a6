#include "replica.h"

#include <algorithm>
#include <utility>

namespace crocuscove::server {

namespace {

/// The replicated clock is advanced before a command when it lags the local clock by more than this.
constexpr base::Milliseconds maxClockLag { 200 };
constexpr base::Milliseconds confirmTimeout { 2'000 };

consensus::Membership initialMembership(const ServerOptions& options)
{
    consensus::Membership membership;
    membership.voters.assign(options.voters.begin(), options.voters.end());
    std::ranges::for_each(options.peers, [&](const auto& peer) {
        if (!options.voters.contains(peer.first)) {
            membership.learners.push_back(peer.first);
        }
    });
    return membership;
}

replication::ReplicatedLogOptions replicatedLogOptions(const ServerOptions& options)
{
    replication::ReplicatedLogOptions result;
    result.node = options.node;
    result.dataFolder = options.isVoter ? options.dataFolder : std::string();
    result.firstMembership = [first = initialMembership(options)](const base::NodeId&) { return first; };
    return result;
}

} // namespace

Replica::Replica(
    http::EventLoop& loop, const ServerOptions& options, const base::Log& log, base::Random& random, ReplicaHooks hooks)
    : m_replicatedLog(loop, replicatedLogOptions(options), log, random, replicatedLogHooks(std::move(hooks)))
{
}

replication::ReplicatedLogHooks Replica::replicatedLogHooks(ReplicaHooks hooks)
{
    replication::ReplicatedLogHooks result;
    result.send = std::move(hooks.send);
    result.onApplied = std::move(hooks.onApplied);
    result.onRoleChange = std::move(hooks.onRoleChange);
    result.apply = [this](consensus::Index index, std::string_view data) {
        m_lastResult = m_state.apply(index, state::decodeCommand(data));
    };
    result.encodeSnapshot = [this] { return m_state.encodeSnapshot(); };
    result.restoreSnapshot = [this](std::string_view bytes) { m_state.restoreSnapshot(bytes); };
    return result;
}

void Replica::propose(const state::Command& command, base::MonotonicTime deadline, ProposalCallback callback)
{
    advanceStaleTime(deadline);
    m_replicatedLog.propose(
        state::encodeCommand(command), deadline, [this, callback = std::move(callback)](ProposalOutcome outcome) {
            callback({ outcome, outcome == ProposalOutcome::Applied ? m_lastResult : state::CommandResult {} });
        });
}

void Replica::advanceStaleTime(base::MonotonicTime deadline)
{
    const auto wallNow = base::wallNow();
    if (isLeader() && m_state.now() + maxClockLag < wallNow) {
        m_replicatedLog.propose(state::encodeCommand(state::AdvanceTime { wallNow }), deadline, [](ProposalOutcome) {});
    }
}

void Replica::confirmServing()
{
    if (std::exchange(m_isConfirming, true)) {
        return;
    }
    confirmCurrent(base::monotonicNow() + confirmTimeout, [this, term = raft().term()](bool isCurrent) {
        m_isConfirming = false;
        if (isCurrent && isLeader()) {
            m_servingTerm = term;
        }
    });
}

void Replica::confirmCurrent(base::MonotonicTime deadline, std::function<void(bool isCurrent)> callback)
{
    m_replicatedLog.confirmCurrent(deadline, std::move(callback));
}

} // namespace crocuscove::server
