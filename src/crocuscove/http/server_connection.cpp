#include "crocuscove/http/server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace crocuscove::http {

namespace {

constexpr std::size_t maxPipelinedBytes = 64UL * 1024;

// How much of a refused request is read away, so that closing doesn't reset the connection before the client has read
// the answer.
constexpr std::size_t maxDiscardedBytes = 256UL * 1024;

timeval timevalOf(base::Milliseconds duration)
{
    return { static_cast<time_t>(duration.count() / 1000), static_cast<suseconds_t>(duration.count() % 1000 * 1000) };
}

std::string_view reasonPhrase(int status)
{
    return status == 408 ? "Request Timeout" : "Request Header Fields Too Large";
}

bool isFramingHeader(std::string_view name)
{
    constexpr std::array names { "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding", "Upgrade" };
    return std::ranges::any_of(names, [&](const char* framing) { return isSameHeaderName(name, framing); });
}

void discardReceived(int fd)
{
    std::array<char, 16'384> bytes {};
    for (std::size_t discarded = 0; discarded < maxDiscardedBytes;) {
        const auto count = recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count <= 0) {
            return;
        }
        discarded += static_cast<std::size_t>(count);
    }
}

} // namespace

Responder::Exchange::Exchange(EventLoop& owner, evhttp_request* evhttpRequest, ServerConnection* origin)
    : loop(owner)
    , request(evhttpRequest)
    , connection(origin)
{
}

Responder::Exchange::~Exchange()
{
    if (!isAnswered) {
        respond({ 500, {}, "" });
    }
}

void Responder::Exchange::respond(const HttpResponse& response)
{
    if (std::exchange(isAnswered, true) || connection == nullptr) {
        return;
    }
    onDisconnect = nullptr;
    std::exchange(connection, nullptr)->sendAnswer(std::exchange(request, nullptr), response);
}

ServerConnection::ServerConnection(EventLoop& loop, const HttpServerOptions& options, evhttp_connection* connection)
    : m_loop(loop)
    , m_options(options)
    , m_stream(evhttp_connection_get_bufferevent(connection))
{
    // Reading has a deadline for the whole request instead of libevent's timeout between two reads.
    const timeval writeTimeout = timevalOf(m_options.writeTimeout);
    bufferevent_set_timeouts(m_stream, nullptr, &writeTimeout);
    evbuffer_add_cb(bufferevent_get_input(m_stream), &ServerConnection::onInput, this);
    awaitRequest();
}

ServerConnection::~ServerConnection()
{
    evbuffer_remove_cb(bufferevent_get_input(m_stream), &ServerConnection::onInput, this);
}

void ServerConnection::awaitRequest()
{
    m_phase = Phase::Idle;
    m_scanner.reset();
    m_deadline = m_loop.runAt(base::monotonicNow() + m_options.idleTimeout, [this] { shutDown(); });
    // Bytes of a pipelined request may already be there.
    scanInput(evbuffer_get_length(bufferevent_get_input(m_stream)));
}

void ServerConnection::onInput(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    auto* connection = static_cast<ServerConnection*>(self);
    connection->m_loop.guard([&] { connection->scanInput(info->n_added); });
}

void ServerConnection::scanInput(std::size_t newBytes)
{
    if (newBytes == 0 || isHandling()) {
        return;
    }
    if (m_phase == Phase::Idle) {
        beginReading();
    }
    evbuffer* input = bufferevent_get_input(m_stream);
    std::size_t offset = evbuffer_get_length(input) - newBytes;
    std::string bytes(newBytes, '\0');
    evbuffer_ptr position;
    evbuffer_ptr_set(input, &position, offset, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input, &position, bytes.data(), bytes.size());
    const bool wasTooLarge = isHeadTooLarge();
    m_scanner.scan(bytes);
    if (isHeadTooLarge() && !wasTooLarge) {
        m_deadline = m_loop.runAt(base::monotonicNow(), [this] { refuse(431); });
    }
}

void ServerConnection::beginReading()
{
    m_phase = Phase::Reading;
    m_deadline = m_loop.runAt(base::monotonicNow() + m_options.requestTimeout, [this] { refuse(408); });
}

void ServerConnection::refuse(int status)
{
    // evhttp closes without an answer in these cases, so the answer is written past it. While a request is read,
    // nothing else is being written.
    const int fd = bufferevent_getfd(m_stream);
    const std::string answer
        = fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, reasonPhrase(status));
    discardReceived(fd);
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutDown();
}

void ServerConnection::shutDown()
{
    m_deadline.cancel();
    // evhttp sees the end of the stream and frees the connection.
    shutdown(bufferevent_getfd(m_stream), SHUT_RDWR);
}

std::shared_ptr<Responder::Exchange> ServerConnection::beginExchange(evhttp_request* request)
{
    m_phase = Phase::Handling;
    m_deadline.cancel();
    auto exchange = std::make_shared<Responder::Exchange>(m_loop, request, this);
    m_exchange = exchange;
    evhttp_request_set_on_complete_cb(request, &ServerConnection::onAnswerSent, this);

    // evhttp stops reading here and so wouldn't see the client close. Its event callback treats an end of stream in
    // this state as the loss of the client; its read callback must not run on pipelined bytes.
    bufferevent_event_cb eventCallback = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(m_stream, nullptr, nullptr, &eventCallback, &argument);
    bufferevent_setcb(m_stream, nullptr, nullptr, eventCallback, argument);
    bufferevent_setwatermark(m_stream, EV_READ, 0, maxPipelinedBytes);
    bufferevent_enable(m_stream, EV_READ);
    return exchange;
}

void ServerConnection::sendAnswer(evhttp_request* request, const HttpResponse& response)
{
    m_phase = Phase::Answering;
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : response.headers.fields) {
        m_isLast |= isSameHeaderName(name, "Connection") && isSameHeaderName(value, "close");
        if (!isFramingHeader(name)) {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
    }
    if (m_isLast) {
        evhttp_add_header(headers, "Connection", "close");
    }
    if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
        // evhttp would send the body of an answer to HEAD.
        evhttp_add_header(headers, "Content-Length", std::to_string(response.body.size()).c_str());
    } else if (response.status != 204 && response.status != 304) {
        evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(), response.body.size());
    }
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

void ServerConnection::onAnswerSent(evhttp_request*, void* self)
{
    auto* connection = static_cast<ServerConnection*>(self);
    bufferevent_setwatermark(connection->m_stream, EV_READ, 0, 0);
    connection->m_loop.guard([&] { connection->awaitRequest(); });
}

void ServerConnection::handleClosed()
{
    const auto exchange = m_exchange.lock();
    if (!exchange || exchange->connection == nullptr) {
        return;
    }
    exchange->connection = nullptr;
    evhttp_request* request = std::exchange(exchange->request, nullptr);
    // After an end of stream evhttp leaves the request to its user; otherwise it frees it with the connection.
    if (evhttp_request_get_connection(request) == nullptr) {
        evhttp_request_free(request);
    }
    if (const auto callback = std::exchange(exchange->onDisconnect, nullptr)) {
        callback();
    }
}

} // namespace crocuscove::http
