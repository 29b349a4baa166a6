#include "support/fault_proxy.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/socket_testing.h"
#include "support/proxy_control.h"

#include <gtest/gtest.h>

#include <array>

namespace crocuscove::testing {
namespace {

using http::testing::RawConnection;
using http::testing::RawServer;
using http::testing::runUntil;

class FaultProxyTest : public ::testing::Test {
protected:
    FaultProxyTest() { proxy.setTarget(server.endpoint()); }

    /// Connects through the proxy and returns the client's end; the target's end is the last of `server`.
    std::unique_ptr<RawConnection> connect()
    {
        const std::size_t index = server.connections.size();
        auto client = std::make_unique<RawConnection>(loop, proxy.port());
        EXPECT_TRUE(runUntil(loop, [&] { return server.connections.size() == index + 1; }));
        return client;
    }

    [[nodiscard]] bool waitFor(const std::function<bool()>& condition) { return runUntil(loop, condition); }

    /// Runs the loop for a while, in which something must not happen.
    void runFor(int milliseconds)
    {
        const base::MonotonicTime end = base::monotonicNow() + base::Milliseconds(milliseconds);
        EXPECT_TRUE(runUntil(loop, [&] { return base::monotonicNow() >= end; }));
    }

    http::EventLoop loop;
    RawServer server { loop };
    FaultProxy proxy { loop, {} };
};

// Guards against a proxy that changes what it should only pass on, including the end of a stream.
TEST_F(FaultProxyTest, PassesBytesAndEndsOn)
{
    const auto client = connect();
    RawConnection& target = *server.connections[0];
    client->send("hello");
    ASSERT_TRUE(waitFor([&] { return target.received() == "hello"; }));
    target.send("world");
    ASSERT_TRUE(waitFor([&] { return client->received() == "world"; }));
    target.send("bye");
    target.close();
    ASSERT_TRUE(waitFor([&] { return client->isEnded(); }));
    EXPECT_EQ(client->received(), "worldbye");
    client->close();
    EXPECT_TRUE(waitFor([&] { return proxy.openConnections() == 0; }));
}

// Guards against faults that have no effect: a delay must hold back, a one-way cut must hold back one way only.
TEST_F(FaultProxyTest, DelaysAndCuts)
{
    const auto client = connect();
    RawConnection& target = *server.connections[0];
    proxy.setFaults({ .delayMs = 50, .jitterMs = 10 });
    const base::MonotonicTime start = base::monotonicNow();
    client->send("a");
    ASSERT_TRUE(waitFor([&] { return target.received() == "a"; }));
    EXPECT_GE(base::monotonicNow() - start, base::Milliseconds(50));

    proxy.setFaults({ .cut = Cut::ToTarget });
    client->send("b");
    target.send("c");
    ASSERT_TRUE(waitFor([&] { return client->received() == "c"; }));
    runFor(30);
    EXPECT_EQ(target.received(), "a");

    proxy.setFaults({ .cut = Cut::Both });
    target.send("d");
    runFor(30);
    EXPECT_EQ(client->received(), "c");
    EXPECT_FALSE(client->isEnded());

    proxy.setFaults({});
    EXPECT_TRUE(waitFor([&] { return target.received() == "ab" && client->received() == "cd"; }));
}

// Guards against a truncation at the wrong byte, or one that leaves the connection open.
TEST_F(FaultProxyTest, Truncates)
{
    proxy.setFaults({ .truncateAfterBytes = 7 });
    const auto client = connect();
    server.connections[0]->send("12345");
    ASSERT_TRUE(waitFor([&] { return client->received() == "12345"; }));
    server.connections[0]->send("67890");
    ASSERT_TRUE(waitFor([&] { return client->isEnded(); }));
    EXPECT_EQ(client->received(), "1234567");
    EXPECT_TRUE(waitFor([&] { return server.connections[0]->isEnded(); }));
    EXPECT_EQ(proxy.counters().truncated, 1U);
}

// Guards against resets and refusals that leave an end open.
TEST_F(FaultProxyTest, ResetsAndRefuses)
{
    const auto client = connect();
    proxy.resetConnections();
    EXPECT_TRUE(waitFor([&] { return client->isEnded() && server.connections[0]->isEnded(); }));
    proxy.setFaults({ .isRefusing = true });
    const RawConnection refused(loop, proxy.port());
    EXPECT_TRUE(waitFor([&] { return refused.isEnded(); }));
    EXPECT_EQ(server.connections.size(), 1U);
    EXPECT_EQ(proxy.counters().reset, 2U);
}

// Guards against a reorder fault that keeps the order between connections, or breaks it within one.
TEST_F(FaultProxyTest, ReordersBetweenConnections)
{
    const std::array clients { connect(), connect() };
    bool isReversed = false;
    for (int attempt = 0; attempt < 20 && !isReversed; ++attempt) {
        proxy.setFaults({ .reorderWindowMs = 200 });
        // The three pieces must fall into one window, unless the machine stalls.
        const base::Microseconds window = base::Milliseconds(200);
        ASSERT_TRUE(waitFor([&] { return base::monotonicNow().time_since_epoch() % window < window / 5; }));
        const std::string expected = server.connections[0]->received() + "12";
        clients[0]->send("1");
        runFor(20);
        clients[1]->send("x");
        runFor(20);
        clients[0]->send("2");
        ASSERT_TRUE(waitFor([&] {
            isReversed |= server.connections[1]->received().size() > static_cast<std::size_t>(attempt)
                && server.connections[0]->received().size() < expected.size();
            return server.connections[0]->received() == expected
                && server.connections[1]->received().size() == static_cast<std::size_t>(attempt) + 1;
        }));
    }
    EXPECT_TRUE(isReversed);
}

// Guards against an unreachable target that looks like a silent one.
TEST_F(FaultProxyTest, UnreachableTargetEndsTheConnection)
{
    {
        const RawServer closed(loop);
        proxy.setTarget(closed.endpoint());
    }
    const RawConnection client(loop, proxy.port());
    EXPECT_TRUE(waitFor([&] { return client.isEnded(); }));
    EXPECT_TRUE(waitFor([&] { return proxy.openConnections() == 0; }));
}

// Guards against a transfer that is held in memory as a whole, or comes out changed.
TEST_F(FaultProxyTest, PassesLargeTransfers)
{
    const auto client = connect();
    proxy.setFaults({ .delayMs = 1 });
    const std::string piece(10'000, 'x');
    for (int index = 0; index < 300; ++index) {
        ASSERT_TRUE(client->send(piece));
        const std::size_t sent = piece.size() * static_cast<std::size_t>(index + 1);
        ASSERT_TRUE(waitFor([&] { return server.connections[0]->received().size() + 100'000 > sent; }));
    }
    EXPECT_TRUE(waitFor([&] { return server.connections[0]->received().size() == 300 * piece.size(); }));
}

// Guards against a control request with a mistake that is silently ignored.
TEST(ProxyFaultsTest, ParsesAndRefuses)
{
    const nlohmann::json json { { "delayMs", 3 }, { "jitterMs", 2 }, { "cut", "to-client" },
        { "truncateAfterBytes", 9 }, { "reorderWindowMs", 4 }, { "refuse", true } };
    EXPECT_EQ(nlohmann::json(describe(parseProxyFaults(json))), json);
    for (const nlohmann::json& wrong : std::vector<nlohmann::json> { { { "delay", 3 } }, { { "delayMs", -1 } },
             { { "cut", "half" } }, { { "refuse", 1 } }, nlohmann::json::array() }) {
        EXPECT_THROW(parseProxyFaults(wrong), base::InvalidInput) << wrong;
    }
    EXPECT_EQ(parseProxyTargets({ "a=127.0.0.1:0>127.0.0.1:80" }).at("a").target.port, 80);
    EXPECT_THROW(parseProxyTargets({ "a=127.0.0.1:0" }), base::InvalidInput);
}

} // namespace
} // namespace crocuscove::testing
