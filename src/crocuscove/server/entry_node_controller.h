#pragma once

#include "node_table.h"
#include "replica.h"

#include "crocuscove/base/log.h"

#include <vector>

namespace crocuscove::server {

/// Runs on the leader: keeps the committed entry nodes equal to those that are reachable, so that the grantors of
/// slots are nodes that answer.
class EntryNodeController {
public:
    /// The references must outlive this.
    EntryNodeController(const base::Log& log, const ServerOptions& options, Replica& replica, const NodeTable& nodes);

    void beginLeading(base::MonotonicTime now);
    void tick(base::MonotonicTime now);

private:
    [[nodiscard]] std::vector<base::NodeId> reachableEntryNodes() const;

    const base::Log& m_log;
    const ServerOptions& m_options;
    Replica& m_replica;
    const NodeTable& m_nodes;
    std::vector<base::NodeId> m_seen;
    base::MonotonicTime m_stableAt;
    bool m_isPending = false;
};

} // namespace crocuscove::server
