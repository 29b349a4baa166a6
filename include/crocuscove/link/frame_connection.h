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
    /// Largest frame that is accepted.
    std::size_t maxFrameBytes = std::size_t { 8 } * 1024 * 1024;
    /// A connection whose peer leaves more than this unread is closed.
    std::size_t maxQueuedBytes = std::size_t { 32 } * 1024 * 1024;
    /// A connection whose peer acknowledges nothing for this long is closed (TCP_USER_TIMEOUT).
    base::Milliseconds silenceTimeout { 1500 };
};

/// A frame that its receiver can't read.
class MalformedFrame : public base::Error {
public:
    using base::Error::Error;
};

struct FrameHooks {
    /// When it throws MalformedFrame, the connection is closed with that cause.
    std::function<void(std::string_view frame)> onFrame;
    /// Runs once, when the connection can carry nothing any more. It may destroy the connection.
    std::function<void(std::string_view cause)> onClosed;
};

/// A TCP connection between two of our processes that carries whole frames: a length of four bytes, then the bytes.
class FrameConnection {
public:
    class Impl;

    /// Starts to connect; frames sent meanwhile are queued. `loop` must outlive the connection.
    static std::unique_ptr<FrameConnection> connect(
        http::EventLoop& loop, const base::Endpoint& peer, FrameOptions options, FrameHooks hooks);

    explicit FrameConnection(std::unique_ptr<Impl> impl);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    /// Replaces the hooks, such as those of a connection that was just accepted.
    void setHooks(FrameHooks hooks);

    /// Queues a frame. Nothing is sent once the connection is closed.
    void send(std::string_view frame);

    [[nodiscard]] bool isOpen() const;
    /// Bytes that were sent and not taken by the system yet.
    [[nodiscard]] std::size_t queuedBytes() const;

private:
    std::unique_ptr<Impl> m_impl;
};

/// Accepts connections of frames.
class FrameListener {
public:
    using Handler = std::function<void(std::unique_ptr<FrameConnection>)>;

    /// Listens at once. Throws base::Error when the address can't be bound.
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
