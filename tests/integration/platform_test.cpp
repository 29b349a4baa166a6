#include "crocuscove/http/socket_address.h"
#include "support/cluster.h"
#include "support/json_lines.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Control nodes, an entry node and workers of the users' platform as real processes.
namespace crocuscove::testing {
namespace {

using namespace std::chrono_literals;

const std::string configurationText
    = R"({"version":3,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","kind":"non_idempotent",)"
      R"("timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":2,"stretch":1.6}],)"
      R"("services":[{"name":"pool","admissionCheck":false,"standby":false}],"limits":{}})";

class PlatformTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_controlPort = cluster.freePort();
        m_internalPort = cluster.freePort();
        m_entryPort = cluster.freePort();
        m_readyPort = cluster.freePort();
        m_vmPort = cluster.freePort();
        for (int number = 1; number <= 3; ++number) {
            startControl(number, true);
        }
        cluster.start("entry", crocuscoveProgram,
            { "entry", flag("listen", loopback(m_entryPort).text()), flag("ready-listen", loopback(m_readyPort).text()),
                flag("internal-port", m_internalPort), flag("seeds", seeds()) });
    }

    static std::string address(int number) { return "127.0.1." + std::to_string(number); }
    [[nodiscard]] base::Endpoint control(int number) const { return { address(number), m_controlPort }; }
    static std::string controlName(int number) { return "control-" + std::to_string(number); }

    [[nodiscard]] std::string seeds() const
    {
        return control(1).text() + "," + control(2).text() + "," + control(3).text();
    }

    void startControl(int number, bool isFirstStart)
    {
        cluster.start(controlName(number), crocuscoveProgram,
            { "control", flag("name", controlName(number)), flag("listen", control(number).text()),
                flag("internal-port", m_internalPort), flag("seeds", seeds()),
                flag("first-start", isFirstStart ? "true" : "false"),
                flag("data-folder", cluster.path("data-" + std::to_string(number))),
                flag("vm-interface", loopback(m_vmPort).text()) });
    }

    /// Starts the platform's interface for VMs; one VM for each worker, named like it with "vm-" before.
    void startVms(const std::vector<std::string>& more = {})
    {
        std::string vms;
        for (const auto& [worker, port] : m_workerPorts) {
            vms += (vms.empty() ? "vm-" : ",vm-") + worker + "=" + worker + "@" + loopback(port).text();
        }
        std::vector<std::string> arguments { flag("listen", loopback(m_vmPort).text()), flag("vms", vms),
            flag("records", cluster.path("vms.records")) };
        arguments.insert(arguments.end(), more.begin(), more.end());
        nlohmann::json ready;
        cluster.startAndWait("vms", standinProgram("standin_vms"), arguments, ready);
    }

    int startWave(const std::string& body) const
    {
        const auto result = Cluster::request(control(leader()), "POST", "/api/wave-start", body);
        return result.response ? result.response->status : 0;
    }

    [[nodiscard]] bool isWaveDone(int wave) const
    {
        const auto state = Cluster::getJson(control(std::max(1, leader())), "/api/wave-get/" + std::to_string(wave));
        return state.is_object() && state.value("state", "") == "done";
    }

    void startWorker(const std::string& id, const std::vector<std::string>& more = {})
    {
        std::vector<std::string> arguments { flag("id", id), flag("controls", seeds()),
            flag("records", cluster.path(id + ".records")) };
        arguments.insert(arguments.end(), more.begin(), more.end());
        nlohmann::json ready;
        cluster.startAndWait(id, standinProgram("standin_executor"), arguments, ready);
        m_workers.push_back(id);
        m_workerPorts[id] = ready.at("port").get<std::uint16_t>();
    }

    /// Returns the number of the node that answers as the leader, or 0.
    [[nodiscard]] int leader() const
    {
        for (int number = 1; number <= 3; ++number) {
            const auto result = Cluster::request(control(number), "GET", "/api/wave-get/1");
            if (result.response && result.response->status == 404) {
                return number;
            }
        }
        return 0;
    }

    int waitForLeader(int except = 0)
    {
        EXPECT_TRUE(waitUntil([&] { return leader() != 0 && leader() != except; }));
        return leader();
    }

    int putConfiguration(int number, const std::string& text = configurationText) const
    {
        const auto result = Cluster::request(control(number), "PUT", "/api/config", text);
        return result.response ? result.response->status : 0;
    }

    int call(const std::string& method, const std::string& path, const std::string& body = "",
        const std::string& host = "h.example") const
    {
        http::Headers headers;
        headers.add("Host", host);
        const auto result = Cluster::request(loopback(m_entryPort), method, path, body, headers);
        m_body = result.response ? result.response->body : "";
        return result.response ? result.response->status : 0;
    }

    [[nodiscard]] std::string state(const std::string& job) const
    {
        return call("GET", "/q/" + job) == 200 ? nlohmann::json::parse(m_body).value("state", "") : "";
    }

    /// Submits until the job is accepted, as clients do after an answer that leaves the outcome open.
    void submit(const std::string& job, const std::string& body)
    {
        EXPECT_TRUE(waitUntil([&] { return call("POST", "/q/" + job, body) == 200; }));
    }

    [[nodiscard]] std::vector<nlohmann::json> records() const
    {
        std::vector<nlohmann::json> all;
        for (const std::string& worker : m_workers) {
            for (nlohmann::json& line : readJsonLines(cluster.path(worker + ".records"))) {
                line["worker"] = worker;
                all.push_back(std::move(line));
            }
        }
        std::ranges::stable_sort(
            all, {}, [](const nlohmann::json& line) { return line.at("atMs").get<std::int64_t>(); });
        return all;
    }

    [[nodiscard]] std::size_t starts(const std::string& task) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(records(),
            [&](const nlohmann::json& line) { return line.at("event") == "start" && line.at("task") == task; }));
    }

    /// Tells whether any task ran twice at the same time, or started after it was done.
    void expectNoTaskTwice() const
    {
        std::set<std::string> running;
        std::set<std::string> done;
        for (const nlohmann::json& line : records()) {
            const auto task = line.at("task").get<std::string>();
            if (line.at("event") == "start") {
                EXPECT_TRUE(running.insert(task).second) << task << " runs twice";
                EXPECT_FALSE(done.contains(task)) << task << " started after it was done";
            } else if (line.at("event") == "end") {
                running.erase(task);
                if (line.at("detail") == "done") {
                    done.insert(task);
                }
            }
        }
    }

    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
    std::uint16_t m_controlPort = 0;
    std::uint16_t m_internalPort = 0;
    std::uint16_t m_entryPort = 0;
    std::uint16_t m_readyPort = 0;
    std::uint16_t m_vmPort = 0;
    std::vector<std::string> m_workers;
    std::map<std::string, std::uint16_t> m_workerPorts;
    mutable std::string m_body;
};

const std::string twoSteps = R"({"spec":"100","steps":[{"count":3,"cpu":1000,"memMb":64,"estRuntimeMs":100},)"
                             R"({"count":2,"cpu":1000,"memMb":64,"estRuntimeMs":100,"after":[0]}]})";
const std::string lasting = R"({"spec":"0","steps":[{"count":2,"cpu":1000,"memMb":64,"longRunning":true}]})";

// Guards against a configuration, a report or a job that is not served, a cancelled task that runs on, and an answer
// about what does not exist.
TEST_F(PlatformTest, ACalmDayIsServed)
{
    EXPECT_TRUE(waitUntil([&] { return call("POST", "/q/00000000000000aa", twoSteps) == 503; }))
        << "no configuration yet, so it has not run";
    const int first = waitForLeader();
    ASSERT_NE(first, 0);
    EXPECT_EQ(putConfiguration(first, R"({"version":2,"routes":[{}],"services":[]})"), 400);
    ASSERT_EQ(putConfiguration(first), 200);
    EXPECT_EQ(putConfiguration(first), 200) << "sent again";
    EXPECT_EQ(putConfiguration(first % 3 + 1), 307) << "a follower sends on to the leader";
    const auto read = Cluster::request(control(first), "GET", "/api/config");
    EXPECT_EQ(read.response->body, configurationText);
    startWorker("w1");
    startWorker("w2");
    EXPECT_TRUE(waitUntil([&] {
        const auto ready = Cluster::request(loopback(m_readyPort), "GET", "/api/ready");
        return ready.response && ready.response->status == 200;
    }));
    submit("00000000000000aa", twoSteps);
    EXPECT_EQ(call("POST", "/q/00000000000000aa", twoSteps), 200) << "the same job again";
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    EXPECT_EQ(starts("00000000000000aa.0.1.1"), 1U);
    submit("00000000000000bb", lasting);
    EXPECT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    EXPECT_EQ(call("DELETE", "/q/00000000000000bb"), 200);
    EXPECT_TRUE(waitUntil([&] {
        return std::ranges::count_if(records(), [](const nlohmann::json& line) {
            return line.at("event") == "end" && line.at("detail") == "stopped";
        }) == 2;
    }));
    EXPECT_EQ(state("00000000000000bb"), "cancelled");
    EXPECT_EQ(call("GET", "/q/00000000000000cc"), 410);
    EXPECT_EQ(call("GET", "/nowhere/00000000000000cc"), 404);
    EXPECT_EQ(call("GET", "/q/", "", "other.example"), 404);
    EXPECT_EQ(call("POST", "/q/00000000000000cc", "{"), 400);
    EXPECT_EQ(call("POST", "/q/short", twoSteps), 400);
    EXPECT_EQ(call("GET", "/q/"), 200);
    EXPECT_EQ(nlohmann::json::parse(m_body).at("waiting"), 0);
    expectNoTaskTwice();
    cluster.process("entry").signal(SIGTERM);
    EXPECT_EQ(cluster.process("entry").waitForExit(), 0);
    cluster.process(controlName(first)).signal(SIGTERM);
    EXPECT_EQ(cluster.process(controlName(first)).waitForExit(), 0);
}

// Guards against jobs that are lost, and tasks that run twice, when the leader is killed while they run.
TEST_F(PlatformTest, JobsGoOnWhenTheLeaderIsKilled)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w1");
    startWorker("w2");
    submit("00000000000000bb", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    for (int job = 1; job <= 5; ++job) {
        submit("000000000000000" + std::to_string(job), twoSteps);
    }
    cluster.process(controlName(first)).kill();
    const int second = waitForLeader(first);
    ASSERT_NE(second, 0);
    for (int job = 1; job <= 5; ++job) {
        EXPECT_TRUE(waitUntil([&] { return state("000000000000000" + std::to_string(job)) == "done"; }));
    }
    submit("00000000000000cc", twoSteps);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000cc") == "done"; }));
    EXPECT_EQ(state("00000000000000bb"), "running");
    expectNoTaskTwice();
}

// Guards against a node that lost its disk and votes on what it forgot, or is never counted on again.
TEST_F(PlatformTest, ANodeThatLostItsDiskIsReplacedAndCounts)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    const int emptied = first % 3 + 1;
    cluster.process(controlName(emptied)).kill();
    std::filesystem::remove_all(cluster.path("data-" + std::to_string(emptied)));
    startControl(emptied, false);
    EXPECT_TRUE(waitUntil([&] {
        const auto changes = cluster.process(controlName(first)).outputLines();
        return std::ranges::any_of(changes, [](const nlohmann::json& line) {
            return line.value("event", "") == "membership_change" && line.value("reason", "") == "disk-lost";
        }) && std::ranges::count_if(changes, [](const nlohmann::json& line) {
            return line.value("event", "") == "membership_change" && line.value("reason", "") == "voter-wanted";
        }) >= 3;
    }));
    cluster.process(controlName(emptied % 3 + 1 == first ? first % 3 + 2 : emptied % 3 + 1)).kill();
    const int second = waitForLeader();
    ASSERT_NE(second, 0);
    std::string newer = configurationText;
    newer.replace(newer.find("\"version\":3"), 11, "\"version\":4");
    EXPECT_TRUE(waitUntil([&] { return putConfiguration(leader() == 0 ? second : leader(), newer) == 200; }));
}

// Guards against a task that starts elsewhere although a start without an answer was carried out.
TEST_F(PlatformTest, AStartWithoutAnAnswerIsSettledOnTheSameWorker)
{
    ASSERT_EQ(putConfiguration(waitForLeader()), 200);
    startWorker("w1", { flag("unanswered-starts", 3) });
    startWorker("w2", { flag("unanswered-starts", 3) });
    submit("00000000000000aa", twoSteps);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    expectNoTaskTwice();
}

// Guards against tasks of a silent worker that never run again, or run elsewhere before its lease has ended.
TEST_F(PlatformTest, TasksOfASilentWorkerRunElsewhereAfterItsLease)
{
    ASSERT_EQ(putConfiguration(waitForLeader()), 200);
    startWorker("w1");
    submit("00000000000000bb", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    startWorker("w2");
    cluster.process("w1").signal(SIGSTOP);
    EXPECT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 2; }));
    const auto all = records();
    const auto startTimes = [&](const std::string& worker) {
        return std::ranges::find_if(
            all, [&](const nlohmann::json& line) { return line.at("event") == "start" && line.at("worker") == worker; })
            ->at("atMs")
            .get<std::int64_t>();
    };
    EXPECT_GT(startTimes("w2") - startTimes("w1"), 4'000) << "the lease";
    cluster.process("w1").signal(SIGCONT);
}

// Guards against a task that starts elsewhere while it runs on, because an order of maintenance was confirmed that had
// been carried out under an earlier worker of the VM.
TEST_F(PlatformTest, AnOrderCarriedOutBeforeEndsNoTask)
{
    ASSERT_EQ(putConfiguration(waitForLeader()), 200);
    startWorker("w1");
    startVms({ "--already-done" });
    submit("00000000000000aa", R"({"spec":"8000","steps":[{"count":2,"cpu":1000,"memMb":64,"estRuntimeMs":100}]})");
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000aa.0.0.1") == 1; }));
    startWorker("w2");
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1"],"completeByS":20,"maxCount":1})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    EXPECT_EQ(starts("00000000000000aa.0.0.1"), 1U);
    expectNoTaskTwice();
}

// Guards against more VMs under maintenance than the wave allows, a wave that is done before its VMs have begun, and a
// task that never runs again after its VM was taken.
TEST_F(PlatformTest, AWaveKeepsToItsNumberAndItsTasksRunAgain)
{
    ASSERT_EQ(putConfiguration(waitForLeader()), 200);
    startWorker("w1");
    startWorker("w2");
    startWorker("w3");
    startVms();
    submit("00000000000000aa", R"({"spec":"4000","steps":[{"count":6,"cpu":2000,"memMb":64,"estRuntimeMs":100}]})");
    submit("00000000000000bb", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2","vm-w3"],"completeByS":20,"maxCount":1})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
    std::size_t down = 0;
    std::size_t orders = 0;
    for (const nlohmann::json& line : readJsonLines(cluster.path("vms.records"))) {
        down += line.at("event") == "down" ? 1 : -1;
        orders += line.at("event") == "down" ? 1 : 0;
        EXPECT_LE(down, 1U);
    }
    EXPECT_EQ(orders, 3U);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    EXPECT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") >= 2; }));
    expectNoTaskTwice();
}

/// Sends bytes to a port and returns whether the other side then closes the connection.
bool isClosedAfter(const base::Endpoint& endpoint, const std::string& bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval patience { 10, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    const http::SocketAddress address = http::socketAddress(endpoint);
    bool isClosed = false;
    if (::connect(socket, address.get(), address.size) == 0) {
        EXPECT_EQ(::send(socket, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
        char byte = 0;
        isClosed = ::recv(socket, &byte, 1, 0) <= 0;
    }
    ::close(socket);
    return isClosed;
}

// Guards against a control node that ends because of a frame that it can't read.
TEST_F(PlatformTest, AMalformedFrameClosesTheConnectionOnly)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    using namespace std::string_literals;
    EXPECT_TRUE(isClosedAfter({ address(first), m_internalPort }, "\0\0\0\3abc"s));
    EXPECT_TRUE(isClosedAfter({ address(first), m_internalPort }, "\xff\xff\xff\xff"s)) << "a frame of 4 GB";
    EXPECT_EQ(putConfiguration(first), 200);
    EXPECT_EQ(leader(), first);
}

} // namespace
} // namespace crocuscove::testing
