#include "entry_node_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

/// Changing the set of entry nodes suspends slot grants for one lease duration, so a node that is unreachable only
/// briefly stays in the set.
constexpr base::Milliseconds stabilisationDelay { 2000 };
constexpr base::Milliseconds commandTimeout { 5000 };

} // namespace

EntryNodeController::EntryNodeController(
    const base::Log& log, const ServerOptions& options, Replica& replica, const NodeTable& nodes)
    : m_log(log)
    , m_options(options)
    , m_replica(replica)
    , m_nodes(nodes)
{
}

void EntryNodeController::beginLeading(base::MonotonicTime now)
{
    m_isProposalPending = false;
    m_lastReachable.clear();
    m_stableAt = now + stabilisationDelay;
}

std::vector<base::NodeId> EntryNodeController::reachableEntryNodes() const
{
    std::vector<base::NodeId> reachable;
    std::ranges::for_each(m_nodes.nodes(), [&](const NodeView& view) {
        if (view.isReachable && view.status.isEntry) {
            reachable.push_back(view.status.node);
        }
    });
    return reachable;
}

std::map<base::NodeId, std::uint64_t> EntryNodeController::reachableProcesses() const
{
    std::map<base::NodeId, std::uint64_t> processes;
    std::ranges::for_each(m_nodes.nodes(), [&](const NodeView& view) {
        if (std::ranges::find(m_lastReachable, view.status.node) != m_lastReachable.end()) {
            processes.emplace(view.status.node, view.incarnation);
        }
    });
    return processes;
}

void EntryNodeController::tick(base::MonotonicTime now)
{
    auto reachable = reachableEntryNodes();
    if (reachable != m_lastReachable) {
        m_lastReachable = std::move(reachable);
        m_stableAt = now + stabilisationDelay;
    }
    const auto& committed = m_replica.state().entryNodes();
    const bool areAllReachable = m_lastReachable.size() == m_options.peers.size();
    if (m_isProposalPending || m_lastReachable.empty() || m_lastReachable == committed.nodes
        || (now < m_stableAt && !areAllReachable)) {
        return;
    }
    m_isProposalPending = true;
    m_log.info("entry_nodes_proposed", { { "entry_nodes", m_lastReachable.size() }, { "replaces", committed.number } });
    m_replica.propose(state::SetEntryProcesses { committed.number, reachableProcesses(),
                          static_cast<std::uint32_t>(m_options.peers.size()) },
        now + commandTimeout, [this](const ProposalResult&) { m_isProposalPending = false; });
}

} // namespace crocuscove::server
