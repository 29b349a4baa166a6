#include "crocuscove/link/frame_connection.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <string>
#include <utility>

namespace crocuscove::link {

namespace {

constexpr int listenBacklog = 512;
constexpr std::size_t lengthBytes = 4;
/// Bytes that a connection sends and receives in one turn of the loop before others get theirs. By default libevent
/// sends 16 KB and receives 4 KB, so that a node whose turns are long gets a long log slowly.
constexpr std::size_t maxBytesPerTurn = std::size_t { 256 } * 1024;
constexpr std::size_t receiveBytes = std::size_t { 64 } * 1024;

/// An idle connection is probed after this time, and again after as long; silenceTimeout says when it is given up.
constexpr int probeIntervalSeconds = 1;

/// Disables the Nagle algorithm, and has an unresponsive peer detected also while nothing is sent. Errors are ignored,
/// because a failed option only adds latency or delays the detection.
void setSocketOptions(int socket, base::Milliseconds silenceTimeout)
{
    const int enabled = 1;
    const auto timeout = static_cast<unsigned int>(silenceTimeout.count());
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled));
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout));
    static_cast<void>(setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled));
    static_cast<void>(
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeIntervalSeconds, sizeof probeIntervalSeconds));
    static_cast<void>(
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof probeIntervalSeconds));
}

} // namespace

class FrameConnection::Impl {
public:
    Impl(http::EventLoop& loop, bufferevent* stream, FrameOptions options, FrameHooks hooks)
        : m_loop(loop)
        , m_stream(stream)
        , m_options(options)
        , m_hooks(std::move(hooks))
    {
        bufferevent_setcb(m_stream, onRead, nullptr, onEvent, this);
        bufferevent_set_max_single_write(m_stream, maxBytesPerTurn);
    }

    ~Impl()
    {
        *m_isAlive = false;
        bufferevent_free(m_stream);
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void enable() { bufferevent_enable(m_stream, EV_READ | EV_WRITE); }

    void connectTo(const base::Endpoint& peer)
    {
        const http::SocketAddress address = http::socketAddress(peer);
        enable();
        const int result = bufferevent_socket_connect(m_stream, address.get(), static_cast<int>(address.size));
        if (result != 0) {
            m_loop.post([this, alive = m_isAlive] {
                if (*alive) {
                    close("connect failed");
                }
            });
            return;
        }
        setSocketOptions(bufferevent_getfd(m_stream), m_options.silenceTimeout);
    }

    void setHooks(FrameHooks hooks) { m_hooks = std::move(hooks); }

    void send(std::string_view frame)
    {
        if (!m_isOpen) {
            return;
        }
        evbuffer* output = bufferevent_get_output(m_stream);
        if (evbuffer_get_length(output) + frame.size() > m_options.maxQueuedBytes) {
            m_loop.post([this, alive = m_isAlive] {
                if (*alive) {
                    close("peer reads too slowly");
                }
            });
            return;
        }
        const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
        evbuffer_add(output, &length, lengthBytes);
        evbuffer_add(output, frame.data(), frame.size());
    }

    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    [[nodiscard]] std::size_t queuedBytes() const { return evbuffer_get_length(bufferevent_get_output(m_stream)); }

private:
    static void onRead(bufferevent* /*stream*/, void* context)
    {
        auto* self = static_cast<Impl*>(context);
        self->m_loop.guard([self] { self->readFrames(); });
    }

    static void onEvent(bufferevent* /*stream*/, short what, void* context)
    {
        auto* self = static_cast<Impl*>(context);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            return;
        }
        self->m_loop.guard(
            [self, what] { self->close((what & BEV_EVENT_EOF) != 0 ? "closed by peer" : "connection failed"); });
    }

    /// Moves what has arrived to m_input. Returns whether the connection still works.
    bool receive()
    {
        evbuffer_add_buffer(m_input.get(), bufferevent_get_input(m_stream));
        for (std::size_t received = 0; received < maxBytesPerTurn;) {
            evbuffer_iovec space {};
            if (evbuffer_reserve_space(m_input.get(), receiveBytes, &space, 1) != 1) {
                return false;
            }
            const ssize_t count = ::recv(bufferevent_getfd(m_stream), space.iov_base, space.iov_len, MSG_DONTWAIT);
            if (count <= 0) {
                // The end of the stream stays readable, and libevent reports it.
                return count == 0 || errno == EAGAIN || errno == EINTR;
            }
            space.iov_len = static_cast<std::size_t>(count);
            evbuffer_commit_space(m_input.get(), &space, 1);
            received += space.iov_len;
        }
        return true;
    }

    void readFrames()
    {
        const auto alive = m_isAlive;
        const bool works = receive();
        takeFrames();
        if (*alive && !works) {
            close("connection failed");
        }
    }

    void takeFrames()
    {
        const auto alive = m_isAlive;
        evbuffer* input = m_input.get();
        while (*alive && m_isOpen && evbuffer_get_length(input) >= lengthBytes) {
            std::uint32_t length = 0;
            evbuffer_copyout(input, &length, lengthBytes);
            length = ntohl(length);
            if (length > m_options.maxFrameBytes) {
                close("frame too large");
                return;
            }
            if (evbuffer_get_length(input) < lengthBytes + length) {
                return;
            }
            evbuffer_drain(input, lengthBytes);
            std::string frame(length, '\0');
            evbuffer_remove(input, frame.data(), length);
            if (m_hooks.onFrame && !deliver(frame)) {
                return;
            }
        }
    }

    /// Passes a frame to the hook. Returns whether the connection is still usable.
    bool deliver(std::string_view frame)
    {
        const auto alive = m_isAlive;
        try {
            m_hooks.onFrame(frame);
        } catch (const MalformedFrame& error) {
            if (*alive) {
                close(error.what());
            }
            return false;
        }
        return *alive;
    }

    void close(std::string_view cause)
    {
        if (!m_isOpen) {
            return;
        }
        m_isOpen = false;
        bufferevent_disable(m_stream, EV_READ | EV_WRITE);
        // The hook may destroy this object.
        const auto onClosed = std::exchange(m_hooks.onClosed, nullptr);
        if (onClosed) {
            onClosed(cause);
        }
    }

    http::EventLoop& m_loop;
    bufferevent* m_stream;
    std::unique_ptr<evbuffer, decltype(&evbuffer_free)> m_input { evbuffer_new(), evbuffer_free };
    FrameOptions m_options;
    FrameHooks m_hooks;
    bool m_isOpen = true;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

std::unique_ptr<FrameConnection> FrameConnection::connect(
    http::EventLoop& loop, const base::Endpoint& peer, FrameOptions options, FrameHooks hooks)
{
    bufferevent* stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr) {
        throw base::Error("can't allocate a connection");
    }
    auto impl = std::make_unique<Impl>(loop, stream, options, std::move(hooks));
    impl->connectTo(peer);
    return std::make_unique<FrameConnection>(std::move(impl));
}

FrameConnection::FrameConnection(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

FrameConnection::~FrameConnection() = default;

void FrameConnection::setHooks(FrameHooks hooks) { m_impl->setHooks(std::move(hooks)); }

void FrameConnection::send(std::string_view frame) { m_impl->send(frame); }

bool FrameConnection::isOpen() const { return m_impl->isOpen(); }

std::size_t FrameConnection::queuedBytes() const { return m_impl->queuedBytes(); }

class FrameListener::Impl {
public:
    Impl(http::EventLoop& loop, const base::Endpoint& listen, FrameOptions options, Handler handler)
        : m_loop(loop)
        , m_options(options)
        , m_handler(std::move(handler))
    {
        const http::SocketAddress address = http::socketAddress(listen);
        m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            listenBacklog, address.get(), static_cast<int>(address.size));
        if (m_listener == nullptr) {
            throw base::Error(fmt::format("listening on {}: {}", listen.text(), std::strerror(errno)));
        }
    }

    ~Impl() { evconnlistener_free(m_listener); }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    [[nodiscard]] std::uint16_t port() const { return http::boundPort(evconnlistener_get_fd(m_listener)); }

private:
    static void onAccept(
        evconnlistener* /*listener*/, evutil_socket_t socket, sockaddr* /*peer*/, int /*size*/, void* context)
    {
        auto* self = static_cast<Impl*>(context);
        self->m_loop.guard([self, socket] { self->accept(socket); });
    }

    void accept(evutil_socket_t socket)
    {
        setSocketOptions(socket, m_options.silenceTimeout);
        bufferevent* stream = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        if (stream == nullptr) {
            evutil_closesocket(socket);
            return;
        }
        auto impl = std::make_unique<FrameConnection::Impl>(m_loop, stream, m_options, FrameHooks {});
        impl->enable();
        m_handler(std::make_unique<FrameConnection>(std::move(impl)));
    }

    http::EventLoop& m_loop;
    FrameOptions m_options;
    Handler m_handler;
    evconnlistener* m_listener = nullptr;
};

FrameListener::FrameListener(http::EventLoop& loop, const base::Endpoint& listen, FrameOptions options, Handler handler)
    : m_impl(std::make_unique<Impl>(loop, listen, options, std::move(handler)))
{
}

FrameListener::~FrameListener() = default;

std::uint16_t FrameListener::port() const { return m_impl->port(); }

} // namespace crocuscove::link
