#include "crocuscove/http/http_server.h"

#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace crocuscove::http {
namespace {

using testing::RawConnection;
using testing::runTurns;
using testing::runUntil;

const std::vector<std::string> validRequests {
    "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "PUT /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
    "HEAD /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
};

class HttpServerProperty : public ::testing::Test {
protected:
    EventLoop loop;
    int handled = 0;
    std::vector<Timer> answers;
    HttpServer server { loop, { .maxBodyBytes = 1000, .maxHeaderBytes = 500 },
        [this](const HttpRequest& request, const Responder& responder) {
            ++handled;
            responder.onDisconnect([] {});
            // Answers on a later turn, so that further bytes and closes come during handling.
            answers.push_back(
                loop.runAt(base::monotonicNow() + base::Microseconds(300), [responder, body = request.body] {
                    responder.respond({ 200, {}, body });
                }));
        } };
};

// Guards against request bytes that end the process or harm another connection: several requests, some bytes changed,
// cut into pieces, and the client closing or resetting at any point.
RC_GTEST_FIXTURE_PROP(HttpServerProperty, MutatedRequestsAffectNoOtherConnection, ())
{
    std::string text;
    for (int index = *rc::gen::inRange(1, 4); index > 0; --index) {
        text += validRequests[*rc::gen::inRange<std::size_t>(0, validRequests.size())];
    }
    for (const auto& [position, byte] :
        *rc::gen::resize(5, rc::gen::arbitrary<std::vector<std::pair<std::size_t, char>>>())) {
        text[position % text.size()] = byte;
    }
    RawConnection healthy(loop, server.port());
    healthy.send("GET /healthy HTTP/1.1\r\nHo");
    RawConnection mutated(loop, server.port());
    const int pieces = *rc::gen::inRange(1, 6);
    for (int piece = 0; piece < pieces; ++piece) {
        const std::size_t begin = text.size() * static_cast<std::size_t>(piece) / static_cast<std::size_t>(pieces);
        const std::size_t end = text.size() * static_cast<std::size_t>(piece + 1) / static_cast<std::size_t>(pieces);
        mutated.send(std::string_view(text).substr(begin, end - begin));
        runTurns(loop, *rc::gen::inRange(1, 8));
    }
    *rc::gen::arbitrary<bool>() ? mutated.reset() : mutated.close();
    healthy.send("st: h\r\nConnection: close\r\n\r\n");
    RC_ASSERT(runUntil(loop, [&] { return healthy.isEnded(); }));
    RC_ASSERT(healthy.received().starts_with("HTTP/1.1 200"));
    RC_ASSERT(runUntil(loop, [&] { return server.openConnections() == 0; }));
    RC_ASSERT(server.openRequests() == 0U);
}

// Guards against a valid request that is refused or lost because of how its bytes are cut.
RC_GTEST_FIXTURE_PROP(HttpServerProperty, PiecesDontMatter, ())
{
    const std::string& text = validRequests[*rc::gen::inRange<std::size_t>(0, validRequests.size())];
    const RawConnection client(loop, server.port());
    const auto cut = *rc::gen::inRange<std::size_t>(1, text.size());
    for (int round = 1; round <= 2; ++round) {
        client.send(std::string_view(text).substr(0, cut));
        runTurns(loop, 4);
        client.send(std::string_view(text).substr(cut));
        RC_ASSERT(runUntil(loop, [&] { return handled == round && server.openRequests() == 0; }));
    }
    RC_ASSERT(server.openConnections() == 1U);
}

} // namespace
} // namespace crocuscove::http
