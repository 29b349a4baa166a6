#include "crocuscove/http/http_server.h"

#include "crocuscove/base/random.h"
#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuscove::http {
namespace {

using testing::RawConnection;
using testing::runUntil;

constexpr int clientsPerRun = 16;
constexpr std::size_t maxConnections = 12;
constexpr std::size_t maxBodyBytes = 4000;
constexpr std::size_t maxHeaderBytes = 600;
/// More than the socket buffers take, so that answers are written in several parts.
constexpr std::size_t largeAnswerBytes = std::size_t { 4 } * 1024 * 1024;
constexpr int smallBufferBytes = 2048;

std::uint64_t drawBelow(base::Random& random, std::uint64_t bound) { return random() % bound; }

/// A client that sends valid and invalid requests in pieces, reads little, and leaves in some way at some moment.
class RudeClient {
public:
    RudeClient(EventLoop& loop, std::uint16_t port, base::Random& random)
        : m_loop(loop)
        , m_random(random)
        , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &smallBufferBytes, sizeof(smallBufferBytes));
        const sockaddr_in address = testing::loopbackAddress(port);
        static_cast<void>(connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        for (auto left = 1 + drawBelow(random, 4); left > 0; --left) {
            m_text += drawRequest();
        }
        if (drawBelow(random, 3) == 0) {
            m_text[drawBelow(random, m_text.size())] = static_cast<char>(drawBelow(random, 256));
        }
        m_stepsLeft = 1 + drawBelow(random, 12);
        arm();
    }

    ~RudeClient() { leave(); }
    RudeClient(const RudeClient&) = delete;
    RudeClient& operator=(const RudeClient&) = delete;

    [[nodiscard]] bool isGone() const { return m_fd < 0; }

private:
    std::string drawRequest()
    {
        const std::string size = std::to_string(drawBelow(m_random, 2 * maxBodyBytes));
        switch (drawBelow(m_random, 8)) {
        case 0:
            return "GET /" + std::string(drawBelow(m_random, 2 * maxHeaderBytes), 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n";
        case 1:
            return "POST /a HTTP/1.1\r\nContent-Length: " + size + "\r\n\r\n" + std::string(std::stoul(size), 'b');
        case 2:
            return "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nffffffff\r\n";
        case 3:
            return "PUT /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi";
        case 4:
            return "BREW /a HTTP/1.1\r\nHost: h\r\n\r\n";
        default:
            return "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
        }
    }

    void arm()
    {
        m_timer
            = m_loop.runAt(base::monotonicNow() + base::Microseconds(drawBelow(m_random, 2500)), [this] { step(); });
    }

    void step()
    {
        std::array<char, 16'384> bytes {};
        switch (drawBelow(m_random, 8)) {
        case 0:
            static_cast<void>(recv(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT));
            break;
        case 1:
            shutdown(m_fd, SHUT_WR);
            break;
        case 2:
            break;
        default:
            sendPart();
        }
        if (--m_stepsLeft == 0) {
            leave();
            return;
        }
        arm();
    }

    void sendPart()
    {
        const auto size = drawBelow(m_random, 2) == 0 ? m_text.size() : drawBelow(m_random, m_text.size() + 1);
        const auto sent = ::send(m_fd, m_text.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
        m_text.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
    }

    void leave()
    {
        if (m_fd >= 0) {
            const linger hard { 1, 0 };
            if (drawBelow(m_random, 2) == 0) {
                setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            }
            ::close(std::exchange(m_fd, -1));
        }
    }

    EventLoop& m_loop;
    base::Random& m_random;
    int m_fd;
    std::string m_text;
    std::uint64_t m_stepsLeft = 0;
    Timer m_timer;
};

/// A handler that answers at once, late, twice, never, or when the client has gone.
class ErraticHandler {
public:
    ErraticHandler(EventLoop& loop, base::Random& random)
        : m_loop(loop)
        , m_random(random)
    {
    }

    void handle(const HttpRequest& request, const Responder& responder)
    {
        if (request.path == "/healthy") {
            responder.respond({ 200, {}, "" });
            return;
        }
        if (drawBelow(m_random, 2) == 0) {
            responder.onDisconnect([this, responder] {
                responder.respond({ 200, {}, "late" });
                m_held.clear();
            });
        }
        switch (drawBelow(m_random, 6)) {
        case 0:
            break;
        case 1:
            responder.respond(drawAnswer());
            responder.respond(drawAnswer());
            break;
        case 2:
            m_held.push_back(responder);
            break;
        case 3:
            throw std::runtime_error("the handler failed");
        default:
            m_timers.push_back(m_loop.runAt(base::monotonicNow() + base::Microseconds(drawBelow(m_random, 4000)),
                [responder, answer = drawAnswer()] { responder.respond(answer); }));
        }
    }

    void release()
    {
        m_held.clear();
        m_timers.clear();
    }

private:
    HttpResponse drawAnswer()
    {
        HttpResponse answer { 200, {}, "answer" };
        if (drawBelow(m_random, 4) == 0) {
            answer.body.assign(largeAnswerBytes, 'a');
        }
        if (drawBelow(m_random, 4) == 0) {
            answer.headers.add("Connection", "close");
        }
        return answer;
    }

    EventLoop& m_loop;
    base::Random& m_random;
    std::vector<Responder> m_held;
    std::vector<Timer> m_timers;
};

// Guards against a client that leaves, stalls or talks nonsense at any moment and ends the process or keeps a
// connection open.
RC_GTEST_PROP(HttpServerStress, ClientsThatLeaveAtAnyMomentHarmNoOther, (std::uint32_t seed))
{
    // As in the processes: a reset client must not raise SIGPIPE.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    base::Random random(seed);
    EventLoop loop;
    ErraticHandler handler(loop, random);
    HttpServerOptions options;
    options.maxBodyBytes = maxBodyBytes;
    options.maxHeaderBytes = maxHeaderBytes;
    options.maxConnections = maxConnections;
    options.idleTimeout = base::Milliseconds(20);
    options.requestTimeout = base::Milliseconds(8);
    options.writeTimeout = base::Milliseconds(6);
    options.onHandlerError = [](std::string_view) {};
    HttpServer server(loop, options,
        [&](const HttpRequest& request, const Responder& responder) { handler.handle(request, responder); });
    std::vector<std::unique_ptr<RudeClient>> clients;
    clients.reserve(clientsPerRun);
    for (int client = 0; client < clientsPerRun; ++client) {
        clients.push_back(std::make_unique<RudeClient>(loop, server.port(), random));
    }
    RC_ASSERT(runUntil(
        loop, [&] { return std::ranges::all_of(clients, [](const auto& client) { return client->isGone(); }); }));
    if (drawBelow(random, 4) == 0) {
        return; // The server ends with connections open.
    }
    handler.release();
    RawConnection healthy(loop, server.port());
    healthy.send("GET /healthy HTTP/1.1\r\nConnection: close\r\n\r\n");
    RC_ASSERT(runUntil(loop, [&] { return healthy.isEnded(); }));
    RC_ASSERT(healthy.received().starts_with("HTTP/1.1 200"));
    RC_ASSERT(runUntil(loop, [&] { return server.openConnections() == 0; }));
    RC_ASSERT(server.openRequests() == 0U);
}

} // namespace
} // namespace crocuscove::http
