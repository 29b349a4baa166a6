#include "crocuscove/transport/peer_network.h"

#include "crocuscove/base/codec.h"
#include "crocuscove/base/error.h"
#include "crocuscove/link/frame_connection.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace crocuscove::transport {

namespace {

constexpr base::Milliseconds reconnectDelay { 100 };

struct Envelope {
    std::uint32_t version = protocolVersion;
    base::ClusterId cluster;
    base::NodeId sender;
    std::uint64_t senderIncarnation = 0;
    MessageKind kind = MessageKind::Consensus;
    std::string payload;
};

CROCUSCOVE_FIELDS(Envelope, v.version, v.cluster, v.sender, v.senderIncarnation, v.kind, v.payload)

link::FrameOptions frameOptions()
{
    link::FrameOptions options;
    options.maxFrameBytes = maxPeerMessageBytes;
    // Twice the queue limit of a peer, so that messages are dropped before this limit closes the connection.
    options.maxQueuedBytes = 2 * maxQueuedBytesPerPeer;
    return options;
}

} // namespace

class PeerNetwork::Impl {
public:
    Impl(http::EventLoop& loop, PeerNetworkOptions options, Handler handler)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_listener(loop, m_options.listen, frameOptions(), [this](auto connection) { accept(std::move(connection)); })
    {
        std::ranges::for_each(m_options.peers, [this](const auto& entry) {
            if (entry.first != m_options.self) {
                connect(entry.first);
            }
        });
    }

    ~Impl() { *m_isAlive = false; }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    [[nodiscard]] const PeerNetworkCounters& counters() const { return m_counters; }

    bool send(const base::NodeId& peer, MessageKind kind, const std::string& payload)
    {
        const auto found = m_outbound.find(peer);
        const Envelope envelope { protocolVersion, m_options.cluster, m_options.self, m_options.incarnation, kind,
            payload };
        const std::string bytes = base::encode(envelope);
        const bool isSent = found != m_outbound.end() && found->second.connection && found->second.connection->isOpen()
            && bytes.size() <= maxPeerMessageBytes
            && found->second.connection->queuedBytes() + bytes.size() <= maxQueuedBytesPerPeer;
        if (!isSent) {
            ++m_counters.dropped;
            return false;
        }
        found->second.connection->send(bytes);
        ++m_counters.sent;
        m_counters.sentBytes += bytes.size();
        return true;
    }

private:
    struct Outbound {
        std::unique_ptr<link::FrameConnection> connection;
        http::Timer reconnect;
    };

    /// Runs `work` in the next iteration of the event loop unless this object is destroyed first. The caller may be a
    /// callback of the connection that `work` destroys.
    void postIfAlive(std::function<void()> work)
    {
        m_loop.post([alive = m_isAlive, work = std::move(work)] {
            if (*alive) {
                work();
            }
        });
    }

    void connect(const base::NodeId& peer)
    {
        link::FrameHooks hooks;
        hooks.onClosed = [this, peer](std::string_view /*cause*/) {
            postIfAlive([this, peer] {
                Outbound& outbound = m_outbound.at(peer);
                outbound.connection.reset();
                outbound.reconnect
                    = m_loop.runAt(base::monotonicNow() + reconnectDelay, [this, peer] { connect(peer); });
            });
        };
        m_outbound[peer].connection
            = link::FrameConnection::connect(m_loop, m_options.peers.at(peer), frameOptions(), std::move(hooks));
    }

    void accept(std::unique_ptr<link::FrameConnection> connection)
    {
        const std::uint64_t number = m_nextInbound++;
        link::FrameHooks hooks;
        hooks.onFrame = [this](std::string_view bytes) { receive(bytes); };
        hooks.onClosed
            = [this, number](std::string_view /*cause*/) { postIfAlive([this, number] { m_inbound.erase(number); }); };
        connection->setHooks(std::move(hooks));
        m_inbound.emplace(number, std::move(connection));
    }

    void receive(std::string_view bytes)
    {
        try {
            auto envelope = base::decode<Envelope>(bytes);
            if (!isAcceptable(envelope)) {
                ++m_counters.refused;
                return;
            }
            ++m_counters.received;
            m_counters.receivedBytes += bytes.size();
            m_handler({ envelope.sender, envelope.senderIncarnation, envelope.kind, std::move(envelope.payload) });
        } catch (const base::Error&) {
            ++m_counters.refused;
        }
    }

    bool isAcceptable(const Envelope& envelope)
    {
        if (envelope.version != protocolVersion || envelope.cluster != m_options.cluster
            || !m_options.peers.contains(envelope.sender)) {
            return false;
        }
        std::uint64_t& newest = m_incarnations[envelope.sender];
        newest = std::max(newest, envelope.senderIncarnation);
        return envelope.senderIncarnation == newest;
    }

    http::EventLoop& m_loop;
    PeerNetworkOptions m_options;
    Handler m_handler;
    std::map<base::NodeId, Outbound> m_outbound;
    std::map<std::uint64_t, std::unique_ptr<link::FrameConnection>> m_inbound;
    std::uint64_t m_nextInbound = 0;
    std::map<base::NodeId, std::uint64_t> m_incarnations;
    PeerNetworkCounters m_counters;
    link::FrameListener m_listener;
    /// Set to false on destruction, for callbacks that are still posted to the loop.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

PeerNetwork::PeerNetwork(http::EventLoop& loop, PeerNetworkOptions options, Handler handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(options), std::move(handler)))
{
}

PeerNetwork::~PeerNetwork() = default;

bool PeerNetwork::send(const base::NodeId& peer, MessageKind kind, const std::string& payload)
{
    return m_impl->send(peer, kind, payload);
}

const PeerNetworkCounters& PeerNetwork::counters() const { return m_impl->counters(); }

} // namespace crocuscove::transport
