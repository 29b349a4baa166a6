#include "crocuscove/cli/admin_client.h"

#include "crocuscove/base/error.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>

namespace crocuscove::cli {

namespace {

struct FreeBase {
    void operator()(event_base* base) const { event_base_free(base); }
};

struct FreeConnection {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};

/// What the callbacks of one exchange fill in.
struct Pending {
    event_base* base = nullptr;
    Exchange exchange {};
    bool isDone = false;
};

timeval toTimeval(base::Microseconds duration)
{
    constexpr std::int64_t microsecondsPerSecond = 1000000;
    const std::int64_t count = std::max<std::int64_t>(duration.count(), 1);
    return { static_cast<time_t>(count / microsecondsPerSecond),
        static_cast<suseconds_t>(count % microsecondsPerSecond) };
}

std::string_view failureCause(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "the answer did not come in time";
    case EVREQ_HTTP_EOF:
        return "the connection closed before the whole answer came";
    case EVREQ_HTTP_INVALID_HEADER:
        return "the answer is not valid HTTP";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "the answer is too large";
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "the connection failed";
    }
    return "the connection failed";
}

void onFailure(evhttp_request_error error, void* argument)
{
    static_cast<Pending*>(argument)->exchange.cause = failureCause(error);
}

std::vector<HttpHeader> copyHeaders(const evkeyvalq* source)
{
    std::vector<HttpHeader> headers;
    for (const evkeyval* header = source->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.emplace_back(header->key, header->value);
    }
    return headers;
}

std::string copyBody(evhttp_request* request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

void takeAnswer(evhttp_request* request, Exchange& exchange)
{
    exchange.status = evhttp_request_get_response_code(request);
    exchange.headers = copyHeaders(evhttp_request_get_input_headers(request));
    exchange.body = copyBody(request);
    // Without a length or chunks, a truncated answer looks like a whole one.
    if (!exchange.header("Content-Length") && !exchange.header("Transfer-Encoding")) {
        exchange.cause = "the answer has no length";
        return;
    }
    exchange.delivery = Delivery::Answered;
}

/// evhttp passes no request after a failure on a connection, and one without a status when it could not connect.
void onDone(evhttp_request* request, void* argument)
{
    auto* pending = static_cast<Pending*>(argument);
    pending->isDone = true;
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
        takeAnswer(request, pending->exchange);
    } else if (request != nullptr && pending->exchange.cause.empty()) {
        pending->exchange.delivery = Delivery::NotSent;
        pending->exchange.cause = "the server can't be reached";
    }
    event_base_loopbreak(pending->base);
}

bool isConnected(evhttp_connection* connection)
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    return socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
}

/// Hands the request to the connection, which frees it.
void start(evhttp_connection* connection, const base::Endpoint& server, const AdminRequest& request, Pending& pending)
{
    evhttp_request* message = evhttp_request_new(onDone, &pending);
    if (message == nullptr) {
        throw base::Error("out of memory for an HTTP request");
    }
    evhttp_request_set_error_cb(message, onFailure);
    evkeyvalq* headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", server.text().c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    const evhttp_cmd_type method = request.method == HttpMethod::Get ? EVHTTP_REQ_GET : EVHTTP_REQ_PUT;
    if (evhttp_make_request(connection, message, method, request.path.c_str()) != 0 && !pending.isDone) {
        pending.isDone = true;
        pending.exchange = { .delivery = Delivery::NotSent, .cause = "the request can't be started" };
    }
}

} // namespace

std::optional<std::string> Exchange::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [&](const HttpHeader& header) {
        return evutil_ascii_strcasecmp(header.first.c_str(), std::string(name).c_str()) == 0;
    });
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

Exchange exchange(const base::Endpoint& server, const AdminRequest& request, base::MonotonicTime deadline)
{
    // A server that closes early would otherwise end the process while the request is written.
    std::signal(SIGPIPE, SIG_IGN);

    const std::unique_ptr<event_base, FreeBase> base(event_base_new());
    const std::unique_ptr<evhttp_connection, FreeConnection> connection(
        base ? evhttp_connection_base_new(base.get(), nullptr, server.host.c_str(), server.port) : nullptr);
    if (!connection) {
        throw base::Error("can't create an HTTP connection");
    }
    evhttp_connection_set_max_body_size(connection.get(), static_cast<ev_ssize_t>(maxAnswerBytes));
    evhttp_connection_set_max_headers_size(connection.get(), static_cast<ev_ssize_t>(maxAnswerHeaderBytes));
    // evhttp's own timeout restarts with every byte, so the deadline is kept by the loop.
    const timeval remaining = toTimeval(deadline - base::monotonicNow());
    evhttp_connection_set_timeout_tv(connection.get(), &remaining);
    event_base_loopexit(base.get(), &remaining);

    Pending pending;
    pending.base = base.get();
    start(connection.get(), server, request, pending);
    if (!pending.isDone) {
        event_base_dispatch(base.get());
    }
    if (!pending.isDone) {
        const bool wasSent = isConnected(connection.get());
        pending.exchange.delivery = wasSent ? Delivery::Lost : Delivery::NotSent;
        pending.exchange.cause = wasSent ? "the answer did not come in time" : "the server can't be reached in time";
    }
    return pending.exchange;
}

} // namespace crocuscove::cli
