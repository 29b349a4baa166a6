#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace crocuscove::http {

struct HttpServerOptions {
    /// Port 0 takes a free port; see HttpServer::port().
    base::Endpoint listen { "127.0.0.1", 0 };
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxHeaderBytes = 16UL * 1024;
    /// Further connections wait in the listen backlog.
    std::size_t maxConnections = 4096;
    /// How long a connection may stay open without a request.
    base::Milliseconds idleTimeout { 60'000 };
    /// How long a request may take to arrive, from its first byte to its last.
    base::Milliseconds requestTimeout { 10'000 };
    /// How long a client may take no byte of an answer.
    base::Milliseconds writeTimeout { 10'000 };
    /// Told of an exception that the handler throws; the request is then answered with 500. Without it, the exception
    /// ends the loop.
    std::function<void(std::string_view cause)> onHandlerError = nullptr;
};

/// Handle to answer one request. Copies share the request. When the last copy goes without an answer, the client gets
/// status 500. Every call is safe after the client or the server has gone.
class Responder {
public:
    struct Exchange;

    explicit Responder(std::shared_ptr<Exchange> exchange);

    /// Answers the request. Only the first call counts. Framing headers (Content-Length, Transfer-Encoding,
    /// Connection) of `response` are replaced by the server's own, except for "Connection: close".
    void respond(const HttpResponse& response) const;

    /// Runs `callback` once if the client closes the connection, or half of it, before the answer.
    void onDisconnect(std::function<void()> callback) const;

    /// Tells whether an answer can still reach the client.
    [[nodiscard]] bool isOpen() const;

private:
    std::shared_ptr<Exchange> m_exchange;
};

/// HTTP/1.1 server on evhttp. Requests that evhttp or this class refuses never reach the handler:
/// 400 malformed or with ambiguous framing, 408 not complete after requestTimeout, 413 body too large,
/// 431 request line and headers too large, 501 unknown method. A malformed chunk size gets 413, because evhttp reports
/// it like a chunk that is too large. A request that the client cuts off by closing gets no answer.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, Responder)>;

    /// Listens at once. Throws base::Error when the address can't be bound. `loop` must outlive the server.
    HttpServer(EventLoop& loop, HttpServerOptions options, Handler handler);

    /// Closes every connection.
    ~HttpServer();

    [[nodiscard]] std::uint16_t port() const;

    /// Closes the listening socket. Open connections are served on; each is closed with its next answer.
    void stopAccepting();

    /// Counts the requests whose answers are not fully sent.
    [[nodiscard]] std::size_t openRequests() const;

    [[nodiscard]] std::size_t openConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuscove::http
