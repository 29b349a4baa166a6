#include "crocuscove/transport/peer_network.h"

#include "crocuscove/base/codec.h"
#include "crocuscove/base/error.h"

#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <utility>

namespace crocuscove::transport {

namespace {

constexpr int maxMessagesPerReceive = 256;
constexpr nng_duration reconnectMinimumMs = 50;
constexpr nng_duration reconnectMaximumMs = 1000;

struct Envelope {
    std::uint32_t version = protocolVersion;
    base::ClusterId cluster;
    base::NodeId sender;
    std::uint64_t senderIncarnation = 0;
    MessageKind kind = MessageKind::Consensus;
    std::string payload;
};

CROCUSCOVE_FIELDS(Envelope, v.version, v.cluster, v.sender, v.senderIncarnation, v.kind, v.payload)

void check(int result, const std::string& what)
{
    if (result != 0) {
        throw base::Error(fmt::format("{}: {}", what, nng_strerror(result)));
    }
}

std::string url(const base::Endpoint& endpoint) { return "tcp://" + endpoint.text(); }

nng_socket openListener(const base::Endpoint& listen)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    check(nng_pull0_open(&socket), "opening the peer socket");
    check(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, maxPeerMessageBytes), "limiting peer messages");
    check(nng_listen(socket, url(listen).c_str(), nullptr, 0), "peer-listen " + listen.text());
    return socket;
}

nng_socket openDialer(const base::Endpoint& peer)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    check(nng_push0_open(&socket), "opening a peer socket");
    check(nng_socket_set_int(socket, NNG_OPT_SENDBUF, maxQueuedMessagesPerPeer), "bounding the send queue");
    check(nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnectMinimumMs), "setting the reconnect time");
    check(nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnectMaximumMs), "setting the reconnect time");
    check(nng_dial(socket, url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dialling peer " + peer.text());
    return socket;
}

} // namespace

class PeerNetwork::Sockets {
public:
    Sockets(PeerNetworkOptions options, Handler handler)
        : m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_listener(openListener(m_options.listen))
    {
        check(nng_socket_get_int(m_listener, NNG_OPT_RECVFD, &m_descriptor), "getting the receive descriptor");
        std::ranges::for_each(m_options.peers, [&](const auto& entry) {
            if (entry.first != m_options.self) {
                m_dialers.emplace(entry.first, openDialer(entry.second));
            }
        });
    }

    ~Sockets()
    {
        nng_close(m_listener);
        std::ranges::for_each(m_dialers, [](const auto& entry) { nng_close(entry.second); });
    }

    Sockets(const Sockets&) = delete;
    Sockets& operator=(const Sockets&) = delete;

    [[nodiscard]] int descriptor() const { return m_descriptor; }
    [[nodiscard]] const PeerNetworkCounters& counters() const { return m_counters; }

    void receive()
    {
        for (int count = 0; count < maxMessagesPerReceive; ++count) {
            nng_msg* message = nullptr;
            if (nng_recvmsg(m_listener, &message, NNG_FLAG_NONBLOCK) != 0) {
                return;
            }
            const std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
            nng_msg_free(message);
            accept(bytes);
        }
    }

    bool send(const base::NodeId& peer, MessageKind kind, const std::string& payload)
    {
        const auto dialer = m_dialers.find(peer);
        const Envelope envelope { protocolVersion, m_options.cluster, m_options.self, m_options.incarnation, kind,
            payload };
        const std::string bytes = base::encode(envelope);
        if (dialer == m_dialers.end() || bytes.size() > maxPeerMessageBytes || !sendBytes(dialer->second, bytes)) {
            ++m_counters.dropped;
            return false;
        }
        ++m_counters.sent;
        m_counters.sentBytes += bytes.size();
        return true;
    }

private:
    static bool sendBytes(nng_socket socket, const std::string& bytes)
    {
        nng_msg* message = nullptr;
        if (nng_msg_alloc(&message, 0) != 0) {
            return false;
        }
        const bool isQueued = nng_msg_append(message, bytes.data(), bytes.size()) == 0
            && nng_sendmsg(socket, message, NNG_FLAG_NONBLOCK) == 0;
        if (!isQueued) {
            nng_msg_free(message);
        }
        return isQueued;
    }

    void accept(const std::string& bytes)
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

    PeerNetworkOptions m_options;
    Handler m_handler;
    nng_socket m_listener;
    int m_descriptor = -1;
    std::map<base::NodeId, nng_socket> m_dialers;
    std::map<base::NodeId, std::uint64_t> m_incarnations;
    PeerNetworkCounters m_counters;
};

PeerNetwork::PeerNetwork(PeerNetworkOptions options, Handler handler)
    : m_sockets(std::make_unique<Sockets>(std::move(options), std::move(handler)))
{
}

PeerNetwork::~PeerNetwork() = default;

int PeerNetwork::descriptor() const { return m_sockets->descriptor(); }

void PeerNetwork::receive() { m_sockets->receive(); }

bool PeerNetwork::send(const base::NodeId& peer, MessageKind kind, const std::string& payload)
{
    return m_sockets->send(peer, kind, payload);
}

const PeerNetworkCounters& PeerNetwork::counters() const { return m_sockets->counters(); }

} // namespace crocuscove::transport
