#include "support/json_lines.h"
#include "support/system.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <string>
#include <thread>

/// Answers to clients while backend servers, an entry node and the leader fail, with real processes.
namespace crocuscove::testing {
namespace {

constexpr int nodes = 6;
constexpr int voters = 3;
constexpr int backends = 8;
/// Guarantee 6 of docs/design.md.
constexpr std::int64_t leavingBoundMs = 2000;
const std::string demoDocument = CROCUSCOVE_SOURCE_FOLDER "/examples/documents/quickstart/demo.yaml";

class RoutingFaultsTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(system.waitUntilReady());
        ASSERT_EQ(system.applyAndWait(demoDocument), 0) << cluster.process("apply").errorText();
        for (int number = 1; number <= backends; ++number) {
            system.startBackend("demo", number);
        }
        for (int number = 1; number <= nodes; ++number) {
            ASSERT_TRUE(waitUntil([&] { return system.inService("demo", number) == backends; }));
        }
    }

    void TearDown() override { system.killBackends(); }

    ChildProcess& backend(int number) { return cluster.process(fmt::format("demo-{}", number)); }

    [[nodiscard]] std::vector<nlohmann::json> runs(int number) const
    {
        return readJsonLines(cluster.path(fmt::format("runs-demo-{}.jsonl", number)));
    }

    void setFault(int number, const std::string& kind)
    {
        const auto port = backend(number).waitForReady().at("port").get<std::uint16_t>();
        const auto result = Cluster::request(loopback(port), "PUT", "/standin/fault?kind=" + kind);
        EXPECT_EQ(result.response.value_or(http::HttpResponse { 0, {}, "" }).status, 200) << kind;
    }

    /// Waits until the load has so many answers.
    [[nodiscard]] bool waitForAnswers(std::size_t count) const
    {
        const std::string path = cluster.path("load.jsonl");
        return waitUntil([&] { return std::filesystem::exists(path) && readJsonLines(path).size() >= count; });
    }

    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
    System system { cluster, { .nodes = nodes, .voters = voters } };
};

// Guards against a non-idempotent request that runs twice, a client that is told a wrong outcome or gets the answer to
// another request, and a backend server that gets more than its slots, while everything fails in turn.
TEST_F(RoutingFaultsTest, ClientsAreToldTheTruthWhileEverythingFails)
{
    ChildProcess& load = system.startLoad("load",
        { "--class=read:1:GET:/demo/read:2000:60:yes", "--class=order:1:POST:/demo/order:3000:60:no",
            "--idempotency-keys", "--rate=60", "--max-requests=600", "--duration-ms=60000" });
    ASSERT_TRUE(waitForAnswers(40));
    setFault(1, "fail");
    setFault(2, "hang");
    setFault(3, "wrong-echo");
    ASSERT_TRUE(waitForAnswers(120));
    backend(4).kill();
    backend(5).kill();
    system.startBackend("demo", 4, { flag("truncate-after-bytes", 60) });
    ASSERT_TRUE(waitForAnswers(200));
    setFault(1, "none");
    setFault(2, "none");
    setFault(3, "none");
    system.startBackend("demo", 5);
    system.nodeProcess(5).kill();
    ASSERT_TRUE(waitForAnswers(280));
    int leader = 0;
    ASSERT_TRUE(waitUntil([&] {
        leader = system.leader();
        return leader != 0;
    }));
    system.nodeProcess(leader).kill();
    backend(6).kill();
    ASSERT_TRUE(waitForAnswers(380));
    system.startNode(leader);
    system.startNode(5);
    system.startBackend("demo", 6);
    EXPECT_EQ(load.waitForExit(), 0);

    const auto report = system.checkAnswers({ "load" });
    EXPECT_EQ(report.at("violations"), 0) << report.dump();
    EXPECT_EQ(report.at("answers"), 600) << report.dump();
    EXPECT_GT(report.at("executed"), 0) << report.dump();
    EXPECT_TRUE(system.waitUntilReady());
}

// Guards against new work for a backend server that has announced its leaving, and against a stop that cuts work off.
TEST_F(RoutingFaultsTest, LeavingBackendServerGetsNoNewWorkAndFinishes)
{
    ChildProcess& load = system.startLoad("load",
        { "--class=read:1:GET:/demo/read:8000:150:yes", "--class=order:1:POST:/demo/order:8000:150:no", "--rate=60",
            "--max-requests=400", "--duration-ms=60000" });
    ASSERT_TRUE(waitUntil([&] { return runs(1).size() >= 5; }));
    const auto signalledAtMs = base::wallNow().time_since_epoch().count();
    backend(1).signal(SIGTERM);
    EXPECT_EQ(backend(1).waitForExit(), 0);
    EXPECT_TRUE(backend(1).logLines("stop-bound-reached").empty()) << backend(1).errorText();
    EXPECT_EQ(load.waitForExit(), 0);

    std::map<std::string, int> open;
    for (const auto& record : runs(1)) {
        const std::string event = record.at("event");
        if (event == "started") {
            EXPECT_LE(record.at("atMs").get<std::int64_t>(), signalledAtMs + leavingBoundMs) << record.dump();
            ++open[record.at("request")];
        } else if (event != "highest" && event != "refused") {
            EXPECT_EQ(event, "finished") << record.dump();
            --open[record.at("request")];
        }
    }
    EXPECT_TRUE(std::ranges::all_of(open, [](const auto& entry) { return entry.second == 0; }));
    const auto report = system.checkAnswers({ "load" });
    EXPECT_EQ(report.at("violations"), 0) << report.dump();
    EXPECT_EQ(report.at("executed"), 400) << report.dump();
}

// Guards against an idempotency key that runs once for each entry node it comes through.
TEST_F(RoutingFaultsTest, OneKeyThroughTwoEntryNodesRunsOnce)
{
    constexpr int keys = 30;
    const auto send = [this](int node, int key) {
        const http::Headers headers { { { "Idempotency-Key", fmt::format("key-{}", key) },
            { "X-Load-Id", fmt::format("key-{}", key) }, { "X-Run-Ms", "20" } } };
        return Cluster::request(system.node(node).client, "POST", "/demo/order", "order", headers)
            .response.value_or(http::HttpResponse { 0, {}, "" });
    };
    for (int key = 1; key <= keys; ++key) {
        const int first = key % nodes + 1;
        const int second = (first + key % (nodes - 1)) % nodes + 1;
        http::HttpResponse other;
        std::thread client([&] { other = send(second, key); });
        const auto own = send(first, key);
        client.join();
        ASSERT_EQ(std::min(own.status, other.status), 200) << own.body << other.body;
        if (own.status == other.status) {
            EXPECT_EQ(own.body, other.body);
            continue;
        }
        const auto& refused = own.status == 409 ? own : other;
        EXPECT_EQ(refused.status, 409);
        EXPECT_EQ(refused.headers.get("Crocuscove-Outcome"), "unknown") << refused.body;
        EXPECT_EQ(nlohmann::json::parse(refused.body).at("error"), "in progress");
        // Once the first request is done, the caller that was refused gets its answer.
        http::HttpResponse later;
        EXPECT_TRUE(waitUntil([&] {
            later = send(own.status == 409 ? first : second, key);
            return later.status == 200;
        })) << later.body;
        EXPECT_EQ(later.body, own.status == 409 ? other.body : own.body);
    }
    std::map<std::string, int> started;
    for (int number = 1; number <= backends; ++number) {
        for (const auto& record : runs(number)) {
            if (record.at("event") == "started") {
                ++started[record.at("key")];
            }
        }
    }
    EXPECT_EQ(started.size(), static_cast<std::size_t>(keys));
    EXPECT_TRUE(std::ranges::all_of(started, [](const auto& entry) { return entry.second == 1; }));
}

} // namespace
} // namespace crocuscove::testing
