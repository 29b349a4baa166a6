#include "crocuscove/transport/peer_network.h"

#include "crocuscove/link/frame_connection.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <vector>

namespace crocuscove::transport {
namespace {

using namespace std::chrono_literals;

// Binds an ephemeral port to find one that is free. Another process could take it before the test does.
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
    TestNode(http::EventLoop& eventLoop, const std::string& id, std::uint64_t incarnation,
        const std::map<base::NodeId, base::Endpoint>& peers, const std::string& cluster = "test")
        : loop(eventLoop)
        , network(eventLoop,
              { base::ClusterId(cluster), base::NodeId(id), incarnation, peers.at(base::NodeId(id)), peers },
              [this](const PeerMessage& message) { received.push_back(message); })
    {
    }

    // Runs the loop until `condition`, checked every 5 ms, holds. Returns false after a timeout far above the normal
    // duration.
    template <typename Condition> bool receiveUntil(Condition condition)
    {
        bool holds = false;
        const auto poll = loop.runEvery(5ms, [&] {
            holds = condition();
            if (holds) {
                loop.stop();
            }
        });
        const auto bound = loop.runAt(base::monotonicNow() + 20s, [this] { loop.stop(); });
        loop.run();
        return holds;
    }

    http::EventLoop& loop;
    std::vector<PeerMessage> received;
    PeerNetwork network;
};

std::map<base::NodeId, base::Endpoint> twoPeers()
{
    return { { base::NodeId("a"), freeEndpoint() }, { base::NodeId("b"), freeEndpoint() } };
}

// Sends until `receiver` receives a message, since messages are dropped until the connection is established.
bool deliver(TestNode& sender, TestNode& receiver, const std::string& payload)
{
    return receiver.receiveUntil([&] {
        sender.network.send(base::NodeId("b"), MessageKind::Consensus, payload);
        return !receiver.received.empty();
    });
}

// Guards against a wrong sender or incarnation, or a corrupted payload.
TEST(PeerNetwork, DeliversPayloads)
{
    http::EventLoop loop;
    const auto peers = twoPeers();
    TestNode a(loop, "a", 7, peers);
    TestNode b(loop, "b", 1, peers);
    const std::string payload("\0x\xff", 3);
    ASSERT_TRUE(deliver(a, b, payload));
    EXPECT_EQ(b.received.front().sender, base::NodeId("a"));
    EXPECT_EQ(b.received.front().senderIncarnation, 7U);
    EXPECT_EQ(b.received.front().payload, payload);
}

// Guards against accepting messages of another cluster that arrive through a misconfigured address.
TEST(PeerNetwork, RefusesAnotherCluster)
{
    http::EventLoop loop;
    const auto peers = twoPeers();
    TestNode a(loop, "a", 1, peers, "other");
    TestNode b(loop, "b", 1, peers);
    EXPECT_TRUE(b.receiveUntil([&] {
        a.network.send(base::NodeId("b"), MessageKind::Consensus, "x");
        return b.network.counters().refused > 0;
    }));
    EXPECT_TRUE(b.received.empty());
}

// Guards against accepting delayed messages that a node sent before its restart.
TEST(PeerNetwork, RefusesAnOlderIncarnation)
{
    http::EventLoop loop;
    const auto peers = twoPeers();
    TestNode b(loop, "b", 1, peers);
    {
        TestNode restarted(loop, "a", 2, peers);
        ASSERT_TRUE(deliver(restarted, b, "new"));
    }
    TestNode old(loop, "a", 1, peers);
    EXPECT_TRUE(b.receiveUntil([&] {
        old.network.send(base::NodeId("b"), MessageKind::Consensus, "old");
        return b.network.counters().refused > 0;
    }));
    EXPECT_EQ(b.received.back().payload, "new");
}

// Guards against a crash caused by malformed data on the peer port.
TEST(PeerNetwork, CountsMalformedMessages)
{
    http::EventLoop loop;
    const auto peers = twoPeers();
    TestNode b(loop, "b", 1, peers);
    const auto client = link::FrameConnection::connect(loop, peers.at(base::NodeId("b")), link::FrameOptions {}, {});
    client->send("not an envelope");
    EXPECT_TRUE(b.receiveUntil([&] { return b.network.counters().refused == 1; }));
}

// Guards against a blocked event loop or unbounded memory use while a peer is down.
TEST(PeerNetwork, DropsBeyondTheQueueOfAPeerThatIsDown)
{
    http::EventLoop loop;
    const auto peers = twoPeers();
    TestNode a(loop, "a", 1, peers);
    const std::string payload(maxQueuedBytesPerPeer / 64, 'x');
    for (int i = 0; i < 64 + 10; ++i) {
        a.network.send(base::NodeId("b"), MessageKind::Consensus, payload);
    }
    EXPECT_GE(a.network.counters().dropped, 10U);
}

} // namespace
} // namespace crocuscove::transport
