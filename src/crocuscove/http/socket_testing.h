#pragma once

#include "crocuscove/base/error.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Raw sockets for tests, which can send what no HTTP library would.
namespace crocuscove::http::testing {

inline constexpr base::Milliseconds conditionTimeout { 30'000 };

/// Runs the loop until `condition` holds. Returns false when it doesn't within a generous timeout.
inline bool runUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    bool holds = condition();
    if (holds) {
        return true;
    }
    const Timer timeout = loop.runAt(base::monotonicNow() + conditionTimeout, [&] { loop.stop(); });
    const Timer check = loop.runEvery(base::Milliseconds(1), [&] {
        holds = condition();
        if (holds) {
            loop.stop();
        }
    });
    loop.run();
    return holds;
}

/// Runs the loop for a few turns, so that I/O that is ready happens.
inline void runTurns(EventLoop& loop, int count)
{
    int turns = 0;
    std::function<void()> next = [&] {
        if (++turns < count) {
            loop.post(next);
        }
    };
    loop.post(next);
    if (!runUntil(loop, [&] { return turns == count; })) {
        throw base::Error("the loop doesn't turn");
    }
}

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A connected socket that collects what it receives.
class RawConnection {
public:
    RawConnection(EventLoop& loop, int fd)
        : m_fd(fd)
        , m_watch(loop.onReadable(fd, [this] { receive(); }))
    {
        // Without it, a second small piece waits about 40 ms for the acknowledgement of the first.
        const int enable = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    }

    RawConnection(EventLoop& loop, std::uint16_t port)
        : RawConnection(loop, connectTo(port))
    {
    }

    ~RawConnection() { close(); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /// Sends small texts, which the socket buffer takes at once. Returns whether it took all.
    bool send(std::string_view bytes) const
    {
        return ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    void close()
    {
        m_watch.cancel();
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
    }

    /// Closes so that the peer gets a reset.
    void reset()
    {
        const linger hard { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }

    [[nodiscard]] const std::string& received() const { return m_received; }
    [[nodiscard]] bool isEnded() const { return m_isEnded; }

    void clear() { m_received.clear(); }

private:
    static int connectTo(std::uint16_t port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopbackAddress(port);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            throw base::Error("can't connect to a loopback port");
        }
        return fd;
    }

    void receive()
    {
        std::array<char, 4096> bytes {};
        const auto count = recv(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_received.append(bytes.data(), static_cast<std::size_t>(count));
        } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
            m_isEnded = true;
            m_watch.cancel();
        }
    }

    int m_fd;
    std::string m_received;
    bool m_isEnded = false;
    Watch m_watch;
};

/// Accepts connections on a free loopback port.
class RawServer {
public:
    explicit RawServer(EventLoop& loop)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = loopbackAddress(0);
        if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(m_fd, 128) != 0) {
            throw base::Error("can't listen on a loopback port");
        }
        m_watch = loop.onReadable(m_fd, [this, &loop] {
            connections.push_back(std::make_unique<RawConnection>(loop, accept(m_fd, nullptr, nullptr)));
        });
    }

    ~RawServer()
    {
        m_watch.cancel();
        ::close(m_fd);
    }

    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    [[nodiscard]] base::Endpoint endpoint() const { return { "127.0.0.1", boundPort(m_fd) }; }

    std::vector<std::unique_ptr<RawConnection>> connections;

private:
    int m_fd;
    Watch m_watch;
};

/// Listens with a full backlog, so that connecting hangs.
class SilentServer {
public:
    SilentServer()
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in any = loopbackAddress(0);
        if (bind(m_fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0 || listen(m_fd, 0) != 0) {
            throw base::Error("can't listen on a loopback port");
        }
        const sockaddr_in address = loopbackAddress(endpoint().port);
        for (int& filler : m_fillers) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            if (connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
                && errno != EINPROGRESS) {
                throw base::Error("can't fill the backlog");
            }
        }
    }

    ~SilentServer()
    {
        std::ranges::for_each(m_fillers, [](int fd) { ::close(fd); });
        ::close(m_fd);
    }

    SilentServer(const SilentServer&) = delete;
    SilentServer& operator=(const SilentServer&) = delete;

    [[nodiscard]] base::Endpoint endpoint() const { return { "127.0.0.1", boundPort(m_fd) }; }

private:
    int m_fd;
    std::array<int, 4> m_fillers {};
};

} // namespace crocuscove::http::testing
