#include "crocuscove/cli/admin_client.h"

#include "crocuscove/cli/fake_admin_server.h"
#include "crocuscove/cli/testing.h"

namespace crocuscove::cli {
namespace {

using Behaviour = FakeAdminServer::Behaviour;

Exchange getList(const base::Endpoint& server, int timeoutMs = 5000)
{
    return exchange(server, { HttpMethod::Get, "/v1/documents" }, base::monotonicNow() + base::Milliseconds(timeoutMs));
}

/// Returns a port of loopback that nothing listens on.
base::Endpoint closedPort() { return FakeAdminServer().endpoint(); }

// Guards against a damaged answer that counts as a whole one.
TEST(AdminClient, DamagedAnswersAreLost)
{
    FakeAdminServer server;
    for (const Behaviour behaviour :
        { Behaviour::DropRequest, Behaviour::TruncateAnswer, Behaviour::Garbage, Behaviour::NoLength }) {
        server.script("GET", { behaviour });
        const Exchange answer = getList(server.endpoint());
        EXPECT_EQ(answer.delivery, Delivery::Lost) << static_cast<int>(behaviour);
        EXPECT_FALSE(answer.cause.empty());
    }
    EXPECT_EQ(getList(server.endpoint()).delivery, Delivery::Answered);
}

// Guards against waiting for ever, and against a silent server that counts as not having got the request.
TEST(AdminClient, SilentServerIsLostAtTheDeadline)
{
    FakeAdminServer server;
    server.script("GET", { Behaviour::Silent });
    EXPECT_EQ(getList(server.endpoint(), 50).delivery, Delivery::Lost);
}

// Guards against a refused connection that counts as a request with an unknown outcome.
TEST(AdminClient, RefusedConnectionIsNotSent)
{
    const Exchange answer = getList(closedPort());
    EXPECT_EQ(answer.delivery, Delivery::NotSent);
    EXPECT_EQ(answer.cause, "the server can't be reached");
}

// Guards against unbounded memory for an answer.
TEST(AdminClient, AnswerSizeIsBounded)
{
    FakeAdminServer server;
    server.setAnswer("/v1/documents", std::string(maxAnswerBytes + 1, 'x'));
    const Exchange answer = getList(server.endpoint());
    EXPECT_EQ(answer.delivery, Delivery::Lost);
    EXPECT_EQ(answer.cause, "the answer is too large");
}

} // namespace
} // namespace crocuscove::cli
