#pragma once

#include "node_table.h"
#include "replica.h"

#include "crocuscove/base/log.h"

#include <cstdint>
#include <map>
#include <vector>

namespace crocuscove::server {

/// Runs on the leader and keeps the committed set of entry nodes equal to the reachable ones, so that the slots of
/// each backend server are granted by a reachable node.
class EntryNodeController {
public:
    /// The references must outlive this.
    EntryNodeController(const base::Log& log, const ServerOptions& options, Replica& replica, const NodeTable& nodes);

    /// Starts observing reachability afresh when this node becomes the leader.
    void beginLeading(base::MonotonicTime now);
    /// Proposes a new set of entry nodes when the reachable ones have changed and then stayed stable.
    void tick(base::MonotonicTime now);

private:
    [[nodiscard]] std::vector<base::NodeId> reachableEntryNodes() const;
    /// Returns the stable reachable entry nodes, each with the incarnation of its process.
    [[nodiscard]] std::map<base::NodeId, std::uint64_t> reachableProcesses() const;

    const base::Log& m_log;
    const ServerOptions& m_options;
    Replica& m_replica;
    const NodeTable& m_nodes;
    std::vector<base::NodeId> m_lastReachable;
    base::MonotonicTime m_stableAt;
    bool m_isProposalPending = false;
};

} // namespace crocuscove::server
