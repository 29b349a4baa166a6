#include "support/admin_double.h"
#include "support/cluster.h"
#include "support/json_lines.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <fstream>

/// Runs each stand-in and tool as a real process.
namespace crocuscove::testing {
namespace {

class CommandsTest : public ::testing::Test {
protected:
    /// Starts a program and returns the port that its ready line names.
    base::Endpoint startServing(
        const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
    {
        nlohmann::json ready;
        cluster.startAndWait(name, standinProgram(program), arguments, ready);
        return loopback(ready.at("port").get<std::uint16_t>());
    }

    base::Endpoint startBackend(std::vector<std::string> arguments)
    {
        arguments.push_back(flag("records", cluster.path("runs")));
        return startServing("backend", "standin_backend", arguments);
    }

    [[nodiscard]] std::vector<nlohmann::json> runs() const { return readJsonLines(cluster.path("runs")); }

    [[nodiscard]] std::ptrdiff_t countRuns(const std::string& event) const
    {
        return std::ranges::count_if(runs(), [&](const auto& line) { return line.at("event") == event; });
    }

    /// Runs the load to its end and returns the summary.
    nlohmann::json runLoad(const base::Endpoint& target, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), { flag("target", target.text()), flag("records", cluster.path("answers")) });
        ChildProcess& load = cluster.start("load", standinProgram("load_generator"), arguments);
        EXPECT_EQ(load.waitForExit(), 0) << load.errorText();
        return load.outputLines().back();
    }

    http::Headers headers(std::vector<std::pair<std::string, std::string>> fields) { return { std::move(fields) }; }

    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
};

const std::vector<std::string> smallLoad { "--class=quote:3:GET:/pricing/quote:2000:5:yes",
    "--class=order:1:POST:/pricing/order:2000:5:no", "--rate=400", "--max-requests=200", "--surge-factor=5",
    "--surge-period-ms=100", "--surge-ms=30", "--straggler-percent=5", "--straggler-factor=4", "--seed=7",
    "--clients=shops,museums" };

// Guards against wrong settings that are ignored.
TEST_F(CommandsTest, RefuseInvalidSettings)
{
    for (const std::string program : { "standin_backend", "standin_worker", "standin_platform", "load_generator",
             "fault_proxy", "answer_checker" }) {
        ChildProcess& unknown = cluster.start(program, standinProgram(program), { "--no-such-flag" });
        EXPECT_EQ(unknown.waitForExit(), 2) << program << unknown.errorText();
        ChildProcess& help = cluster.start(program, standinProgram(program), { "--help" });
        EXPECT_EQ(help.waitForExit(), 0) << program;
    }
    ChildProcess& wrong = cluster.start("wrong", standinProgram("standin_backend"), { "--fault=bad" });
    EXPECT_EQ(wrong.waitForExit(), 2);
    EXPECT_NE(wrong.errorText().find("--fault"), std::string::npos) << wrong.errorText();
}

// Guards against a harness that leaves processes behind, or mistakes a dead process for a running one.
TEST_F(CommandsTest, HarnessKillsAndNoticesExits)
{
    const base::Endpoint endpoint = startBackend({});
    ChildProcess& backend = cluster.process("backend");
    EXPECT_TRUE(backend.isRunning());
    EXPECT_EQ(backend.waitForLog("started").at("port"), endpoint.port);
    const int pid = backend.pid();
    backend.kill();
    EXPECT_FALSE(backend.isRunning());
    EXPECT_EQ(backend.waitForExit(), 128 + SIGKILL);
    EXPECT_NE(::kill(pid, 0), 0);
    EXPECT_ANY_THROW(backend.waitForLog("no-such-event"));
    nlohmann::json ready;
    EXPECT_ANY_THROW(
        cluster.startAndWait("broken", standinProgram("standin_platform"), { "--vms=/nonexistent" }, ready));
    EXPECT_ANY_THROW(cluster.start("missing", standinProgram("no_such_program"), {}));
}

// Guards against a backend server that exceeds its slots, or refuses in a way that isn't the contract.
TEST_F(CommandsTest, BackendBoundsItsSlotsAndEchoes)
{
    const base::Endpoint backend = startBackend({ "--slots=1" });
    const auto fast = Cluster::request(backend, "POST", "/x", "body",
        headers({ { "X-Run-Ms", "1" }, { "X-Load-Id", "l1" }, { "Crocuscove-Request-Id", "r1" } }));
    ASSERT_TRUE(fast.response);
    EXPECT_EQ(fast.response->status, 200);
    EXPECT_EQ(fast.response->headers.get("Crocuscove-Request-Id"), "r1");
    EXPECT_EQ(nlohmann::json::parse(fast.response->body).at("load"), "l1");

    http::EventLoop loop;
    http::HttpClient client(loop, {});
    http::HttpRequest slow;
    slow.headers.add("X-Run-Ms", "600000");
    http::Call call = client.call(backend, slow, base::monotonicNow() + std::chrono::hours(1), [](const auto&) {});
    const http::Timer poll = loop.runEvery(base::Milliseconds(5), [&] {
        if (countRuns("started") == 2) {
            loop.stop();
        }
    });
    loop.run();
    const auto refused = Cluster::request(backend, "GET", "/x");
    ASSERT_TRUE(refused.response);
    EXPECT_EQ(refused.response->status, 503);
    EXPECT_EQ(refused.response->headers.get("Crocuscove-Refused"), "1");
    call.cancel();
    EXPECT_TRUE(waitUntil([&] { return countRuns("disconnected") == 1; }));
    EXPECT_EQ(countRuns("refused"), 1);
    EXPECT_EQ(Cluster::getJson(backend, "/standin/state").at("highestInFlight"), 1);
}

// Guards against faults without effect.
TEST_F(CommandsTest, BackendFaults)
{
    const base::Endpoint backend = startBackend({ "--run-median-ms=1" });
    const auto setFault = [&](const std::string& kind) {
        EXPECT_EQ(Cluster::request(backend, "PUT", "/standin/fault?kind=" + kind).response->status, 200);
    };
    setFault("fail");
    EXPECT_EQ(Cluster::request(backend, "GET", "/x").response->status, 500);
    setFault("wrong-echo");
    const auto crossed = Cluster::request(backend, "GET", "/x", "", headers({ { "Crocuscove-Request-Id", "r1" } }));
    EXPECT_EQ(crossed.response->headers.get("Crocuscove-Request-Id"), "wrong-r1");
    setFault("none");
    EXPECT_EQ(Cluster::request(backend, "GET", "/x").response->status, 200);
    EXPECT_EQ(Cluster::request(backend, "PUT", "/standin/fault?kind=bad").response->status, 400);

    const base::Endpoint truncating
        = startServing("truncating", "standin_backend", { "--truncate-after-bytes=60", "--run-median-ms=1" });
    EXPECT_EQ(Cluster::request(truncating, "GET", "/x").failure, http::ExchangeFailure::Truncated);
}

// Guards against a stop that cuts off a request, or that doesn't wait to be told.
TEST_F(CommandsTest, BackendLeavesGracefully)
{
    AdminDouble admin;
    startBackend({ flag("admin", admin.endpoint().text()), "--announce-interval-ms=20", "--stop-bound-ms=600000" });
    ChildProcess& backend = cluster.process("backend");
    ASSERT_TRUE(waitUntil([&] { return admin.announcements().size() >= 2; }));
    const auto first = admin.announcements().front();
    EXPECT_EQ(first.at("state"), "serving");
    EXPECT_EQ(first.at("slots"), 8);
    EXPECT_GT(first.at("incarnation").get<std::int64_t>(), 1'000'000'000'000);
    backend.signal(SIGTERM);
    ASSERT_TRUE(waitUntil([&] { return admin.announcements().back().at("state") == "leaving"; }));
    EXPECT_TRUE(backend.isRunning());
    admin.setAnswer(200, { { "renewWithinMs", 1000 }, { "drain", true }, { "mayStop", true } });
    EXPECT_EQ(backend.waitForExit(), 0) << backend.errorText();
    EXPECT_EQ(backend.logLines("stopped").size(), 1U);
}

// Guards against a worker that runs a (job, token) twice, obeys no stop, or reports wrong states.
TEST_F(CommandsTest, WorkerRunsTasks)
{
    AdminDouble admin;
    const auto orders = [&](const nlohmann::json& start, const nlohmann::json& stop) {
        admin.setAnswer(200, { { "renewWithinMs", 1000 }, { "start", start }, { "stop", stop } });
    };
    const auto stateOf = [&](const std::string& job) -> std::string {
        const nlohmann::json last = admin.announcements().back();
        for (const auto& task : last.at("tasks")) {
            if (task.at("job") == job) {
                return task.at("state");
            }
        }
        return "";
    };
    orders({ { { "job", "short" }, { "token", 1 } } }, nlohmann::json::array());
    cluster.start("worker", standinProgram("standin_worker"),
        { flag("admin", admin.endpoint().text()), "--announce-interval-ms=20", "--run-median-ms=10",
            flag("records", cluster.path("starts")) });
    ASSERT_TRUE(waitUntil([&] { return !admin.announcements().empty() && stateOf("short") == "done"; }));
    EXPECT_EQ(readJsonLines(cluster.path("starts")).size(), 2U); // One start, one end, though ordered repeatedly.

    cluster.process("worker").kill();
    orders({ { { "job", "long" }, { "token", 5 } } }, nlohmann::json::array());
    ChildProcess& worker = cluster.start("worker", standinProgram("standin_worker"),
        { flag("admin", admin.endpoint().text()), "--announce-interval-ms=20", "--run-median-ms=600000",
            flag("records", cluster.path("starts")) });
    ASSERT_TRUE(waitUntil([&] { return stateOf("long") == "running"; }));
    orders({ { { "job", "long" }, { "token", 4 } } }, { { { "job", "long" }, { "token", 4 }, { "how", "stop" } } });
    ASSERT_TRUE(waitUntil([&] { return !worker.logLines("start-refused").empty(); }));
    EXPECT_EQ(stateOf("long"), "running");
    orders(nlohmann::json::array(), { { { "job", "long" }, { "token", 5 }, { "how", "checkpoint" } } });
    ASSERT_TRUE(waitUntil([&] { return stateOf("long") == "checkpointed" || stateOf("long").empty(); }));
    EXPECT_EQ(readJsonLines(cluster.path("starts")).back().at("state"), "checkpointed");
    admin.setAnswer(200, { { "drain", true }, { "mayStop", true } });
    EXPECT_EQ(worker.waitForExit(), 0);
}

// Guards against a platform stand-in that repeats an operation or obeys a deposed leader.
TEST_F(CommandsTest, PlatformCarriesOutOperationsOnce)
{
    std::ofstream(cluster.path("vms.json")) << R"([{"vm":"a","dataCentre":"d","rack":"r"},
        {"vm":"b","dataCentre":"d","rack":"r","cores":64}])";
    const base::Endpoint platform = startServing("platform", "standin_platform",
        { flag("vms", cluster.path("vms.json")), "--reboot-ms=50", "--never-returning=b",
            flag("records", cluster.path("calls")) });
    const auto call = [&](const std::string& path, const std::string& operation, int epoch) {
        const nlohmann::json body { { "operation", operation }, { "epoch", epoch } };
        return Cluster::request(platform, "POST", "/v1/vms/" + path, body.dump()).response->status;
    };
    const auto vm = [&](std::size_t index) { return Cluster::getJson(platform, "/v1/vms").at("vms").at(index); };
    EXPECT_EQ(vm(1).at("cores"), 64);
    EXPECT_EQ(call("a/drain", "op1", 3), 200);
    EXPECT_EQ(vm(0).at("state"), "running");
    EXPECT_EQ(call("a/reboot", "op2", 3), 200);
    EXPECT_TRUE(waitUntil([&] { return vm(0).at("boots") == 2 && vm(0).at("state") == "running"; }));
    EXPECT_EQ(call("a/reboot", "op2", 4), 200);
    EXPECT_EQ(vm(0).at("state"), "running");
    EXPECT_EQ(call("a/reboot", "op3", 3), 409);
    EXPECT_EQ(call("b/reboot", "op2", 4), 409);
    EXPECT_EQ(call("c/reboot", "op4", 4), 404);
    EXPECT_EQ(call("b/replace", "op5", 4), 200);
    EXPECT_TRUE(waitUntil([&] { return vm(1).at("state") == "off"; }));
    EXPECT_EQ(vm(0).at("boots"), 2);
    EXPECT_EQ(readJsonLines(cluster.path("calls")).size(), 7U);
}

// Guards against records that can't be compared: load straight to a backend server, then the checker on both files.
TEST_F(CommandsTest, CheckerJudgesTheRecordsOfARun)
{
    const base::Endpoint backend = startBackend({ "--slots=1000", "--connections=2000" });
    const nlohmann::json summary = runLoad(backend, smallLoad);
    EXPECT_EQ(summary.at("sent"), 200);
    EXPECT_EQ(summary.at("total").at("answers"), 200);
    EXPECT_GT(summary.at("classes").at("order").at("answers").get<int>(), 0);
    EXPECT_GE(summary.at("total").at("latencyMs").at("p99"), summary.at("total").at("latencyMs").at("p50"));
    EXPECT_EQ(countRuns("finished"), 200);

    const auto check = [&](const std::string& runFile) {
        ChildProcess& checker = cluster.start("checker", standinProgram("answer_checker"),
            { flag("answers", cluster.path("answers")), flag("runs", cluster.path(runFile)) });
        checker.waitForExit();
        return checker.waitForExit();
    };
    // A backend server states no outcome; only an entry node does. The checker must object.
    EXPECT_EQ(check("runs"), 1);
    auto answers = readJsonLines(cluster.path("answers"));
    std::ofstream file(cluster.path("answers"));
    for (auto& answer : answers) {
        answer["outcome"] = "executed";
        file << answer << "\n";
    }
    file.close();
    EXPECT_EQ(check("runs"), 0);
    std::ofstream(cluster.path("runs"), std::ios::app) << runs().front() << "\n";
    EXPECT_EQ(check("runs"), runs().front().at("method") == "POST" ? 1 : 0);
    std::ofstream(cluster.path("none")) << "";
    EXPECT_EQ(check("none"), 1);
}

// Guards against control calls without effect on the proxy process.
TEST_F(CommandsTest, ProxyIsControlledOverHttp)
{
    const base::Endpoint backend = startBackend({ "--run-median-ms=1" });
    nlohmann::json ready;
    cluster.startAndWait("proxy", standinProgram("fault_proxy"),
        { flag("target", "a=127.0.0.1:0>" + backend.text()), flag("target", "b=127.0.0.1:0>" + backend.text()) },
        ready);
    const base::Endpoint control = loopback(ready.at("control").get<std::uint16_t>());
    const base::Endpoint first = loopback(ready.at("ports").at("a").get<std::uint16_t>());
    const base::Endpoint second = loopback(ready.at("ports").at("b").get<std::uint16_t>());
    const auto status = [](const base::Endpoint& endpoint) {
        const auto result = Cluster::request(endpoint, "GET", "/standin/state");
        return result.response ? result.response->status : 0;
    };
    EXPECT_EQ(status(first), 200);
    EXPECT_EQ(Cluster::request(control, "PUT", "/proxies/a", R"({"refuse":true})").response->status, 200);
    EXPECT_EQ(status(first), 0);
    EXPECT_EQ(status(second), 200);
    EXPECT_EQ(Cluster::request(control, "PUT", "/proxies/*", R"({"truncateAfterBytes":20})").response->status, 200);
    EXPECT_EQ(status(second), 0);
    EXPECT_EQ(Cluster::request(control, "DELETE", "/proxies/*").response->status, 200);
    EXPECT_EQ(status(first), 200);
    EXPECT_EQ(Cluster::request(control, "POST", "/proxies/a/reset").response->status, 200);
    EXPECT_EQ(Cluster::request(control, "PUT", "/proxies/a", R"({"delay":1})").response->status, 400);
    EXPECT_EQ(Cluster::request(control, "PUT", "/proxies/c", "{}").response->status, 404);
    EXPECT_EQ(Cluster::getJson(control, "/proxies").at("b").at("truncated"), 1);
}

} // namespace
} // namespace crocuscove::testing
