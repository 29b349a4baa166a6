#include "crocuscove/http/http_server.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/server_connection.h"
#include "crocuscove/http/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <unordered_map>
#include <utility>

namespace crocuscove::http {

namespace {

constexpr int listenBacklog = 1024;

// evhttp counts header bytes on its own and answers 400 beyond its limit; ServerConnection answers 431 before that.
constexpr std::size_t evhttpHeaderSlackBytes = 64UL * 1024;

constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
    | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string_view methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

Headers readHeaders(evkeyvalq* source)
{
    Headers headers;
    for (const evkeyval* field = source->tqh_first; field != nullptr; field = field->next.tqe_next) {
        headers.add(field->key, field->value);
    }
    return headers;
}

/// Two framings of one body let a proxy and a backend server disagree on where the next request starts.
bool hasAmbiguousFraming(const Headers& headers)
{
    const std::size_t lengths = headers.count("Content-Length");
    const std::size_t encodings = headers.count("Transfer-Encoding");
    return lengths + encodings > 1
        || (encodings == 1 && !isSameHeaderName(headers.get("Transfer-Encoding"), "chunked"));
}

std::string readBody(evhttp_request* source)
{
    evbuffer* input = evhttp_request_get_input_buffer(source);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

/// Returns nothing when the target has no path.
std::optional<HttpRequest> readRequest(evhttp_request* source)
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(source);
    if (uri == nullptr || evhttp_uri_get_path(uri) == nullptr) {
        return std::nullopt;
    }
    HttpRequest request;
    request.method = methodName(evhttp_request_get_command(source));
    std::size_t pathBytes = 0;
    char* path = evhttp_uridecode(evhttp_uri_get_path(uri), 0, &pathBytes);
    request.path = path == nullptr ? std::string() : std::string(path, pathBytes);
    std::free(path);
    request.rawTarget = evhttp_request_get_uri(source);
    const char* query = evhttp_uri_get_query(uri);
    request.query = query == nullptr ? "" : query;
    request.headers = readHeaders(evhttp_request_get_input_headers(source));
    request.body = readBody(source);
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(source), &address, &port);
    request.remoteAddress = address == nullptr ? "" : address;
    return request;
}

struct Free {
    void operator()(event* object) const { event_free(object); }
    void operator()(evhttp* object) const { evhttp_free(object); }
};

} // namespace

class HttpServer::Impl {
public:
    Impl(EventLoop& loop, HttpServerOptions options, Handler handler)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_adoptEvent(event_new(loop.base(), -1, 0, &Impl::onAdopt, this))
        , m_http(evhttp_new(loop.base()))
    {
        // ServerConnection relies on how this release line orders its callbacks.
        if (event_get_version_number() >> 16 != 0x0201) {
            throw base::Error(fmt::format("libevent {} is not supported; 2.1 is needed", event_get_version()));
        }
        evhttp_set_gencb(m_http.get(), &Impl::onRequest, this);
        evhttp_set_bevcb(m_http.get(), &Impl::onAccept, this);
        evhttp_set_allowed_methods(m_http.get(), allowedMethods);
        evhttp_set_max_body_size(m_http.get(), static_cast<ev_ssize_t>(m_options.maxBodyBytes));
        evhttp_set_max_headers_size(
            m_http.get(), static_cast<ev_ssize_t>(m_options.maxHeaderBytes + evhttpHeaderSlackBytes));
        listen();
    }

    ~Impl()
    {
        m_isStopping = true;
        m_http.reset(); // Calls onClosed for each connection.
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::size_t openConnections() const { return m_connections.size(); }

    [[nodiscard]] std::size_t openRequests() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_connections, [](const auto& entry) { return entry.second->isHandling(); }));
    }

    void stopAccepting()
    {
        if (std::exchange(m_isStopping, true)) {
            return;
        }
        evhttp_del_accept_socket(m_http.get(), m_boundSocket);
        std::ranges::for_each(m_connections, [](const auto& entry) { entry.second->closeAfterNextAnswer(); });
    }

private:
    void listen()
    {
        const SocketAddress address = socketAddress(m_options.listen);
        m_listener = evconnlistener_new_bind(m_loop.base(), nullptr, nullptr,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog, address.get(),
            static_cast<int>(address.size));
        if (m_listener == nullptr) {
            throw base::Error(fmt::format("can't listen on {}: {}", m_options.listen.text(), std::strerror(errno)));
        }
        m_boundSocket = evhttp_bind_listener(m_http.get(), m_listener);
        m_port = boundPort(evconnlistener_get_fd(m_listener));
    }

    /// evhttp asks for the stream of a new connection before the connection object exists. The event runs after evhttp
    /// has set it up and before its first I/O, since events made active in a callback run before the next poll.
    static bufferevent* onAccept(event_base* base, void* self)
    {
        auto* server = static_cast<Impl*>(self);
        bufferevent* stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        server->m_accepted.push_back(stream);
        event_active(server->m_adoptEvent.get(), 0, 0);
        return stream;
    }

    static void onAdopt(evutil_socket_t, short, void* self)
    {
        auto* server = static_cast<Impl*>(self);
        server->m_loop.guard([&] { server->adopt(); });
    }

    void adopt()
    {
        for (bufferevent* stream : std::exchange(m_accepted, {})) {
            // evhttp passes its connection as the argument of the stream's callbacks.
            void* argument = nullptr;
            bufferevent_getcb(stream, nullptr, nullptr, nullptr, &argument);
            auto* connection = static_cast<evhttp_connection*>(argument);
            const int enable = 1;
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
            evhttp_connection_set_closecb(connection, &Impl::onClosed, this);
            m_connections.emplace(connection, std::make_unique<ServerConnection>(m_loop, m_options, connection));
        }
        if (m_connections.size() >= m_options.maxConnections && !m_isStopping) {
            evconnlistener_disable(m_listener);
        }
    }

    static void onClosed(evhttp_connection* connection, void* self)
    {
        auto* server = static_cast<Impl*>(self);
        server->m_loop.guard([&] { server->forget(connection); });
    }

    void forget(evhttp_connection* connection)
    {
        const auto node = m_connections.extract(connection);
        if (m_connections.size() < m_options.maxConnections && !m_isStopping) {
            evconnlistener_enable(m_listener);
        }
        if (!node.empty()) {
            node.mapped()->handleClosed();
        }
    }

    static void onRequest(evhttp_request* request, void* self)
    {
        auto* server = static_cast<Impl*>(self);
        server->m_loop.guard([&] { server->handle(request); });
    }

    void handle(evhttp_request* source)
    {
        ServerConnection& connection = *m_connections.at(evhttp_request_get_connection(source));
        std::optional<HttpRequest> request = readRequest(source);
        const Responder responder(connection.beginExchange(source));
        if (m_isStopping) {
            connection.closeAfterNextAnswer();
        }
        if (connection.isHeadTooLarge()) {
            refuse(connection, responder, 431);
        } else if (!request || hasAmbiguousFraming(request->headers)) {
            refuse(connection, responder, 400);
        } else {
            callHandler(std::move(*request), responder);
        }
    }

    void callHandler(HttpRequest request, const Responder& responder)
    {
        try {
            m_handler(std::move(request), responder);
        } catch (const std::exception& error) {
            if (!m_options.onHandlerError) {
                throw;
            }
            m_options.onHandlerError(error.what());
        }
    }

    static void refuse(ServerConnection& connection, const Responder& responder, int status)
    {
        connection.closeAfterNextAnswer();
        responder.respond({ status, {}, "" });
    }

    EventLoop& m_loop;
    HttpServerOptions m_options;
    Handler m_handler;
    std::unique_ptr<event, Free> m_adoptEvent;
    std::unique_ptr<evhttp, Free> m_http;
    evconnlistener* m_listener = nullptr;
    evhttp_bound_socket* m_boundSocket = nullptr;
    std::uint16_t m_port = 0;
    bool m_isStopping = false;
    std::vector<bufferevent*> m_accepted;
    std::unordered_map<evhttp_connection*, std::unique_ptr<ServerConnection>> m_connections;
};

Responder::Responder(std::shared_ptr<Exchange> exchange)
    : m_exchange(std::move(exchange))
{
}

void Responder::respond(const HttpResponse& response) const { m_exchange->respond(response); }

bool Responder::isOpen() const { return m_exchange->connection != nullptr; }

void Responder::onDisconnect(std::function<void()> callback) const
{
    if (isOpen()) {
        m_exchange->onDisconnect = std::move(callback);
    } else if (!m_exchange->isAnswered) {
        m_exchange->loop.post(std::move(callback));
    }
}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options, Handler handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return m_impl->port(); }
void HttpServer::stopAccepting() { m_impl->stopAccepting(); }
std::size_t HttpServer::openRequests() const { return m_impl->openRequests(); }
std::size_t HttpServer::openConnections() const { return m_impl->openConnections(); }

} // namespace crocuscove::http
