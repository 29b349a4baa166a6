#include "entry_node_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

/// A change of the entry nodes stops the leasing of slots for one lease, so a node that is away for a moment stays.
constexpr base::Milliseconds settleTime { 2000 };
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
    m_isPending = false;
    m_seen.clear();
    m_stableAt = now + settleTime;
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

void EntryNodeController::tick(base::MonotonicTime now)
{
    auto reachable = reachableEntryNodes();
    if (reachable != m_seen) {
        m_seen = std::move(reachable);
        m_stableAt = now + settleTime;
    }
    const auto& inForce = m_replica.state().entryNodes();
    const bool isComplete = m_seen.size() == m_options.peers.size();
    if (m_isPending || m_seen.empty() || m_seen == inForce.nodes || (now < m_stableAt && !isComplete)) {
        return;
    }
    m_isPending = true;
    m_log.info("entry_nodes_proposed", { { "entry_nodes", m_seen.size() }, { "replaces", inForce.number } });
    m_replica.propose(
        state::SetEntryNodes { inForce.number, m_seen, static_cast<std::uint32_t>(m_options.peers.size()) },
        now + commandTimeout, [this](const ProposalResult&) { m_isPending = false; });
}

} // namespace crocuscove::server
