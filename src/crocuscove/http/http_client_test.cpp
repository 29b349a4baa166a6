#include "crocuscove/http/http_client.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/http_server.h"
#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace crocuscove::http {
namespace {

using testing::RawServer;
using testing::runUntil;

const std::string okHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

base::MonotonicTime after(int milliseconds) { return base::monotonicNow() + base::Milliseconds(milliseconds); }

class HttpClientTest : public ::testing::Test {
protected:
    Call call(base::MonotonicTime deadline, const std::string& target = "/x")
    {
        HttpRequest request;
        request.rawTarget = target;
        return client.call(server.endpoint(), request, deadline,
            [this](ExchangeResult result) { results.push_back(std::move(result)); });
    }

    [[nodiscard]] bool waitForRequest(std::size_t connection)
    {
        return runUntil(loop, [&] {
            return server.connections.size() > connection
                && server.connections[connection]->received().ends_with("\r\n\r\n");
        });
    }

    [[nodiscard]] bool waitForResults(std::size_t count)
    {
        return runUntil(loop, [&] { return results.size() == count; });
    }

    /// Answers one call on a new connection with `bytes`, then closes it.
    ExchangeResult resultOf(const std::string& bytes, bool isReset = false)
    {
        results.clear();
        const std::size_t index = server.connections.size();
        call(after(30'000));
        EXPECT_TRUE(waitForRequest(index));
        server.connections[index]->send(bytes);
        isReset ? server.connections[index]->reset() : server.connections[index]->close();
        EXPECT_TRUE(waitForResults(1));
        return results.at(0);
    }

    EventLoop loop;
    RawServer server { loop };
    HttpClient client { loop, {} };
    std::vector<ExchangeResult> results;
};

// Guards against a lost or changed request, and against a connection for each call.
TEST_F(HttpClientTest, ReusesAConnectionForCallAfterCall)
{
    std::vector<HttpRequest> requests;
    HttpServer httpServer(loop, {}, [&](HttpRequest request, const Responder& responder) {
        requests.push_back(request);
        responder.respond({ 200, { { { "X-Echo", request.body } } }, "answer to " + request.body });
    });
    const base::Endpoint endpoint { "127.0.0.1", httpServer.port() };
    for (int index = 1; index <= 3; ++index) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/a b";
        request.query = "q=1";
        request.headers.add("X-One", "1");
        request.body = std::to_string(index);
        client.call(
            endpoint, request, after(30'000), [&](ExchangeResult result) { results.push_back(std::move(result)); });
        ASSERT_TRUE(waitForResults(static_cast<std::size_t>(index)));
        ASSERT_TRUE(results.back().response);
        EXPECT_EQ(results.back().response->body, "answer to " + request.body);
        EXPECT_EQ(results.back().response->headers.get("x-echo"), request.body);
        EXPECT_EQ(requests.back().path, "/a b");
        EXPECT_EQ(requests.back().query, "q=1");
        EXPECT_EQ(requests.back().headers.get("X-One"), "1");
        EXPECT_EQ(requests.back().body, request.body);
    }
    EXPECT_EQ(httpServer.openConnections(), 1U);
    EXPECT_EQ(client.idleConnections(), 1U);
    EXPECT_EQ(client.openCalls(), 0U);
}

// Guards against passing on a truncated or broken answer.
TEST_F(HttpClientTest, ClassifiesBrokenAnswers)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, ExchangeFailure>> cases {
        { "", ExchangeFailure::Reset },
        { "HTTP/1.1 2", ExchangeFailure::Truncated },
        { okHead + "a", ExchangeFailure::Truncated },
        { chunked + "2\r\nab\r\n", ExchangeFailure::Truncated },
        { chunked + "2\r\nab\r\n0\r\n", ExchangeFailure::Truncated },
        { "HTTP/1.1 200 OK\r\n\r\nuntil close", ExchangeFailure::Malformed },
        { "garbage\r\n", ExchangeFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", ExchangeFailure::Oversized },
        { "HTTP/1.1 200 OK\r\nA: " + std::string(20'000, 'a'), ExchangeFailure::Oversized },
    };
    for (const auto& [bytes, failure] : cases) {
        const ExchangeResult result = resultOf(bytes);
        EXPECT_EQ(result.failure, failure) << bytes.substr(0, 80) << ": " << exchangeFailureName(result.failure);
        EXPECT_FALSE(result.response);
        EXPECT_TRUE(result.mayHaveStarted);
    }
    EXPECT_EQ(resultOf("", true).failure, ExchangeFailure::Reset);
    EXPECT_EQ(client.idleConnections(), 0U);
}

// Guards against calling a request unstarted when bytes were sent, or started when none could be.
TEST_F(HttpClientTest, TellsWhetherTheRequestMayHaveStarted)
{
    std::optional<RawServer> closed(std::in_place, loop);
    const base::Endpoint refused = closed->endpoint();
    closed.reset();
    const auto collect = [this](ExchangeResult result) { results.push_back(std::move(result)); };
    client.call(refused, {}, after(30'000), collect);
    EXPECT_TRUE(results.empty());
    ASSERT_TRUE(waitForResults(1));
    EXPECT_EQ(results[0].failure, ExchangeFailure::ConnectFailed);
    EXPECT_FALSE(results[0].mayHaveStarted);
    EXPECT_TRUE(results[0].wasRefused);

    Call cancelled = call(after(30'000));
    cancelled.cancel();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[1].failure, ExchangeFailure::Cancelled);
    EXPECT_FALSE(results[1].mayHaveStarted);

    call(after(-1));
    ASSERT_TRUE(waitForResults(3));
    EXPECT_EQ(results[2].failure, ExchangeFailure::Deadline);
    EXPECT_FALSE(results[2].mayHaveStarted);
}

// Guards against a peer that never completes the connection: the request certainly didn't start.
TEST_F(HttpClientTest, UnansweredConnectIsCertainlyNotStarted)
{
    // The kernel drops further connection attempts when the backlog of a socket that accepts nothing is full.
    const testing::SilentServer silent;
    HttpClientOptions options;
    options.connectTimeout = base::Milliseconds(100);
    HttpClient impatient(loop, options);
    const auto collect = [this](ExchangeResult result) { results.push_back(std::move(result)); };
    impatient.call(silent.endpoint(), {}, after(30'000), collect);
    ASSERT_TRUE(waitForResults(1));
    client.call(silent.endpoint(), {}, after(100), collect);
    ASSERT_TRUE(waitForResults(2));
    EXPECT_EQ(results[0].failure, ExchangeFailure::ConnectFailed);
    EXPECT_EQ(results[1].failure, ExchangeFailure::Deadline);
    EXPECT_FALSE(results[0].mayHaveStarted);
    EXPECT_FALSE(results[1].mayHaveStarted);
    EXPECT_FALSE(results[0].wasRefused) << "a host that may be cut off";
}

// Guards against a request whose permission ended while it waited for its connection, and that is written all the same.
TEST_F(HttpClientTest, ARequestWhosePermissionEndedIsNotWritten)
{
    bool maySend = true;
    const auto callIfPermitted = [&] {
        client.call(
            server.endpoint(), {}, after(30'000),
            [this](ExchangeResult result) { results.push_back(std::move(result)); }, [&] { return maySend; });
    };
    callIfPermitted();
    maySend = false;
    ASSERT_TRUE(runUntil(loop, [&] { return server.connections.size() == 1 && server.connections[0]->isEnded(); }));
    EXPECT_EQ(server.connections[0]->received(), "");
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].failure, ExchangeFailure::Withdrawn);
    EXPECT_FALSE(results[0].mayHaveStarted);

    call(after(30'000));
    ASSERT_TRUE(waitForRequest(1));
    server.connections[1]->send(okHead + "aa");
    ASSERT_TRUE(waitForResults(2));
    ASSERT_EQ(client.idleConnections(), 1U);
    const std::string before = server.connections[1]->received();
    callIfPermitted();
    EXPECT_EQ(results.size(), 2U) << "never before the call returns";
    ASSERT_TRUE(waitForResults(3));
    EXPECT_EQ(results[2].failure, ExchangeFailure::Withdrawn);
    EXPECT_EQ(server.connections[1]->received(), before) << "on a connection that was kept";

    maySend = true;
    callIfPermitted();
    ASSERT_TRUE(waitForRequest(2));
    server.connections[2]->send(okHead + "bb");
    ASSERT_TRUE(waitForResults(4));
    EXPECT_TRUE(results[3].response);
}

// Guards against a cancelled call that keeps its connection, and a callback that runs twice.
TEST_F(HttpClientTest, CancelClosesTheConnection)
{
    Call running = call(after(30'000));
    ASSERT_TRUE(waitForRequest(0));
    EXPECT_TRUE(running.isRunning());
    running.cancel();
    running.cancel();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].failure, ExchangeFailure::Cancelled);
    EXPECT_TRUE(results[0].mayHaveStarted);
    EXPECT_FALSE(running.isRunning());
    EXPECT_TRUE(runUntil(loop, [&] { return server.connections[0]->isEnded(); }));
    EXPECT_EQ(results.size(), 1U);
}

// Guards against a late answer that reaches the next call.
TEST_F(HttpClientTest, LateAnswerReachesNoOtherCall)
{
    call(after(50));
    ASSERT_TRUE(waitForRequest(0));
    ASSERT_TRUE(waitForResults(1));
    EXPECT_EQ(results[0].failure, ExchangeFailure::Deadline);
    EXPECT_TRUE(results[0].mayHaveStarted);
    server.connections[0]->send(okHead + "aa");
    call(after(30'000));
    ASSERT_TRUE(waitForRequest(1));
    server.connections[1]->send(okHead + "bb");
    ASSERT_TRUE(waitForResults(2));
    ASSERT_TRUE(results[1].response);
    EXPECT_EQ(results[1].response->body, "bb");
}

// Guards against crossed answers: bytes that come with or after an answer must not be taken for the next one.
TEST_F(HttpClientTest, ExtraBytesCloseTheConnection)
{
    call(after(30'000));
    ASSERT_TRUE(waitForRequest(0));
    server.connections[0]->send(okHead + "aa" + okHead + "xx");
    ASSERT_TRUE(waitForResults(1));
    EXPECT_EQ(results[0].response->body, "aa");
    EXPECT_EQ(client.idleConnections(), 0U);

    call(after(30'000));
    ASSERT_TRUE(waitForRequest(1));
    server.connections[1]->send(okHead + "bb");
    ASSERT_TRUE(waitForResults(2));
    EXPECT_EQ(client.idleConnections(), 1U);
    server.connections[1]->send(okHead + "yy");
    // The loop hasn't seen these bytes yet when the next call starts.
    call(after(30'000));
    ASSERT_TRUE(waitForRequest(2));
    server.connections[2]->send(okHead + "cc");
    ASSERT_TRUE(waitForResults(3));
    EXPECT_EQ(results[2].response->body, "cc");

    server.connections[2]->send("z");
    EXPECT_TRUE(runUntil(loop, [&] { return client.idleConnections() == 0; }));
    EXPECT_TRUE(runUntil(loop, [&] { return server.connections[2]->isEnded(); }));
}

// Guards against an answer sent before the request, which can only belong to someone else.
TEST_F(HttpClientTest, AnswerBeforeTheRequestIsRefused)
{
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(32UL * 1024 * 1024, 'x');
    client.call(server.endpoint(), request, after(30'000),
        [this](ExchangeResult result) { results.push_back(std::move(result)); });
    ASSERT_TRUE(runUntil(loop, [&] { return !server.connections.empty(); }));
    server.connections[0]->send(okHead + "aa");
    ASSERT_TRUE(waitForResults(1));
    EXPECT_EQ(client.idleConnections(), 0U);
}

// Guards against keeping connections that the peer closed or asked to close, or keeping too many for too long.
TEST_F(HttpClientTest, BoundsThePool)
{
    HttpClientOptions options;
    options.maxIdlePerEndpoint = 2;
    options.maxOpenCalls = 4;
    options.idleTimeout = base::Milliseconds(300);
    HttpClient bounded(loop, options);
    const auto collect = [this](ExchangeResult result) { results.push_back(std::move(result)); };
    for (int index = 0; index < 5; ++index) {
        bounded.call(server.endpoint(), {}, after(30'000), collect);
    }
    ASSERT_TRUE(waitForResults(1));
    EXPECT_EQ(results[0].failure, ExchangeFailure::ConnectFailed);
    EXPECT_FALSE(results[0].mayHaveStarted);
    ASSERT_TRUE(waitForRequest(3));
    for (const auto& connection : server.connections) {
        connection->send(okHead + "aa");
    }
    ASSERT_TRUE(waitForResults(5));
    EXPECT_EQ(bounded.idleConnections(), 2U);
    EXPECT_TRUE(runUntil(loop, [&] { return bounded.idleConnections() == 0; }));

    for (const std::string_view last : { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
        const std::size_t index = server.connections.size();
        call(after(30'000));
        ASSERT_TRUE(waitForRequest(index));
        server.connections[index]->send(last); // The server leaves it to the client to close.
        ASSERT_TRUE(waitForResults(results.size() + 1));
        EXPECT_EQ(results.back().failure, ExchangeFailure::None);
        EXPECT_EQ(client.idleConnections(), 0U);
    }
}

// Guards against a full pool that keeps connections to endpoints which are no longer called and closes those in use.
TEST_F(HttpClientTest, AFullPoolDropsTheConnectionIdleForLongest)
{
    HttpClientOptions options;
    options.maxIdleConnections = 2;
    HttpClient bounded(loop, options);
    std::vector<std::unique_ptr<RawServer>> others;
    const auto callOnce = [&](RawServer& target) {
        const std::size_t known = target.connections.size();
        const std::size_t finished = results.size();
        const std::size_t bytes = known == 0 ? 0 : target.connections.back()->received().size();
        bounded.call(target.endpoint(), {}, after(30'000),
            [this](ExchangeResult result) { results.push_back(std::move(result)); });
        EXPECT_TRUE(runUntil(loop, [&] {
            const std::string received = target.connections.empty() ? "" : target.connections.back()->received();
            return (target.connections.size() > known || received.size() > bytes) && received.ends_with("\r\n\r\n");
        }));
        target.connections.back()->send(okHead + "aa");
        EXPECT_TRUE(waitForResults(finished + 1));
        return target.connections.size() - known;
    };
    for (int index = 0; index < 3; ++index) {
        others.push_back(std::make_unique<RawServer>(loop));
        EXPECT_EQ(callOnce(*others.back()), 1U);
    }
    EXPECT_EQ(bounded.idleConnections(), 2U);
    EXPECT_EQ(callOnce(*others[2]), 0U) << "called last, so still open";
    EXPECT_EQ(callOnce(*others[0]), 1U) << "idle for longest, so closed";
    EXPECT_EQ(bounded.idleConnections(), 2U);
}

// Guards against requests smuggled in through a header value or target.
TEST_F(HttpClientTest, RefusesInvalidRequests)
{
    const auto refuse = [&](const HttpRequest& request) {
        EXPECT_THROW(client.call(server.endpoint(), request, after(30'000), nullptr), base::InvalidInput);
    };
    refuse({ .method = "GET /" });
    refuse({ .rawTarget = "/a b" });
    refuse({ .headers = { { { "A", "b\r\nC: d" } } } });
    refuse({ .headers = { { { "A b", "c" } } } });
    EXPECT_THROW(client.call({ "example", 80 }, {}, after(30'000), nullptr), base::InvalidInput);
    EXPECT_EQ(client.openCalls(), 0U);
}

// Guards against use after free when the callback destroys the client.
TEST_F(HttpClientTest, CallbackMayDestroyTheClient)
{
    auto owned = std::make_unique<HttpClient>(loop, HttpClientOptions {});
    owned->call(server.endpoint(), {}, after(30'000), [&](ExchangeResult result) {
        owned.reset();
        results.push_back(std::move(result));
    });
    ASSERT_TRUE(waitForRequest(0));
    server.connections[0]->send(okHead + "aa");
    ASSERT_TRUE(waitForResults(1));
    EXPECT_EQ(owned, nullptr);
}

// Guards against a mutated answer that hangs, crashes or crosses over to the next call on the same client.
RC_GTEST_FIXTURE_PROP(HttpClientTest, MutatedAnswersAffectNoOtherCall, ())
{
    std::string text = okHead + "aa";
    for (const auto& [position, byte] :
        *rc::gen::resize(4, rc::gen::arbitrary<std::vector<std::pair<std::size_t, char>>>())) {
        text[position % text.size()] = byte;
    }
    text += *rc::gen::resize(10, rc::gen::string<std::string>());
    call(after(30'000), "/mutated");
    RC_ASSERT(waitForRequest(0));
    server.connections[0]->send(text);
    server.connections[0]->close();
    RC_ASSERT(waitForResults(1));
    RC_ASSERT(results[0].response.has_value() == (results[0].failure == ExchangeFailure::None));
    call(after(30'000), "/next");
    RC_ASSERT(waitForRequest(1));
    server.connections[1]->send(okHead + "bb");
    RC_ASSERT(waitForResults(2));
    RC_ASSERT(results[1].response && results[1].response->body == "bb");
}

} // namespace
} // namespace crocuscove::http
