#include "crocuscove/cli/fake_admin_server.h"
#include "crocuscove/cli/testing.h"

#include <nlohmann/json.hpp>

namespace crocuscove::cli {
namespace {

using Behaviour = FakeAdminServer::Behaviour;

class ReadCommands : public ::testing::Test {
protected:
    ReadCommands() { m_server.put("hello", m_text, "first"); }

    RunResult run(std::vector<std::string> arguments, int repetitions = 0)
    {
        arguments.push_back(m_server.flag());
        return runCli(arguments, {}, repetitions);
    }

    FakeAdminServer m_server;
    std::string m_path = examplePath("quickstart/hello.yaml");
    std::string m_text = readText(m_path);
};

// Guards against output that differs from what the server keeps.
TEST_F(ReadCommands, ShowDocuments)
{
    m_server.put("hello", m_text + "# second\n", "second");
    EXPECT_EQ(run({ "get", "hello" }).out, m_text + "# second\n");
    EXPECT_EQ(run({ "get", "hello", "--revision=1" }).out, m_text);
    EXPECT_EQ(run({ "list" }).out, "SERVICE  REVISION  TEAM\nhello    2         shops\n");
    EXPECT_EQ(run({ "history", "hello" }).out,
        "REVISION  APPLIED               REQUEST ID\n"
        "1         1970-01-01T00:00:00Z  first\n"
        "2         1970-01-01T00:00:01Z  second\n");
    EXPECT_EQ(nlohmann::json::parse(run({ "get", "hello", "--output=json" }).out).at("revision"), 2);
    EXPECT_EQ(nlohmann::json::parse(run({ "history", "hello", "--output=json" }).out).at("revisions").size(), 2U);
    EXPECT_EQ(nlohmann::json::parse(run({ "list", "--output=json" }).out).at("documents")[0].at("service"), "hello");
}

// Guards against a difference that an operator misses before applying.
TEST_F(ReadCommands, DiffComparesWithTheDocumentInForce)
{
    EXPECT_EQ(run({ "diff", m_path }).out, "hello: no difference to revision 1\n");
    const TemporaryFile changed(m_text + "limits: {maxQueued: 7}\n");
    EXPECT_EQ(run({ "diff", changed.path() }).out, "hello: changes to revision 1\n~ limits.maxQueued: 1024 -> 7\n");
    const auto json = nlohmann::json::parse(run({ "diff", changed.path(), "--output=json" }).out);
    EXPECT_EQ(json.at("changes")[0].at("after"), "7");
    EXPECT_EQ(run({ "diff", examplePath("caroni-postcard-trust/proof.yaml") }).out,
        "proof: no document in force, all of this one is new\n");
}

// Guards against absent documents and damaged answers that end with success or with another exit code.
TEST_F(ReadCommands, FailuresHaveTheirExitCodes)
{
    EXPECT_EQ(run({ "get", "nothing" }).code, 1);
    EXPECT_EQ(run({ "get", "hello", "--revision=9" }).err, "crocuscove: service 'hello' has no revision 9\n");
    EXPECT_EQ(run({ "history", "nothing" }).err, "crocuscove: service 'nothing' has no document\n");
    const std::vector<std::pair<Behaviour, int>> failures { { Behaviour::GarbageBody, 1 }, { Behaviour::Garbage, 4 },
        { Behaviour::TruncateAnswer, 4 }, { Behaviour::Unavailable, 4 }, { Behaviour::Timeout, 4 },
        { Behaviour::TooLarge, 1 }, { Behaviour::DropRequest, 4 } };
    for (const auto& [behaviour, code] : failures) {
        for (const char* command : { "list", "history", "get" }) {
            m_server.script("GET", { behaviour });
            std::vector<std::string> arguments { command, "--output=json" };
            if (std::string_view(command) != "list") {
                arguments.emplace_back("hello");
            }
            const RunResult result = run(arguments);
            EXPECT_EQ(result.code, code) << command << " " << static_cast<int>(behaviour) << result.err;
            EXPECT_TRUE(nlohmann::json::parse(result.out).contains("message")) << result.out;
        }
    }
    for (const char* body :
        { "{}", "[]", "{\"documents\":{}}", "{\"documents\":[1]}", "{\"documents\":[{\"service\":1,\"revision\":1}]}",
            "{\"documents\":[{\"service\":\"a\",\"revision\":-1}]}" }) {
        m_server.setAnswer("/v1/documents", body);
        EXPECT_EQ(run({ "list" }).code, 1) << body;
    }
}

// Guards against a difference between document and fleet that isn't shown, or is shown without a reason.
TEST_F(ReadCommands, StatusShowsEachDifferenceWithItsReason)
{
    m_server.put("lonely", readText(examplePath("caroni-postcard-trust/proof.yaml")));
    m_server.setAnswer("/v1/status",
        R"({"services":[{"service":"hello","revision":1,"wanted":3,"inService":1,"reasons":["waits for a \u001b[31mVM"]},)"
        R"({"service":"ghost","revision":4,"wanted":1,"inService":1,"reasons":[]}],)"
        R"("nodes":[{"node":"a","role":"entry,voter","leader":true,"applied":12,"ready":true}],)"
        R"("vms":[{"vm":"vm-1","pool":"hello","phase":"serving","reason":""},)"
        R"({"vm":"vm-2","pool":"hello","phase":"draining","reason":"maintenance"}],)"
        R"("maintenance":{"state":"paused"}})");
    const RunResult result = run({ "status" });
    EXPECT_EQ(result.code, 0) << result.err;
    EXPECT_EQ(result.out,
        "SERVICE  DOCUMENT                                   FLEET\n"
        "ghost    none                                       revision 4, 1 of 1 in service\n"
        "hello    revision 1, 1-3 executors, 50% available   revision 1, 1 of 3 in service\n"
        "lonely   revision 1, 8-12 executors, 90% available  none\n"
        "\n"
        "ghost: the fleet runs a service without a document\n"
        "  because: no reason reported\n"
        "hello: 1 of 3 executors in service, below the 2 that the availability budget keeps\n"
        "  because: waits for a ?[31mVM\n"
        "  because: vm-2 draining: maintenance\n"
        "lonely: the fleet reports no state\n"
        "  because: no reason reported\n"
        "\n"
        "NODE  ROLE         LEADER  APPLIED  READY\n"
        "a     entry,voter  true    12       yes\n"
        "\n"
        "VM NOT SERVING  POOL   PHASE     REASON\n"
        "vm-2            hello  draining  maintenance\n"
        "\n"
        "maintenance\n"
        "  state: paused\n");
    const auto json = nlohmann::json::parse(run({ "status", "--output=json" }).out);
    EXPECT_EQ(json.at("services")[1].at("differences")[0].at("reasons").size(), 2U);
}

// Guards against --watch that ends at the first failed call, and one that fetches unchanged documents again.
TEST_F(ReadCommands, WatchGoesOnAfterAFailure)
{
    m_server.setAnswer("/v1/status",
        R"({"services":[{"service":"hello","revision":1,"wanted":2,"inService":2,"reasons":[]}],"nodes":[],"vms":[]})");
    m_server.script("GET", { Behaviour::Unavailable });
    const RunResult result = run({ "status", "--watch", "--interval-ms=1" }, 2);
    EXPECT_EQ(result.code, 0);
    EXPECT_NE(result.err.find("the server is unavailable"), std::string::npos) << result.err;
    const auto first = result.out.find("the fleet matches every document");
    ASSERT_NE(first, std::string::npos) << result.out;
    EXPECT_NE(result.out.find("the fleet matches every document", first + 1), std::string::npos) << result.out;
    EXPECT_EQ(m_server.requests("GET").size(), 6U); // one failed, list and status twice, one document
}

} // namespace
} // namespace crocuscove::cli
