#pragma once

#include "crocuscove/base/error.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace crocuscove::link {

struct FrameOptions {
    /// Maximum length of a received frame. A longer one closes the connection.
    std::size_t maxFrameBytes = std::size_t { 8 } * 1024 * 1024;
    /// Maximum number of bytes queued for sending. A frame that would exceed it closes the connection.
    std::size_t maxQueuedBytes = std::size_t { 32 } * 1024 * 1024;
    /// The connection is closed when sent data, or a probe of an idle connection, stays unacknowledged for this long
    /// (TCP_USER_TIMEOUT).
    base::Milliseconds silenceTimeout { 1500 };
};

/// Thrown by a receiver that cannot decode a frame.
class MalformedFrame : public base::Error {
public:
    using base::Error::Error;
};

struct FrameHooks {
    /// Called for each received frame. When it throws MalformedFrame, the connection is closed with that cause.
    std::function<void(std::string_view frame)> onFrame;
    /// Called once when the connection closes. It may destroy the connection.
    std::function<void(std::string_view cause)> onClosed;
};

/// A TCP connection between two processes of the system that carries length-prefixed frames. The length is four bytes
/// in network byte order.
class FrameConnection {
public:
    class Impl;

    /// Starts to connect. Frames sent before the connection is established are queued. `loop` must outlive the
    /// connection.
    static std::unique_ptr<FrameConnection> connect(
        http::EventLoop& loop, const base::Endpoint& peer, FrameOptions options, FrameHooks hooks);

    explicit FrameConnection(std::unique_ptr<Impl> impl);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    /// Replaces the hooks. An accepted connection starts without any.
    void setHooks(FrameHooks hooks);

    /// Queues a frame for sending. Has no effect once the connection is closed.
    void send(std::string_view frame);

    [[nodiscard]] bool isOpen() const;
    /// Bytes queued by send() that the operating system has not accepted yet.
    [[nodiscard]] std::size_t queuedBytes() const;

private:
    std::unique_ptr<Impl> m_impl;
};

/// Accepts incoming frame connections.
class FrameListener {
public:
    using Handler = std::function<void(std::unique_ptr<FrameConnection>)>;

    /// Starts listening. Throws base::Error when the address cannot be bound.
    FrameListener(http::EventLoop& loop, const base::Endpoint& listen, FrameOptions options, Handler handler);
    ~FrameListener();
    FrameListener(const FrameListener&) = delete;
    FrameListener& operator=(const FrameListener&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuscove::link
