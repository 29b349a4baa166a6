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
/// Bytes that wait for one peer. Further messages are dropped, since every protocol on top repeats what matters.
inline constexpr std::size_t maxQueuedBytesPerPeer = 2 * maxPeerMessageBytes;

/// Which protocol a message belongs to.
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
    /// Rises with every start of the sender.
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

/// Counts of what arrived and left, for metrics.
struct PeerNetworkCounters {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t dropped = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Malformed, of another cluster or protocol version, or from an older incarnation of the sender.
    std::uint64_t refused = 0;
};

/// Sends and receives messages between nodes, over one connection of frames in each direction. Delivery is best effort:
/// messages may be lost, or delivered late, but one sender's messages arrive in order.
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
    class Links;
    std::unique_ptr<Links> m_links;
};

} // namespace crocuscove::transport
