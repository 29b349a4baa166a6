#pragma once

#include "crocuscove/http/http_client.h"
#include "crocuscove/http/response_parser.h"

#include <optional>
#include <string>

struct bufferevent;

namespace crocuscove::http {

/// One connection of HttpClient to one endpoint, with at most one exchange at a time. It is on bufferevent instead of
/// evhttp's client, because evhttp reconnects silently when a kept connection turns out closed, ends the process or
/// drops the bytes when some arrive while none are due, takes a body without a length as whole when the connection
/// ends, and doesn't tell whether a byte of the request was written.
class ClientConnection {
public:
    using Finished = std::function<void(ExchangeResult)>;

    ClientConnection(EventLoop& loop, const HttpClientOptions& options, base::Endpoint endpoint);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Starts an exchange, connecting first when needed. `finished` runs once, never before this returns, and may
    /// destroy the connection.
    void start(std::string request, std::string_view method, base::MonotonicTime deadline, Finished finished,
        HttpClient::MaySend maySend);

    /// Ends the running exchange.
    void fail(ExchangeFailure failure);

    /// Tells whether another exchange may follow: the last one was complete, and the peer has neither closed nor sent
    /// another byte.
    [[nodiscard]] bool isReusable() const;

    /// Runs `lost` when the idle connection can no longer be reused. `lost` may destroy the connection.
    void keepIdle(std::function<void()> lost);

    [[nodiscard]] const base::Endpoint& endpoint() const { return m_endpoint; }

private:
    enum class Phase {
        Closed,
        Connecting,
        Exchanging,
        Idle,
        Unusable,
    };

    static void onRead(bufferevent* stream, void* self);
    static void onEvent(bufferevent* stream, short what, void* self);

    void connect();
    void handleConnected();
    void handleInput();
    void handleEnd(bool wasRefused);
    void sendRequest();
    void finish(ExchangeResult result);
    void lose();
    [[nodiscard]] bool hasUnsentBytes() const;
    [[nodiscard]] bool mayHaveStarted() const;

    EventLoop& m_loop;
    const HttpClientOptions& m_options;
    base::Endpoint m_endpoint;
    bufferevent* m_stream = nullptr;
    Phase m_phase = Phase::Closed;
    bool m_isStarting = false;
    std::string m_request;
    std::size_t m_requestBytes = 0;
    std::optional<ResponseParser> m_parser;
    Finished m_finished;
    HttpClient::MaySend m_maySend;
    std::function<void()> m_lost;
    base::MonotonicTime m_deadlineTime;
    Timer m_deadline;
    Timer m_connectDeadline;
};

} // namespace crocuscove::http
