#include "crocuscove/http/http_server.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>

namespace crocuscove::http {
namespace {

using testing::RawConnection;
using testing::runUntil;

class HttpServerTest : public ::testing::Test {
protected:
    HttpServer& start(const HttpServerOptions& options = {}, HttpServer::Handler handler = nullptr)
    {
        if (!handler) {
            handler = [this](HttpRequest request, const Responder& responder) {
                requests.push_back(std::move(request));
                responder.respond({ 200, {}, "echo:" + requests.back().body });
            };
        }
        server.emplace(loop, options, std::move(handler));
        return *server;
    }

    /// Sends `bytes` and returns everything the server sends until it closes.
    std::string exchange(std::string_view bytes)
    {
        RawConnection client(loop, server->port());
        client.send(bytes);
        EXPECT_TRUE(runUntil(loop, [&] { return client.isEnded(); })) << client.received();
        return client.received();
    }

    void expectStillServing()
    {
        EXPECT_TRUE(exchange("GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(runUntil(loop, [&] { return server->openConnections() == 0; }));
        EXPECT_EQ(server->openRequests(), 0U);
    }

    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::optional<HttpServer> server;
};

// Guards against losing parts of a request on the way through evhttp.
TEST_F(HttpServerTest, HandsOverTheWholeRequest)
{
    start();
    const std::string answer = exchange("POST /a%20b/c?x=1%202&y HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nx-two: 2\r\n"
                                        "Content-Length: 5\r\nConnection: close\r\n\r\nhello");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_TRUE(answer.ends_with("echo:hello")) << answer;
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].method, "POST");
    EXPECT_EQ(requests[0].path, "/a b/c");
    EXPECT_EQ(requests[0].rawTarget, "/a%20b/c?x=1%202&y");
    EXPECT_EQ(queryParameter(requests[0].query, "x"), "1 2");
    EXPECT_EQ(queryParameter(requests[0].query, "y"), "");
    EXPECT_EQ(queryParameter(requests[0].query, "z"), std::nullopt);
    EXPECT_EQ(requests[0].headers.get("X-TWO"), "2");
    EXPECT_EQ(requests[0].remoteAddress, "127.0.0.1");
    expectStillServing();
}

// Guards against one unexpected error that ends the process and so all other requests.
TEST_F(HttpServerTest, AnExceptionOfTheHandlerFailsOneRequestOnly)
{
    std::vector<std::string> causes;
    HttpServerOptions options;
    options.onHandlerError = [&](std::string_view cause) { causes.emplace_back(cause); };
    start(options, [](const HttpRequest& request, const Responder& responder) {
        if (request.path == "/bad") {
            throw std::out_of_range("no such entry");
        }
        responder.respond({ 200, {}, "" });
    });
    const std::string answer = exchange("GET /bad HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 500")) << answer;
    EXPECT_EQ(causes, std::vector<std::string> { "no such entry" });
    expectStillServing();
}

// Guards against mixing up pipelined requests, and against evhttp's exit when bytes arrive during handling.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
    std::vector<std::pair<std::string, Responder>> waiting;
    start({}, [&](const HttpRequest& request, Responder responder) {
        waiting.emplace_back(request.body, std::move(responder));
    });
    RawConnection client(loop, server->port());
    const std::string head = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n";
    client.send(head + "1" + head + "2");
    ASSERT_TRUE(runUntil(loop, [&] { return waiting.size() == 1; }));
    client.send(head + "3");
    testing::runTurns(loop, 20);
    for (std::size_t index = 0; index < 3; ++index) {
        ASSERT_TRUE(runUntil(loop, [&] { return waiting.size() == index + 1; }));
        EXPECT_EQ(waiting[index].first, std::to_string(index + 1));
        client.clear();
        const std::string body = "answer-" + waiting[index].first;
        waiting[index].second.respond({ 200, {}, body });
        waiting[index].second.respond({ 500, {}, "second call" });
        ASSERT_TRUE(runUntil(loop, [&] { return client.received().ends_with(body); }));
    }
    client.close();
    EXPECT_TRUE(runUntil(loop, [&] { return server->openConnections() == 0; }));
}

// Guards against bodies that HTTP forbids, which would be read as the start of the next answer.
TEST_F(HttpServerTest, SendsNoBodyWhereNoneIsAllowed)
{
    start({}, [&](const HttpRequest& request, const Responder& responder) {
        responder.respond({ request.path == "/204" ? 204 : 200, {}, "body" });
    });
    const std::string answer = exchange("HEAD /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
    EXPECT_NE(answer.find("Content-Length: 4\r\n"), std::string::npos) << answer;
    EXPECT_TRUE(exchange("GET /204 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").ends_with("\r\n\r\n"));
}

struct Refusal {
    std::string bytes;
    int status;
};

// Guards against malformed, oversized or ambiguous requests that reach the handler or break the server.
TEST_F(HttpServerTest, RefusesInvalidRequests)
{
    HttpServerOptions options;
    options.maxBodyBytes = 1000;
    options.maxHeaderBytes = 2000;
    start(options);
    const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
    const std::vector<Refusal> refusals {
        { "NONSENSE\r\n\r\n", 400 },
        { "GET /x HTTP/9.x\r\n\r\n", 400 },
        { "GET /x HTTP/1.1\r\nno colon\r\n\r\n", 400 },
        { post + "Content-Length: -1\r\n\r\n", 400 },
        { post + "Content-Length: 1x\r\n\r\n", 400 },
        // evhttp doesn't tell a malformed chunk size from one that is too large.
        { post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 413 },
        { post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400 },
        { post + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", 400 },
        { post + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'x'), 413 },
        { post + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'x') + "\r\n0\r\n\r\n", 413 },
        { "GET /" + std::string(5000, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n", 431 },
        { "GET /x HTTP/1.1\r\nHost: h\r\nLong: " + std::string(5000, 'x') + "\r\n\r\n", 431 },
        { "GET /x HTTP/1.1\r\nHost: h\r\nLong: " + std::string(5000, 'x'), 431 },
        { "BREW /x HTTP/1.1\r\nHost: h\r\n\r\n", 501 },
    };
    for (const Refusal& refusal : refusals) {
        const std::string answer = exchange(refusal.bytes);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::to_string(refusal.status)))
            << refusal.bytes.substr(0, 120) << "\n-> " << answer.substr(0, 200);
    }
    EXPECT_TRUE(requests.empty());
    expectStillServing();
}

// Guards against slow clients that hold a connection by sending a byte now and then.
TEST_F(HttpServerTest, EndsSlowAndIdleConnections)
{
    HttpServerOptions options;
    options.requestTimeout = base::Milliseconds(100);
    options.idleTimeout = base::Milliseconds(100);
    start(options);
    RawConnection slow(loop, server->port());
    RawConnection slowBody(loop, server->port());
    RawConnection idle(loop, server->port());
    slowBody.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n");
    const Timer drip = loop.runEvery(base::Milliseconds(5), [&] {
        slow.send("G");
        slowBody.send("x");
    });
    ASSERT_TRUE(runUntil(loop, [&] { return slow.isEnded() && slowBody.isEnded() && idle.isEnded(); }));
    EXPECT_TRUE(slow.received().starts_with("HTTP/1.1 408")) << slow.received();
    EXPECT_TRUE(slowBody.received().starts_with("HTTP/1.1 408")) << slowBody.received();
    EXPECT_EQ(idle.received(), "");
    EXPECT_TRUE(requests.empty());
    expectStillServing();
}

// Guards against treating a truncated request as a whole one.
TEST_F(HttpServerTest, DropsTruncatedRequests)
{
    start();
    for (const std::string_view bytes : { "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
             "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "GET /x HTTP/1.1\r\nHo" }) {
        RawConnection client(loop, server->port());
        client.send(bytes);
        ASSERT_TRUE(runUntil(loop, [&] { return server->openConnections() == 1; }));
        client.close();
        ASSERT_TRUE(runUntil(loop, [&] { return server->openConnections() == 0; }));
    }
    EXPECT_TRUE(requests.empty());
    expectStillServing();
}

// Guards against handling on for a client that has gone, whether it closed or reset the connection.
TEST_F(HttpServerTest, TellsOfADisconnectWhileTheRequestIsHandled)
{
    std::vector<Responder> waiting;
    int disconnects = 0;
    start({}, [&](const HttpRequest&, const Responder& responder) {
        responder.onDisconnect([&] { ++disconnects; });
        waiting.push_back(responder);
    });
    RawConnection closing(loop, server->port());
    RawConnection resetting(loop, server->port());
    RawConnection staying(loop, server->port());
    for (const RawConnection* client : { &closing, &resetting, &staying }) {
        client->send("GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /pipelined HTTP/1.1\r\n");
    }
    ASSERT_TRUE(runUntil(loop, [&] { return waiting.size() == 3; }));
    EXPECT_EQ(server->openRequests(), 3U);
    closing.close();
    resetting.reset();
    ASSERT_TRUE(runUntil(loop, [&] { return disconnects == 2; }));
    EXPECT_EQ(server->openRequests(), 1U);
    for (const Responder& responder : waiting) {
        responder.respond({ 200, {}, "late" });
    }
    ASSERT_TRUE(runUntil(loop, [&] { return staying.received().ends_with("late"); }));
    EXPECT_EQ(disconnects, 2);
}

// Guards against a client that waits forever because a handler forgot its request or threw.
TEST_F(HttpServerTest, AnswersForForgottenRequests)
{
    bool isThrowing = false;
    start({}, [&](const HttpRequest&, const Responder&) {
        if (isThrowing) {
            throw std::runtime_error("handler failed");
        }
    });
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 500"));
    isThrowing = true;
    const RawConnection client(loop, server->port());
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_THROW(loop.run(), std::runtime_error);
    EXPECT_TRUE(runUntil(loop, [&] { return client.received().starts_with("HTTP/1.1 500"); }));
}

// Guards against an unbounded number of connections, and against never accepting again.
TEST_F(HttpServerTest, BoundsConnections)
{
    HttpServerOptions options;
    options.maxConnections = 2;
    start(options);
    RawConnection first(loop, server->port());
    RawConnection second(loop, server->port());
    ASSERT_TRUE(runUntil(loop, [&] { return server->openConnections() == 2; }));
    RawConnection third(loop, server->port());
    third.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [&] { return second.received().ends_with("echo:"); }));
    EXPECT_EQ(server->openConnections(), 2U);
    EXPECT_EQ(third.received(), "");
    first.close();
    EXPECT_TRUE(runUntil(loop, [&] { return third.received().ends_with("echo:"); }));
}

// Guards against cutting off requests in progress during a graceful stop.
TEST_F(HttpServerTest, ServesOpenConnectionsAfterItStopsAccepting)
{
    std::vector<Responder> waiting;
    start({}, [&](const HttpRequest&, const Responder& responder) { waiting.push_back(responder); });
    RawConnection busy(loop, server->port());
    RawConnection idle(loop, server->port());
    busy.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [&] { return waiting.size() == 1 && server->openConnections() == 2; }));
    server->stopAccepting();
    EXPECT_THROW(RawConnection(loop, server->port()), base::Error);
    idle.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [&] { return waiting.size() == 2; }));
    for (const Responder& responder : waiting) {
        responder.respond({ 200, {}, "done" });
    }
    ASSERT_TRUE(runUntil(loop, [&] { return busy.isEnded() && idle.isEnded(); }));
    EXPECT_TRUE(busy.received().ends_with("done"));
    EXPECT_TRUE(idle.received().ends_with("done"));
}

// Guards against use after free when a handle outlives the server.
TEST_F(HttpServerTest, ResponderOutlivesTheServer)
{
    std::optional<Responder> kept;
    start({}, [&](const HttpRequest&, Responder responder) { kept = std::move(responder); });
    const RawConnection client(loop, server->port());
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [&] { return kept.has_value(); }));
    server.reset();
    EXPECT_FALSE(kept->isOpen());
    kept->respond({ 200, {}, "late" });
    EXPECT_TRUE(runUntil(loop, [&] { return client.isEnded(); }));
    EXPECT_EQ(client.received(), "");
}

// Guards against a half answer when the body is larger than the socket buffers.
TEST_F(HttpServerTest, SendsLargeAnswersWhole)
{
    const std::string body(8UL * 1024 * 1024, 'x');
    start({}, [&](const HttpRequest&, const Responder& responder) { responder.respond({ 200, {}, body }); });
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").ends_with("\r\n\r\n" + body));
}

// Guards against a server that starts without its port.
TEST_F(HttpServerTest, ReportsAnAddressInUse)
{
    HttpServerOptions options;
    options.listen.port = start().port();
    EXPECT_THROW(HttpServer(loop, options, nullptr), base::Error);
}

} // namespace
} // namespace crocuscove::http
