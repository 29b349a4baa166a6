#include "crocuscove/link/frame_connection.h"

#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::link {
namespace {

using http::testing::runUntil;

constexpr std::size_t frames = 4'096;
constexpr std::size_t frameBytes = 1'024;

/// Both ends of a connection on one loop.
class FrameFlowTest : public testing::Test {
protected:
    FrameFlowTest()
    {
        FrameHooks hooks;
        hooks.onFrame = [this](std::string_view frame) { m_received.emplace_back(frame); };
        hooks.onClosed = [this](std::string_view cause) { m_closedBecause = cause; };
        m_client
            = FrameConnection::connect(m_loop, { "127.0.0.1", m_listener.port() }, FrameOptions {}, std::move(hooks));
        EXPECT_TRUE(runUntil(m_loop, [this] { return m_server != nullptr; }));
    }

    http::EventLoop m_loop;
    std::unique_ptr<FrameConnection> m_server;
    FrameListener m_listener { m_loop, { "127.0.0.1", 0 }, FrameOptions {},
        [this](auto connection) { m_server = std::move(connection); } };
    std::vector<std::string> m_received;
    std::string m_closedBecause;
    std::unique_ptr<FrameConnection> m_client;
};

// Guards against a connection that takes a few kilobytes in each turn of the loop, so that a busy node that lost its
// disk gets the log of its leader too late.
TEST_F(FrameFlowTest, ALongLogNeedsFewTurnsOfTheLoop)
{
    std::size_t receivedBefore = 0;
    int turns = 0;
    std::function<void()> countTurn = [&] {
        turns += m_received.size() > receivedBefore ? 1 : 0;
        receivedBefore = m_received.size();
        m_loop.post(countTurn);
    };
    m_loop.post(countTurn);
    for (std::size_t frame = 0; frame < frames; ++frame) {
        m_server->send(std::string(frameBytes, 'x'));
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_received.size() == frames; }));
    EXPECT_LE(turns, 256) << "16 KB in each turn that receives something";
}

// Guards against frames that are lost or cut when the peer closes right after them.
TEST_F(FrameFlowTest, FramesSentBeforeTheCloseArrive)
{
    for (int frame = 0; frame < 100; ++frame) {
        m_server->send(std::string(1'000, static_cast<char>('a' + frame % 26)));
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_server->queuedBytes() == 0; }));
    m_server.reset();
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_closedBecause.empty(); }));
    EXPECT_EQ(m_received.size(), 100U);
    EXPECT_EQ(m_received.back(), std::string(1'000, static_cast<char>('a' + 99 % 26)));
    EXPECT_EQ(m_closedBecause, "closed by peer");
}

} // namespace
} // namespace crocuscove::link
