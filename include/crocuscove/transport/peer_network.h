#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crocuscove::transport {

inline constexpr std::uint32_t protocolVersion = 1;
inline constexpr std::size_t maxPeerMessageBytes = 8 * 1024 * 1024;
/// Maximum number of bytes queued for one peer. Further messages are dropped, because the protocols that use the
/// network resend what they need.
inline constexpr std::size_t maxQueuedBytesPerPeer = 2 * maxPeerMessageBytes;

/// Protocol that a message belongs to.
enum class MessageKind {
    Consensus,
    Membership,
    ForwardRequest,
    ForwardResponse,
    Backends,
    Slots,
    NodeStatus,
};

/// A message from another node of the same cluster.
struct PeerMessage {
    base::NodeId sender;
    /// Increases with every start of the sender.
    std::uint64_t senderIncarnation = 0;
    MessageKind kind = MessageKind::Consensus;
    std::string payload;
};

struct PeerNetworkOptions {
    base::ClusterId cluster;
    base::NodeId self;
    std::uint64_t incarnation = 0;
    base::Endpoint listen;
    std::map<base::NodeId, base::Endpoint> peers;
};

/// Message counters for metrics.
struct PeerNetworkCounters {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    /// Not sent: no open connection, a full queue or a message above `maxPeerMessageBytes`.
    std::uint64_t dropped = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Malformed, from an unknown sender, from another cluster or protocol version, or from an older incarnation of the
    /// sender.
    std::uint64_t refused = 0;
};

/// Sends and receives messages between nodes, over one frame connection in each direction. Delivery is best effort:
/// messages may be lost or delayed, but messages of one sender arrive in order.
class PeerNetwork {
public:
    using Handler = std::function<void(const PeerMessage&)>;

    /// Throws base::Error when the listen address cannot be bound. `loop` must outlive the network.
    PeerNetwork(http::EventLoop& loop, PeerNetworkOptions options, Handler handler);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    /// Queues a message. Returns false when it was dropped.
    bool send(const base::NodeId& peer, MessageKind kind, const std::string& payload);

    [[nodiscard]] const PeerNetworkCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuscove::transport
