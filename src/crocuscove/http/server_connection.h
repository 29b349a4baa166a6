#pragma once

#include "crocuscove/http/http_server.h"
#include "crocuscove/http/request_head_scanner.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace crocuscove::http {

class ServerConnection;

/// A request that waits for its answer. `request` and `connection` are null once it is answered or the client has gone.
struct Responder::Exchange {
    Exchange(EventLoop& owner, evhttp_request* evhttpRequest, ServerConnection* origin);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    void respond(const HttpResponse& response);

    EventLoop& loop;
    evhttp_request* request;
    ServerConnection* connection;
    std::function<void()> onDisconnect;
    bool isAnswered = false;
};

/// What evhttp lacks for one incoming connection: deadlines for a whole request, the 431 and 408 answers, and notice of
/// a client that closes while its request is being handled.
class ServerConnection {
public:
    ServerConnection(EventLoop& loop, const HttpServerOptions& options, evhttp_connection* connection);
    ~ServerConnection();
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    /// Starts the handling of a complete request.
    std::shared_ptr<Responder::Exchange> beginExchange(evhttp_request* request);

    /// Sends the answer, the last one when the connection is to close.
    void sendAnswer(evhttp_request* request, const HttpResponse& response);

    /// Called by evhttp just before it frees the connection.
    void handleClosed();

    void closeAfterNextAnswer() { m_isLast = true; }

    [[nodiscard]] bool isHandling() const { return m_phase == Phase::Handling || m_phase == Phase::Answering; }
    [[nodiscard]] bool isHeadTooLarge() const { return m_scanner.size() > m_options.maxHeaderBytes; }

private:
    enum class Phase {
        Idle,
        Reading,
        Handling,
        Answering,
    };

    static void onInput(evbuffer* input, const evbuffer_cb_info* info, void* self);
    static void onAnswerSent(evhttp_request* request, void* self);

    void awaitRequest();
    void scanInput(std::size_t newBytes);
    void beginReading();
    void refuse(int status);
    void shutDown();

    EventLoop& m_loop;
    const HttpServerOptions& m_options;
    bufferevent* m_stream;
    RequestHeadScanner m_scanner;
    Phase m_phase = Phase::Idle;
    bool m_isLast = false;
    Timer m_deadline;
    std::weak_ptr<Responder::Exchange> m_exchange;
};

} // namespace crocuscove::http
