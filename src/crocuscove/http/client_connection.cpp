#include "crocuscove/http/client_connection.h"

#include "crocuscove/http/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace crocuscove::http {

ClientConnection::ClientConnection(EventLoop& loop, const HttpClientOptions& options, base::Endpoint endpoint)
    : m_loop(loop)
    , m_options(options)
    , m_endpoint(std::move(endpoint))
{
}

ClientConnection::~ClientConnection()
{
    if (m_stream != nullptr) {
        // libevent closes the socket only on a later turn of the loop.
        shutdown(bufferevent_getfd(m_stream), SHUT_RDWR);
        bufferevent_free(m_stream);
    }
}

void ClientConnection::start(std::string request, std::string_view method, base::MonotonicTime deadline,
    Finished finished, HttpClient::MaySend maySend)
{
    m_request = std::move(request);
    m_requestBytes = 0;
    m_parser.emplace(ResponseLimits { m_options.maxHeaderBytes, m_options.maxBodyBytes }, method);
    m_finished = std::move(finished);
    m_maySend = std::move(maySend);
    m_lost = nullptr;
    m_deadlineTime = deadline;
    m_deadline = m_loop.runAt(deadline, [this] { fail(ExchangeFailure::Deadline); });
    if (m_phase == Phase::Closed) {
        connect();
    } else {
        sendRequest();
    }
}

void ClientConnection::connect()
{
    const SocketAddress address = socketAddress(m_endpoint);
    m_phase = Phase::Connecting;
    m_connectDeadline = m_loop.runAt(
        base::monotonicNow() + m_options.connectTimeout, [this] { fail(ExchangeFailure::ConnectFailed); });
    m_stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_stream, &ClientConnection::onRead, nullptr, &ClientConnection::onEvent, this);
    m_isStarting = true;
    const int result = bufferevent_socket_connect(m_stream, address.get(), static_cast<int>(address.size));
    m_isStarting = false;
    if (result != 0) {
        m_connectDeadline = m_loop.runAt(base::monotonicNow(), [this] { fail(ExchangeFailure::ConnectFailed); });
    }
}

void ClientConnection::onRead(bufferevent*, void* self)
{
    auto* connection = static_cast<ClientConnection*>(self);
    EventLoop& loop = connection->m_loop;
    loop.guard([connection] { connection->handleInput(); });
}

void ClientConnection::onEvent(bufferevent*, short what, void* self)
{
    auto* connection = static_cast<ClientConnection*>(self);
    EventLoop& loop = connection->m_loop;
    loop.guard([connection, what, error = EVUTIL_SOCKET_ERROR()] {
        if (connection->m_isStarting) {
            return; // connect() sees the failure in the result.
        }
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            connection->handleConnected();
        } else {
            connection->handleEnd((what & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED);
        }
    });
}

void ClientConnection::handleConnected()
{
    m_connectDeadline.cancel();
    const int enable = 1;
    setsockopt(bufferevent_getfd(m_stream), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    sendRequest();
}

void ClientConnection::sendRequest()
{
    m_phase = Phase::Exchanging;
    if (base::monotonicNow() >= m_deadlineTime) {
        return; // The timer ends the exchange before a byte of the request is written.
    }
    if (m_maySend && !m_maySend()) {
        // On the next turn, since this may be called by start().
        m_deadline = m_loop.runAt(base::monotonicNow(), [this] { fail(ExchangeFailure::Withdrawn); });
        return;
    }
    m_requestBytes = m_request.size();
    // Most requests fit into the socket's buffer. Writing them here saves watching the socket for writability.
    const auto sent
        = send(bufferevent_getfd(m_stream), m_request.data(), m_request.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    const auto written = static_cast<std::size_t>(std::max<ssize_t>(0, sent));
    if (written < m_request.size()) {
        // A socket that can't be written now, or any more, is dealt with by the stream's events.
        bufferevent_write(m_stream, m_request.data() + written, m_request.size() - written);
    }
    m_request = {};
}

bool ClientConnection::hasUnsentBytes() const { return evbuffer_get_length(bufferevent_get_output(m_stream)) > 0; }

bool ClientConnection::mayHaveStarted() const
{
    return m_requestBytes > 0 && evbuffer_get_length(bufferevent_get_output(m_stream)) < m_requestBytes;
}

void ClientConnection::handleInput()
{
    if (m_phase == Phase::Idle) {
        return lose();
    }
    if (m_phase != Phase::Exchanging) {
        return;
    }
    if (!mayHaveStarted()) {
        return fail(ExchangeFailure::Malformed); // Bytes that arrive before the request can't be its response.
    }
    evbuffer* input = bufferevent_get_input(m_stream);
    evbuffer_iovec block {};
    while (m_parser->status() == ParseStatus::NeedsMore && evbuffer_peek(input, -1, nullptr, &block, 1) > 0) {
        std::string_view bytes(static_cast<const char*>(block.iov_base), block.iov_len);
        m_parser->feed(bytes);
        evbuffer_drain(input, block.iov_len - bytes.size());
    }
    switch (m_parser->status()) {
    case ParseStatus::NeedsMore:
        return;
    case ParseStatus::Complete:
        return finish({ m_parser->takeResponse(), ExchangeFailure::None, true });
    case ParseStatus::Malformed:
        return fail(ExchangeFailure::Malformed);
    case ParseStatus::Oversized:
        return fail(ExchangeFailure::Oversized);
    }
}

void ClientConnection::handleEnd(bool wasRefused)
{
    switch (m_phase) {
    case Phase::Connecting:
        return finish({ std::nullopt, ExchangeFailure::ConnectFailed, false, wasRefused });
    case Phase::Exchanging:
        return fail(m_parser->hasStarted() ? ExchangeFailure::Truncated : ExchangeFailure::Reset);
    case Phase::Idle:
        return lose();
    case Phase::Closed:
    case Phase::Unusable:
        return;
    }
}

void ClientConnection::fail(ExchangeFailure failure)
{
    if (m_phase == Phase::Connecting || m_phase == Phase::Exchanging) {
        finish({ std::nullopt, failure, mayHaveStarted() });
    }
}

void ClientConnection::finish(ExchangeResult result)
{
    m_deadline.cancel();
    m_connectDeadline.cancel();
    const bool isReusable = result.failure == ExchangeFailure::None && m_parser->keepsConnection() && !hasUnsentBytes()
        && evbuffer_get_length(bufferevent_get_input(m_stream)) == 0;
    m_phase = isReusable ? Phase::Idle : Phase::Unusable;
    const Finished finished = std::exchange(m_finished, nullptr);
    finished(std::move(result)); // May destroy this object.
}

bool ClientConnection::isReusable() const
{
    if (m_phase != Phase::Idle || evbuffer_get_length(bufferevent_get_input(m_stream)) > 0) {
        return false;
    }
    // What has arrived since the last turn of the loop isn't in the buffer yet.
    char byte = 0;
    const auto count = recv(bufferevent_getfd(m_stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::keepIdle(std::function<void()> lost)
{
    m_lost = std::move(lost);
    m_deadline = m_loop.runAt(base::monotonicNow() + m_options.idleTimeout, [this] { lose(); });
}

void ClientConnection::lose()
{
    m_phase = Phase::Unusable;
    if (const auto lost = std::exchange(m_lost, nullptr)) {
        lost(); // May destroy this object.
    }
}

} // namespace crocuscove::http
