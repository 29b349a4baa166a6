#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace crocuscove::http {

struct HttpClientOptions {
    std::size_t maxIdlePerEndpoint = 16;
    /// Beyond this the connection that was idle for the longest time is closed.
    std::size_t maxIdleConnections = 1024;
    /// Open connections, idle ones not counted. A call beyond this fails at once with ConnectFailed.
    std::size_t maxOpenCalls = 16UL * 1024;
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 64UL * 1024 * 1024;
    /// A connection that isn't established by then counts as ConnectFailed.
    base::Milliseconds connectTimeout { 2'000 };
    /// How long a connection is kept for another call. Below the servers' idle timeout, so that it is rarely closed
    /// while a request is on its way.
    base::Milliseconds idleTimeout { 20'000 };
};

enum class ExchangeFailure {
    None,
    ConnectFailed,
    Deadline,
    /// The connection ended before the first byte of the response.
    Reset,
    /// The connection ended within the response.
    Truncated,
    Oversized,
    Malformed,
    Cancelled,
    /// `MaySend` forbade to write the request.
    Withdrawn,
};

std::string_view exchangeFailureName(ExchangeFailure failure);

struct ExchangeResult {
    /// Present exactly when `failure` is None; always whole.
    std::optional<HttpResponse> response;
    ExchangeFailure failure = ExchangeFailure::None;
    /// False only when no byte of the request was handed to the peer.
    bool mayHaveStarted = false;
    /// The peer's host refused the connection: no process listens at the address.
    bool wasRefused = false;
};

/// Handle of a running call. Destroying it doesn't end the call.
class Call {
public:
    struct State;

    Call();
    explicit Call(std::weak_ptr<State> state);

    /// Closes the connection. The callback of the call runs with Cancelled before this returns, unless it has run.
    void cancel();

    [[nodiscard]] bool isRunning() const;

private:
    std::weak_ptr<State> m_state;
};

/// HTTP/1.1 client with a bounded pool of connections for each endpoint. A connection carries one exchange at a time
/// and is reused only after a whole response and no further byte. Nothing is retried.
class HttpClient {
public:
    using Callback = std::function<void(ExchangeResult)>;
    /// Tells whether a request may still be written. It must not change anything.
    using MaySend = std::function<bool()>;

    /// `loop` must outlive the client.
    HttpClient(EventLoop& loop, HttpClientOptions options);

    /// Closes every connection. Callbacks of running calls don't run.
    ~HttpClient();

    /// Sends `request` and runs `callback` exactly once, never before this returns. Host and Content-Length are added;
    /// other framing headers of `request` are dropped. Throws base::InvalidInput for a method, target or header that
    /// can't stand in a request, or an endpoint that isn't an IP address. `maySend` is asked right before the first
    /// byte is written, which may be long after the call when a connection has to be established first.
    Call call(const base::Endpoint& endpoint, const HttpRequest& request, base::MonotonicTime deadline,
        Callback callback, MaySend maySend = nullptr);

    [[nodiscard]] std::size_t openCalls() const;
    [[nodiscard]] std::size_t idleConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuscove::http
