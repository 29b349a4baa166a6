#include "crocuscove/link/frame_connection.h"

#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>

namespace crocuscove::link {
namespace {

using http::testing::loopbackAddress;
using http::testing::runTurns;
using http::testing::runUntil;

/// A blocking socket that can stop to answer like a machine without power.
class PeerSocket {
public:
    explicit PeerSocket(int fd)
        : m_fd(fd)
    {
    }
    ~PeerSocket() { close(m_fd); }
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    [[nodiscard]] int fd() const { return m_fd; }

    /// Drops every packet that arrives, before it is acknowledged.
    void losePower() const
    {
        sock_filter dropAll { BPF_RET | BPF_K, 0, 0, 0 };
        const sock_fprog program { 1, &dropAll };
        ASSERT_EQ(setsockopt(m_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program), 0);
    }

private:
    int m_fd;
};

int newSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

// Guards against a connection that stays open for ever because its peer lost power while nothing was sent.
TEST(FrameConnectionTest, AnIdleConnectionToAPeerThatLostPowerIsClosed)
{
    http::EventLoop loop;
    const PeerSocket listener(newSocket());
    sockaddr_in address = loopbackAddress(0);
    socklen_t size = sizeof address;
    ASSERT_EQ(bind(listener.fd(), reinterpret_cast<sockaddr*>(&address), size), 0);
    ASSERT_EQ(listen(listener.fd(), 1), 0);
    ASSERT_EQ(getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size), 0);
    std::string cause;
    FrameHooks hooks;
    hooks.onClosed = [&](std::string_view text) { cause = text; };
    const auto connection
        = FrameConnection::connect(loop, { "127.0.0.1", ntohs(address.sin_port) }, FrameOptions {}, std::move(hooks));
    const PeerSocket peer(accept(listener.fd(), nullptr, nullptr));
    runTurns(loop, 3);
    peer.losePower();
    EXPECT_TRUE(runUntil(loop, [&] { return !cause.empty(); }));
    EXPECT_FALSE(connection->isOpen());
}

// Guards against descriptors of callers that lost power, which an accepting node keeps for ever.
TEST(FrameConnectionTest, AnAcceptedConnectionFromAPeerThatLostPowerIsClosed)
{
    http::EventLoop loop;
    std::unique_ptr<FrameConnection> accepted;
    std::string cause;
    const FrameListener listener(loop, { "127.0.0.1", 0 }, FrameOptions {}, [&](auto connection) {
        FrameHooks hooks;
        hooks.onClosed = [&](std::string_view text) { cause = text; };
        connection->setHooks(std::move(hooks));
        accepted = std::move(connection);
    });
    const PeerSocket peer(newSocket());
    const sockaddr_in address = loopbackAddress(listener.port());
    ASSERT_EQ(connect(peer.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    ASSERT_TRUE(runUntil(loop, [&] { return accepted != nullptr; }));
    peer.losePower();
    EXPECT_TRUE(runUntil(loop, [&] { return !cause.empty(); }));
}

} // namespace
} // namespace crocuscove::link
