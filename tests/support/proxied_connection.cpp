#include "support/proxied_connection.h"

#include "crocuscove/http/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace crocuscove::testing {

namespace {

constexpr std::size_t maxQueuedBytes = 1024UL * 1024;

void setNoDelay(bufferevent* stream)
{
    const int enable = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

void resetOnClose(bufferevent* stream)
{
    const linger hard { 1, 0 };
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

std::size_t unsentBytes(bufferevent* stream) { return evbuffer_get_length(bufferevent_get_output(stream)); }

} // namespace

ProxiedConnection::ProxiedConnection(ProxyState& state, int clientFd, std::function<void()> closed)
    : m_state(state)
    , m_closed(std::move(closed))
    , m_client(bufferevent_socket_new(state.loop.base(), clientFd, BEV_OPT_CLOSE_ON_FREE))
    , m_target(bufferevent_socket_new(state.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    m_toTarget.source = m_client;
    m_toTarget.sink = m_target;
    m_toClient.source = m_target;
    m_toClient.sink = m_client;
    for (bufferevent* stream : { m_client, m_target }) {
        bufferevent_setcb(
            stream, &ProxiedConnection::onRead, &ProxiedConnection::onWritten, &ProxiedConnection::onEvent, this);
    }
    setNoDelay(m_client);
    bufferevent_enable(m_client, EV_READ | EV_WRITE);
    const http::SocketAddress address = http::socketAddress(state.target);
    if (bufferevent_socket_connect(m_target, address.get(), static_cast<int>(address.size)) != 0) {
        reset();
    }
}

ProxiedConnection::~ProxiedConnection()
{
    bufferevent_free(m_client);
    bufferevent_free(m_target);
}

void ProxiedConnection::onRead(bufferevent* stream, void* self)
{
    auto* connection = static_cast<ProxiedConnection*>(self);
    connection->m_state.loop.guard([&] {
        evbuffer* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        connection->enqueue(connection->directionFrom(stream), std::move(bytes), PieceKind::Bytes);
    });
}

void ProxiedConnection::onWritten(bufferevent*, void* self)
{
    auto* connection = static_cast<ProxiedConnection*>(self);
    connection->m_state.loop.guard([&] {
        connection->limitReading(connection->m_toClient);
        connection->limitReading(connection->m_toTarget);
        connection->finishEnds();
    });
}

void ProxiedConnection::onEvent(bufferevent* stream, short what, void* self)
{
    auto* connection = static_cast<ProxiedConnection*>(self);
    connection->m_state.loop.guard([&] {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            connection->m_isConnected = true;
            setNoDelay(stream);
            bufferevent_enable(stream, EV_READ | EV_WRITE);
            connection->finishEnds();
        } else {
            const PieceKind kind = (what & BEV_EVENT_EOF) != 0 ? PieceKind::End : PieceKind::Reset;
            connection->enqueue(connection->directionFrom(stream), "", kind);
        }
    });
}

ProxiedConnection::Direction& ProxiedConnection::directionFrom(const bufferevent* source)
{
    return source == m_client ? m_toTarget : m_toClient;
}

bool ProxiedConnection::isCut(const Direction& direction) const
{
    const Cut cut = m_state.faults.cut;
    return cut == Cut::Both || cut == (&direction == &m_toTarget ? Cut::ToTarget : Cut::ToClient);
}

base::MonotonicTime ProxiedConnection::dueTime(Direction& direction)
{
    const ProxyFaults& faults = m_state.faults;
    base::MonotonicTime due = base::monotonicNow() + base::Milliseconds(faults.delayMs);
    if (faults.jitterMs > 0) {
        due += base::Microseconds(
            static_cast<std::int64_t>(base::randomUnit(m_state.random) * static_cast<double>(faults.jitterMs) * 1000));
    }
    if (faults.reorderWindowMs > 0) {
        // Mirrors the time within the window into the next window, so that what came last leaves first.
        const base::Microseconds window = base::Milliseconds(faults.reorderWindowMs);
        due += (window - due.time_since_epoch() % window) * 2;
    }
    direction.lastDue = std::max(direction.lastDue, due);
    return direction.lastDue;
}

void ProxiedConnection::enqueue(Direction& direction, std::string bytes, PieceKind kind)
{
    if (m_isClosed || direction.isEnded) {
        return;
    }
    direction.queuedBytes += bytes.size();
    const base::MonotonicTime due = dueTime(direction);
    direction.queue.push_back({ due, std::move(bytes), kind });
    deliver(direction);
}

void ProxiedConnection::deliver()
{
    deliver(m_toTarget);
    deliver(m_toClient);
}

void ProxiedConnection::deliver(Direction& direction)
{
    direction.timer.cancel();
    while (!m_isClosed && !isCut(direction) && !direction.queue.empty()
        && direction.queue.front().due <= base::monotonicNow()) {
        const Piece piece = std::move(direction.queue.front());
        direction.queue.pop_front();
        direction.queuedBytes -= piece.bytes.size();
        write(direction, piece);
    }
    if (m_isClosed) {
        return;
    }
    if (!direction.queue.empty() && !isCut(direction)) {
        direction.timer = m_state.loop.runAt(direction.queue.front().due, [this, &direction] { deliver(direction); });
    }
    limitReading(direction);
    finishEnds();
}

void ProxiedConnection::limitReading(Direction& direction)
{
    if (m_isClosed || direction.isEnded || (direction.source == m_target && !m_isConnected)) {
        return;
    }
    if (direction.queuedBytes + unsentBytes(direction.sink) > maxQueuedBytes) {
        bufferevent_disable(direction.source, EV_READ);
    } else {
        bufferevent_enable(direction.source, EV_READ);
    }
}

void ProxiedConnection::write(Direction& direction, const Piece& piece)
{
    switch (piece.kind) {
    case PieceKind::Reset:
        return reset();
    case PieceKind::End:
        direction.isEnded = true;
        return;
    case PieceKind::Bytes:
        break;
    }
    if (&direction == &m_toClient) {
        writeToClient(piece.bytes);
    } else {
        m_state.counters.bytesToTarget += piece.bytes.size();
        bufferevent_write(direction.sink, piece.bytes.data(), piece.bytes.size());
    }
}

void ProxiedConnection::writeToClient(std::string_view bytes)
{
    if (m_isTruncated) {
        return;
    }
    const std::int64_t limit = m_state.faults.truncateAfterBytes;
    const std::int64_t allowed = std::max<std::int64_t>(0, limit - m_sentToClient);
    if (limit > 0 && static_cast<std::int64_t>(bytes.size()) > allowed) {
        bytes = bytes.substr(0, static_cast<std::size_t>(allowed));
        m_isTruncated = true;
        ++m_state.counters.truncated;
    }
    m_sentToClient += static_cast<std::int64_t>(bytes.size());
    m_state.counters.bytesToClient += bytes.size();
    bufferevent_write(m_client, bytes.data(), bytes.size());
}

void ProxiedConnection::finishEnds()
{
    if (m_isClosed) {
        return;
    }
    bool isDone = true;
    for (Direction* direction : { &m_toTarget, &m_toClient }) {
        const bool isWritable = direction->sink != m_target || m_isConnected;
        if (direction->isEnded && isWritable && unsentBytes(direction->sink) == 0) {
            shutdown(bufferevent_getfd(direction->sink), SHUT_WR);
        } else {
            isDone = false;
        }
    }
    if (isDone || (m_isTruncated && unsentBytes(m_client) == 0)) {
        close();
    }
}

void ProxiedConnection::reset()
{
    if (!m_isClosed) {
        ++m_state.counters.reset;
        resetOnClose(m_client);
        resetOnClose(m_target);
        close();
    }
}

void ProxiedConnection::close()
{
    if (!std::exchange(m_isClosed, true)) {
        bufferevent_disable(m_client, EV_READ | EV_WRITE);
        bufferevent_disable(m_target, EV_READ | EV_WRITE);
        m_closed();
    }
}

} // namespace crocuscove::testing
