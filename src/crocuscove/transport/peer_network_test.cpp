#include "crocuscove/transport/peer_network.h"

#include <gtest/gtest.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <vector>

namespace crocuscove::transport {
namespace {

using namespace std::chrono_literals;

// Binds an ephemeral port to find one that is free. Another process could take it before nng does; none does here.
base::Endpoint freeEndpoint()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    EXPECT_EQ(bind(descriptor, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length), 0);
    close(descriptor);
    return { "127.0.0.1", ntohs(address.sin_port) };
}

struct TestNode {
    TestNode(const std::string& id, std::uint64_t incarnation, const std::map<base::NodeId, base::Endpoint>& peers,
        const std::string& cluster = "test")
        : network({ base::ClusterId(cluster), base::NodeId(id), incarnation, peers.at(base::NodeId(id)), peers },
            [this](const PeerMessage& message) { received.push_back(message); })
    {
    }

    // Receives until `condition` holds. Returns false after a bound that no working run reaches.
    template <typename Condition> bool receiveUntil(Condition condition)
    {
        const auto bound = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < bound) {
            pollfd waiting { network.descriptor(), POLLIN, 0 };
            poll(&waiting, 1, 10);
            network.receive();
        }
        return condition();
    }

    std::vector<PeerMessage> received;
    PeerNetwork network;
};

std::map<base::NodeId, base::Endpoint> twoPeers()
{
    return { { base::NodeId("a"), freeEndpoint() }, { base::NodeId("b"), freeEndpoint() } };
}

// Sends until `receiver` has got something, since the first messages may be dropped before the connection stands.
bool deliver(TestNode& sender, TestNode& receiver, const std::string& payload)
{
    return receiver.receiveUntil([&] {
        sender.network.send(base::NodeId("b"), MessageKind::Consensus, payload);
        return !receiver.received.empty();
    });
}

// Guards against lost kinds, senders or payload bytes.
TEST(PeerNetwork, DeliversPayloads)
{
    const auto peers = twoPeers();
    TestNode a("a", 7, peers);
    TestNode b("b", 1, peers);
    const std::string payload("\0x\xff", 3);
    ASSERT_TRUE(deliver(a, b, payload));
    EXPECT_EQ(b.received.front().sender, base::NodeId("a"));
    EXPECT_EQ(b.received.front().senderIncarnation, 7U);
    EXPECT_EQ(b.received.front().payload, payload);
}

// Guards against messages of another cluster that reach this one by a wrong address.
TEST(PeerNetwork, RefusesAnotherCluster)
{
    const auto peers = twoPeers();
    TestNode a("a", 1, peers, "other");
    TestNode b("b", 1, peers);
    EXPECT_TRUE(b.receiveUntil([&] {
        a.network.send(base::NodeId("b"), MessageKind::Consensus, "x");
        return b.network.counters().refused > 0;
    }));
    EXPECT_TRUE(b.received.empty());
}

// Guards against late messages from before a node's restart.
TEST(PeerNetwork, RefusesAnOlderIncarnation)
{
    const auto peers = twoPeers();
    TestNode b("b", 1, peers);
    {
        TestNode restarted("a", 2, peers);
        ASSERT_TRUE(deliver(restarted, b, "new"));
    }
    TestNode old("a", 1, peers);
    EXPECT_TRUE(b.receiveUntil([&] {
        old.network.send(base::NodeId("b"), MessageKind::Consensus, "old");
        return b.network.counters().refused > 0;
    }));
    EXPECT_EQ(b.received.back().payload, "new");
}

// Guards against foreign bytes on the peer port that stop the node.
TEST(PeerNetwork, CountsMalformedMessages)
{
    const auto peers = twoPeers();
    TestNode b("b", 1, peers);
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    ASSERT_EQ(nng_push0_open(&socket), 0);
    ASSERT_EQ(nng_dial(socket, ("tcp://" + peers.at(base::NodeId("b")).text()).c_str(), nullptr, 0), 0);
    std::string bytes = "not an envelope";
    ASSERT_EQ(nng_send(socket, bytes.data(), bytes.size(), 0), 0);
    EXPECT_TRUE(b.receiveUntil([&] { return b.network.counters().refused == 1; }));
    nng_close(socket);
}

// Guards against a send that blocks the loop, or memory that grows, while a peer is down.
TEST(PeerNetwork, DropsBeyondTheQueueOfAPeerThatIsDown)
{
    const auto peers = twoPeers();
    TestNode a("a", 1, peers);
    for (int i = 0; i < maxQueuedMessagesPerPeer + 10; ++i) {
        a.network.send(base::NodeId("b"), MessageKind::Consensus, "x");
    }
    EXPECT_GE(a.network.counters().dropped, 10U);
}

} // namespace
} // namespace crocuscove::transport
