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

/// Number of requests of one service in flight and queued on one entry node.
struct ServiceLoad {
    base::ServiceId service;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
};

/// Status that a node sends to the others at intervals.
struct NodeStatus {
    base::NodeId node;
    base::DataCentreId dataCentre;
    bool isEntry = false;
    bool isVoter = false;
    bool isLeader = false;
    bool isReady = false;
    std::uint64_t applied = 0;
    std::uint64_t term = 0;
    /// Reading of the sender's monotonic clock, in microseconds. Announcements broadcast by other nodes carry it back,
    /// which shows the sender that their counts were taken later.
    std::int64_t clockUs = 0;
    std::vector<ServiceLoad> loads;
};

/// A reading of each node's own monotonic clock, in microseconds.
using ClockReadings = std::map<base::NodeId, std::int64_t>;

/// The last known status of a node, and whether the node is reachable.
struct NodeView {
    NodeStatus status;
    /// True when a status arrived within the last 2.5 s, and always for this node.
    bool isReachable = false;
    /// Incarnation of the process that sent the status, or 0 without one.
    std::uint64_t incarnation = 0;
};

/// The nodes of the cluster as seen from this node, based on the status that each sends at intervals.
class NodeTable {
public:
    /// The references must outlive this. `incarnation` is that of this process; `loads` returns the load of this node.
    NodeTable(const ServerOptions& options, std::uint64_t incarnation, const Replica& replica,
        std::function<std::vector<ServiceLoad>()> loads);

    /// Returns the status of this node, encoded for sending to the other nodes.
    [[nodiscard]] std::string encodeOwnStatus() const;

    /// Stores the status in a message. Ignores it when it names another node than the sender.
    void receive(const transport::PeerMessage& message);

    /// Returns all nodes of the cluster, including this one.
    [[nodiscard]] std::vector<NodeView> nodes() const;

    /// Returns the latest clock reading received from each other node, and this node's own.
    [[nodiscard]] ClockReadings clockReadings() const;

    /// Returns whether this node is not stopping and its replicated state is current.
    [[nodiscard]] bool isReady() const;

    /// Makes this node report itself as not ready. Called before it stops.
    void beginStop() { m_isStopping = true; }

private:
    struct ReceivedStatus {
        NodeStatus status;
        base::MonotonicTime reachableUntil;
        std::uint64_t incarnation = 0;
    };

    [[nodiscard]] NodeStatus ownStatus() const;

    const ServerOptions& m_options;
    std::uint64_t m_incarnation;
    const Replica& m_replica;
    std::function<std::vector<ServiceLoad>()> m_loads;
    bool m_isStopping = false;
    std::map<base::NodeId, ReceivedStatus> m_receivedStatuses;
};

} // namespace crocuscove::server
