#pragma once

#include "support/fault_proxy.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

struct bufferevent;

namespace crocuscove::testing {

struct ProxyState {
    http::EventLoop& loop;
    base::Endpoint target;
    ProxyFaults faults;
    ProxyCounters counters;
    base::Random random;
};

/// One connection through a proxy: two streams, and for each direction a queue of pieces with their delivery times.
class ProxiedConnection {
public:
    /// Takes over `clientFd`. `closed` runs once; the owner then destroys the connection on a later turn of the loop.
    ProxiedConnection(ProxyState& state, int clientFd, std::function<void()> closed);
    ~ProxiedConnection();
    ProxiedConnection(const ProxiedConnection&) = delete;
    ProxiedConnection& operator=(const ProxiedConnection&) = delete;

    /// Delivers what is due, after a change of the faults.
    void deliver();

    void reset();

private:
    enum class PieceKind {
        Bytes,
        End,
        Reset,
    };

    struct Piece {
        base::MonotonicTime due;
        std::string bytes;
        PieceKind kind = PieceKind::Bytes;
    };

    struct Direction {
        bufferevent* source = nullptr;
        bufferevent* sink = nullptr;
        std::deque<Piece> queue;
        std::size_t queuedBytes = 0;
        base::MonotonicTime lastDue;
        http::Timer timer;
        bool isEnded = false;
    };

    static void onRead(bufferevent* stream, void* self);
    static void onWritten(bufferevent* stream, void* self);
    static void onEvent(bufferevent* stream, short what, void* self);

    [[nodiscard]] Direction& directionFrom(const bufferevent* source);
    [[nodiscard]] bool isCut(const Direction& direction) const;
    [[nodiscard]] base::MonotonicTime dueTime(Direction& direction);
    void enqueue(Direction& direction, std::string bytes, PieceKind kind);
    void deliver(Direction& direction);
    void limitReading(Direction& direction);
    void write(Direction& direction, const Piece& piece);
    void writeToClient(std::string_view bytes);
    void finishEnds();
    void close();

    ProxyState& m_state;
    std::function<void()> m_closed;
    bufferevent* m_client;
    bufferevent* m_target;
    Direction m_toTarget;
    Direction m_toClient;
    std::int64_t m_sentToClient = 0;
    bool m_isConnected = false;
    bool m_isTruncated = false;
    bool m_isClosed = false;
};

} // namespace crocuscove::testing
