#pragma once

#include "replica.h"

#include "crocuscove/transport/peer_network.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuscove::server {

/// Requests of one service on one entry node.
struct ServiceLoad {
    base::ServiceId service;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
};

/// What a node last said of itself.
struct NodeStatus {
    base::NodeId node;
    base::DataCentreId dataCentre;
    bool isEntry = false;
    bool isVoter = false;
    bool isLeader = false;
    bool isReady = false;
    std::uint64_t applied = 0;
    std::uint64_t term = 0;
    /// The sender's monotonic clock. It comes back in reports that were certainly made later.
    std::int64_t clockUs = 0;
    std::vector<ServiceLoad> loads;
};

/// Readings of the nodes' own monotonic clocks.
using ClockStamps = std::map<base::NodeId, std::int64_t>;

struct NodeView {
    NodeStatus status;
    /// A status arrived within the last seconds.
    bool isReachable = false;
};

/// The nodes of the cluster as this one sees them, from the status that each sends at intervals.
class NodeTable {
public:
    /// `loads` gives the load of this node.
    NodeTable(const ServerOptions& options, const Replica& replica, std::function<std::vector<ServiceLoad>()> loads);

    /// The status of this node, encoded for the others.
    [[nodiscard]] std::string encodedOwnStatus() const;

    void receive(const transport::PeerMessage& message);

    /// All nodes of the cluster, this one included.
    [[nodiscard]] std::vector<NodeView> nodes() const;

    /// The latest clock reading of every node that has been received here, and this node's own.
    [[nodiscard]] ClockStamps clockStamps() const;

    [[nodiscard]] bool isReady() const;

    /// Makes this node report that it is not ready, before it stops.
    void beginStop() { m_isStopping = true; }

private:
    struct Known {
        NodeStatus status;
        base::MonotonicTime reachableUntil;
    };

    [[nodiscard]] NodeStatus ownStatus() const;

    const ServerOptions& m_options;
    const Replica& m_replica;
    std::function<std::vector<ServiceLoad>()> m_loads;
    bool m_isStopping = false;
    std::map<base::NodeId, Known> m_known;
};

} // namespace crocuscove::server
