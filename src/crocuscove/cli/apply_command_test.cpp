#include "crocuscove/cli/fake_admin_server.h"
#include "crocuscove/cli/testing.h"

#include <nlohmann/json.hpp>

namespace crocuscove::cli {
namespace {

using Behaviour = FakeAdminServer::Behaviour;

class ApplyCommand : public ::testing::Test {
protected:
    RunResult apply(const std::vector<std::string>& flags = {})
    {
        std::vector<std::string> arguments { "apply", m_path, m_server.flag() };
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        return runCli(arguments);
    }

    FakeAdminServer m_server;
    std::string m_path = examplePath("quickstart/hello.yaml");
    std::string m_text = readText(m_path);
};

// Guards against a write that isn't based on the revision in force.
TEST_F(ApplyCommand, CreatesThenChanges)
{
    EXPECT_EQ(apply().out, "hello: revision 1 accepted\n");
    EXPECT_EQ(m_server.requests("PUT").back().expectedRevision, "0");
    EXPECT_EQ(m_server.revisions("hello").back().text, m_text);

    const TemporaryFile changed(m_text + "# changed\n");
    m_path = changed.path();
    EXPECT_EQ(apply().out, "hello: revision 2 accepted\n");
    EXPECT_EQ(m_server.requests("PUT").back().expectedRevision, "1");
    EXPECT_EQ(apply().out, "hello: revision 2 unchanged\n");
    EXPECT_EQ(m_server.requests("PUT").size(), 2U);
}

// Guards against request ids that repeat or that a server can't use.
TEST_F(ApplyCommand, RequestIdsAreRandomOrGiven)
{
    apply({ "--expected-revision=0" });
    apply({ "--expected-revision=1" });
    apply({ "--expected-revision=2", "--request-id=mine-1" });
    const auto requests = m_server.requests("PUT");
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(requests[0].requestId.size(), 32U);
    EXPECT_NE(requests[0].requestId, requests[1].requestId);
    EXPECT_EQ(requests[2].requestId, "mine-1");
    EXPECT_TRUE(m_server.requests("GET").empty());
}

// Guards against a document that is applied twice, or reported as failed, after its answer got lost.
TEST_F(ApplyCommand, LostAnswerIsSentAgainWithTheSameId)
{
    m_server.script("PUT",
        { Behaviour::LoseAnswer, Behaviour::TruncateAnswer, Behaviour::Garbage, Behaviour::GarbageBody,
            Behaviour::Timeout });
    const RunResult result = apply();
    EXPECT_EQ(result.code, 0) << result.err;
    EXPECT_EQ(result.out, "hello: revision 1 accepted\n");
    EXPECT_EQ(m_server.revisions("hello").size(), 1U);
    const auto requests = m_server.requests("PUT");
    ASSERT_EQ(requests.size(), 6U);
    for (const auto& request : requests) {
        EXPECT_EQ(request.requestId, requests.front().requestId);
        EXPECT_EQ(request.expectedRevision, "0");
    }
}

// Guards against a guess when the outcome can't be known, and against an operator left without the next step.
TEST_F(ApplyCommand, UnknownOutcomeNamesTheCommandThatDeterminesIt)
{
    m_server.script("PUT", { Behaviour::LoseAnswer, Behaviour::Silent, Behaviour::Silent, Behaviour::Silent });
    const RunResult result = apply({ "--timeout-ms=300", "--request-id=r1" });
    EXPECT_EQ(result.code, 5);
    EXPECT_EQ(result.out, "");
    EXPECT_NE(result.err.find("hello: outcome unknown"), std::string::npos) << result.err;
    EXPECT_NE(
        result.err.find("look for request id r1 in: crocuscove history hello " + m_server.flag()), std::string::npos)
        << result.err;
    EXPECT_NE(result.err.find("--request-id=r1 --expected-revision=0 " + m_server.flag()), std::string::npos);

    const RunResult history = runCli({ "history", "hello", m_server.flag() });
    EXPECT_NE(history.out.find("r1"), std::string::npos) << history.out;
    m_server.script("PUT", {});
    const RunResult again = apply({ "--request-id=r1", "--expected-revision=0" });
    EXPECT_EQ(again.out, "hello: revision 1 accepted\n");
    EXPECT_EQ(m_server.revisions("hello").size(), 1U);
}

// Guards against an unknown outcome that a later refusal or "not executed" turns into a certain one.
TEST_F(ApplyCommand, UnknownStaysUnknown)
{
    const std::deque<Behaviour> unavailable(20, Behaviour::Unavailable);
    m_server.script("PUT", { Behaviour::DropRequest, Behaviour::TooLarge });
    EXPECT_EQ(apply().code, 5);
    auto behaviours = unavailable;
    behaviours.push_front(Behaviour::Timeout);
    m_server.script("PUT", behaviours);
    const auto json = nlohmann::json::parse(apply({ "--timeout-ms=200", "--output=json" }).out);
    EXPECT_EQ(json.at("error"), "unknown-outcome");
    EXPECT_EQ(json.at("expectedRevision"), 0);
}

// Guards against an unavailable server that counts as an unknown outcome, though nothing was executed.
TEST_F(ApplyCommand, NotExecutedIsTold)
{
    m_server.script("PUT", std::deque<Behaviour>(20, Behaviour::Unavailable));
    const RunResult result = apply({ "--timeout-ms=200" });
    EXPECT_EQ(result.code, 4);
    EXPECT_NE(result.err.find("hello: not executed"), std::string::npos) << result.err;
    EXPECT_GE(m_server.requests("PUT").size(), 2U);

    m_server.script("PUT", { Behaviour::Unavailable });
    EXPECT_EQ(apply().code, 0);
    m_server.script("PUT", { Behaviour::TooLarge });
    const TemporaryFile changed(m_text + "# changed\n");
    m_path = changed.path();
    EXPECT_EQ(apply().code, 1);
}

// Guards against an operator's change that overwrites another's unseen.
TEST_F(ApplyCommand, ConflictShowsTheDifference)
{
    m_server.put("hello", m_text + "# other\n");
    const RunResult result = apply({ "--expected-revision=0" });
    EXPECT_EQ(result.code, 3);
    EXPECT_NE(result.err.find("revision 1 is in force, not 0; nothing was changed"), std::string::npos) << result.err;
    EXPECT_NE(result.err.find("~ team: shops -> sales"), std::string::npos) << result.err;
    const auto json = nlohmann::json::parse(apply({ "--expected-revision=0", "--output=json" }).out);
    EXPECT_EQ(json.at("error"), "conflict");
    EXPECT_EQ(json.at("revisionInForce"), 1);
    EXPECT_EQ(json.at("difference").size(), 1U);
    EXPECT_EQ(m_server.revisions("hello").size(), 1U);

    m_server.put("hello", m_text);
    const RunResult same = apply({ "--expected-revision=0" });
    EXPECT_EQ(same.code, 3);
    EXPECT_NE(same.err.find("nothing was changed. Its content is the same."), std::string::npos) << same.err;
}

// Guards against an invalid document that reaches the server, and a server's problems that are lost.
TEST_F(ApplyCommand, InvalidDocumentIsRefused)
{
    const TemporaryFile file("schema: crocuscove/v1\n");
    m_path = file.path();
    EXPECT_EQ(apply().code, 2);
    EXPECT_TRUE(m_server.requests("GET").empty());
    EXPECT_TRUE(m_server.requests("PUT").empty());
}

// Guards against a refusal that hides the server's reason.
TEST_F(ApplyCommand, RefusalNamesTheCause)
{
    m_server.script("PUT", { Behaviour::BadRequest });
    const RunResult result = apply();
    EXPECT_EQ(result.code, 1);
    EXPECT_EQ(result.err,
        "crocuscove: hello: refused: the server answered with status 400 (invalid-request: too many documents)\n");
}

// Guards against --wait that ends before the document is in force everywhere, or never.
TEST_F(ApplyCommand, WaitsUntilInForceOnEveryNode)
{
    m_server.setUnfinishedRollouts(2);
    const RunResult result = apply({ "--wait" });
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(result.out, "hello: revision 1 in force on every node\n");
    EXPECT_EQ(result.err,
        "hello revision 1: in force on 1 of 2 nodes, waiting for b\nhello revision 1: in force on 2 of 2 nodes\n");

    m_server.setUnfinishedRollouts(1000);
    const RunResult late = apply({ "--wait", "--timeout-ms=300" });
    EXPECT_EQ(late.code, 1);
    EXPECT_NE(
        late.err.find("revision 1 is accepted but was not in force on every node after 300 ms"), std::string::npos)
        << late.err;
}

} // namespace
} // namespace crocuscove::cli
