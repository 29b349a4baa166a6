// Leaders that follow each other while orders are on their way, and workers that are only silent for a while.

#include "crocuscove/http/socket_address.h"
#include "integration/platform_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuscove::testing {
namespace {

using namespace std::chrono_literals;

const std::string lastingTask
    = R"({"spec":"0","steps":[{"count":1,"cpu":8000,"memMb":64,"estRuntimeMs":100,"longRunning":true}]})";

class PlatformHandOverTest : public PlatformTest {
protected:
    /// Puts a fault proxy before a port.
    void startProxy(const std::string& name, std::uint16_t listen, std::uint16_t target)
    {
        nlohmann::json ready;
        cluster.startAndWait("proxy", standinProgram("fault_proxy"),
            { flag("control", loopback(m_proxyControl).text()),
                flag("target", name + "=" + loopback(listen).text() + ">" + loopback(target).text()) },
            ready);
    }

    void setFaults(const std::string& name, const nlohmann::json& faults) const
    {
        const auto result = Cluster::request(loopback(m_proxyControl), "PUT", "/proxies/" + name, faults.dump());
        ASSERT_TRUE(result.response && result.response->status == 200);
    }

    [[nodiscard]] std::int64_t bytesToClient(const std::string& name) const
    {
        const auto proxies = Cluster::getJson(loopback(m_proxyControl), "/proxies");
        return proxies.is_object() ? proxies.at(name).at("bytesToClient").get<std::int64_t>() : 0;
    }

    [[nodiscard]] bool hasLogged(int number, std::string_view event)
    {
        return std::ranges::any_of(cluster.process(controlName(number)).outputLines(),
            [&](const nlohmann::json& line) { return line.value("event", "") == event; });
    }

    /// Starts the interface for VMs behind a proxy, and waits until the leader has read a list.
    void startVmsBehindProxy(const std::vector<std::string>& more = {})
    {
        const std::uint16_t visible = std::exchange(m_vmPort, cluster.freePort());
        startVms(more);
        startProxy("vms", visible, std::exchange(m_vmPort, visible));
        ASSERT_TRUE(waitUntil([&] { return bytesToClient("vms") > 0; }));
    }

    /// Asks all nodes, since the leader may have changed.
    [[nodiscard]] bool isWaveDoneAtSomeNode() const
    {
        constexpr std::array<int, 3> nodes { 1, 2, 3 };
        return std::ranges::any_of(nodes, [&](int number) {
            const auto state = Cluster::getJson(control(number), "/api/wave-get/1");
            return state.is_object() && state.value("state", "") == "done";
        });
    }

    std::uint16_t m_proxyControl = cluster.freePort();
};

// Guards against a new leader that takes a VM for maintenance while the order of the earlier leader for another one is
// still on its way, so that more are down than the wave allows.
TEST_F(PlatformHandOverTest, AWaveKeepsToItsNumberWhenTheLeaderChangesDuringAnOrder)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w2");
    submit("00000000000000bb", lastingTask);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.0") == 1; }));
    startWorker("w1");
    startVmsBehindProxy({ flag("maintenance-ms", 3'000) });
    setFaults("vms", { { "delayMs", 2'500 } });
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2"],"completeByS":20,"maxCount":1})"), 200);
    ASSERT_TRUE(waitUntil([&] { return hasLogged(first, "vm_maintenance"); }));
    // Work that only the next leader can place makes the VM of the first order the busier one.
    submit("00000000000000aa", R"({"spec":"60000","steps":[{"count":8,"cpu":1000,"memMb":64,"estRuntimeMs":100}]})");
    setFaults("vms", nlohmann::json::object());
    cluster.process(controlName(first)).kill();
    EXPECT_TRUE(waitUntil([&] { return isWaveDoneAtSomeNode(); }));
    expectMostDown(1);
}

// Guards against a VM that is taken for maintenance beyond the wave's number while another one's order, which got no
// answer, may still be carried out.
TEST_F(PlatformHandOverTest, AnOrderWithoutAnAnswerCountsAmongThoseThatAreDown)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    startWorker("w3");
    startVms({ flag("maintenance-ms", 5'000), flag("late-vm", "vm-w1"), flag("late-ms", 3'000) });
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2","vm-w3"],"completeByS":20,"maxCount":2})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDoneAtSomeNode(); }));
    expectMostDown(2);
}

// Guards against a node that leads again and forgets the order that it sent before, which may be carried out yet.
TEST_F(PlatformHandOverTest, AWaveKeepsToItsNumberWhenTheSameNodeLeadsAgain)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    const int second = first % 3 + 1;
    const int third = second % 3 + 1;
    startWorker("w1");
    submit("00000000000000aa", R"({"spec":"60000","steps":[{"count":1,"cpu":8000,"memMb":64,"estRuntimeMs":100}]})");
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000aa.0.0.0") == 1; }));
    startWorker("w2");
    startVms({ flag("maintenance-ms", 6'000), flag("late-vm", "vm-w2"), flag("late-ms", 8'000) });
    // What it doesn't store keeps this node from being elected below.
    cluster.process(controlName(third)).kill();
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2"],"completeByS":20,"maxCount":1})"), 200);
    ASSERT_TRUE(waitUntil([&] { return !readJsonLines(cluster.path("vms.records")).empty(); }));
    // Work that only the next leader can place makes the VM of the first order the busier one.
    submit("00000000000000bb", R"({"spec":"60000","steps":[{"count":2,"cpu":4000,"memMb":64,"estRuntimeMs":100}]})");
    cluster.process(controlName(first)).kill();
    cluster.process(controlName(second)).kill();
    startControl(first, false);
    startControl(third, false);
    EXPECT_TRUE(waitUntil([&] { return isWaveDoneAtSomeNode(); }));
    EXPECT_EQ(leader(), first);
    EXPECT_EQ(readJsonLines(cluster.path("vms.records")).front().at("vm"), "vm-w2");
    expectMostDown(1);
}

/// A listener whose queue of connections is full, so that callers wait until it is opened.
class BusyListener {
public:
    explicit BusyListener(const base::Endpoint& endpoint)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        const int enable = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
        const http::SocketAddress address = http::socketAddress(endpoint);
        EXPECT_EQ(::bind(m_fd, address.get(), address.size), 0);
        EXPECT_EQ(::listen(m_fd, 0), 0);
        for (int& filler : m_fillers) {
            filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(filler, address.get(), address.size));
        }
    }

    ~BusyListener()
    {
        std::ranges::for_each(m_fillers, [](int fd) { ::close(fd); });
        std::ranges::for_each(m_accepted, [](int fd) { ::close(fd); });
        ::close(m_fd);
    }

    BusyListener(const BusyListener&) = delete;
    BusyListener& operator=(const BusyListener&) = delete;

    /// Lets those in that wait; they try again a second after their first attempt.
    void open()
    {
        EXPECT_EQ(::listen(m_fd, 16), 0);
        accept();
    }

    /// Returns all bytes received so far.
    const std::string& received()
    {
        accept();
        std::array<char, 4096> block {};
        for (const int fd : m_accepted) {
            for (ssize_t count = 0; (count = ::recv(fd, block.data(), block.size(), 0)) > 0;) {
                m_received.append(block.data(), static_cast<std::size_t>(count));
            }
        }
        return m_received;
    }

private:
    void accept()
    {
        int fd = -1;
        while ((fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
            m_accepted.push_back(fd);
        }
    }

    int m_fd;
    std::array<int, 4> m_fillers {};
    std::vector<int> m_accepted;
    std::string m_received;
};

/// States of a process's connections to a port, as /proc/net/tcp gives them.
std::vector<std::string> connectionStates(int pid, std::uint16_t port)
{
    std::set<std::string> sockets;
    for (const auto& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid))) {
        std::error_code ended;
        sockets.insert(std::filesystem::read_symlink(entry.path(), ended).string());
    }
    std::vector<std::string> states;
    std::ifstream file(fmt::format("/proc/{}/net/tcp", pid));
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        std::vector<std::string> columns { std::istream_iterator<std::string>(fields), {} };
        constexpr std::size_t inodeColumn = 9;
        if (columns.size() > inodeColumn && columns[2].ends_with(fmt::format(":{:04X}", port))
            && sockets.contains("socket:[" + columns[inodeColumn] + "]")) {
            states.push_back(columns[3]);
        }
    }
    return states;
}

// Guards against an order for a VM that waited for its connection and is sent when its leader no longer leads.
TEST_F(PlatformHandOverTest, AnOrderThatWaitedForItsConnectionIsNotSentWithoutLeadership)
{
    const std::string established = "01";
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w1");
    startVmsBehindProxy();
    ChildProcess& leader = cluster.process(controlName(first));
    // Without the proxy no connection to its port is kept.
    cluster.process("proxy").kill();
    BusyListener busy(loopback(m_vmPort));
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1"],"completeByS":20,"maxCount":1})"), 200);
    ASSERT_TRUE(waitUntil([&] { return hasLogged(first, "vm_maintenance"); }));
    leader.signal(SIGSTOP);
    busy.open();
    EXPECT_TRUE(waitUntil([&] {
        const auto states = connectionStates(leader.pid(), m_vmPort);
        return !states.empty() && std::ranges::all_of(states, [&](const auto& state) { return state == established; });
    })) << "connected while the process is stopped";
    leader.signal(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return hasLogged(first, "serving_stopped"); }));
    EXPECT_EQ(busy.received().find("upkeep"), std::string::npos) << busy.received();
}

// Guards against a task that runs on a leader's stale word: one that was paused for some seconds, while the job was
// cancelled at another leader, must start nothing for it.
TEST_F(PlatformHandOverTest, ALeaderThatWasPausedStartsNothingOfCancelledJobs)
{
    constexpr std::int64_t cancelMs = 3'000;
    constexpr int jobsPerPause = 6;
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    std::map<std::string, std::int64_t> cancelledAt;
    int number = 0;
    for (const base::Milliseconds pause : { 1'000ms, 2'500ms, 4'000ms, 7'000ms }) {
        const int paused = waitForLeader();
        ASSERT_NE(paused, 0);
        const auto end = base::monotonicNow() + pause;
        std::vector<std::string> jobs;
        for (int job = 0; job < jobsPerPause; ++job) {
            jobs.push_back(fmt::format("{:016x}", ++number));
            submit(jobs.back(),
                R"({"spec":"0","steps":[{"count":8,"cpu":500,"memMb":16,"estRuntimeMs":100,"longRunning":true}]})");
        }
        cluster.process(controlName(paused)).signal(SIGSTOP);
        for (const std::string& job : jobs) {
            EXPECT_TRUE(waitUntil([&] { return call("DELETE", "/q/" + job) == 200; }));
            cancelledAt[job] = base::wallNow().time_since_epoch().count();
        }
        EXPECT_TRUE(waitUntil([&] { return base::monotonicNow() >= end; }));
        cluster.process(controlName(paused)).signal(SIGCONT);
    }
    // What the last paused leader would send is sent before a job that was accepted later is done.
    submit("00000000000000ff", R"({"spec":"100","steps":[{"count":4,"cpu":4000,"memMb":64,"estRuntimeMs":100}]})");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000ff") == "done"; }));
    for (const nlohmann::json& line : records()) {
        const std::string job = line.at("task").get<std::string>().substr(0, 16);
        if (line.at("event") == "start" && cancelledAt.contains(job)) {
            EXPECT_LE(line.at("atMs").get<std::int64_t>(), cancelledAt.at(job) + cancelMs) << line;
        }
    }
    expectNoTaskTwice();
}

// Guards against a task that is never started again, because the stop that settles its refused start got no answer.
TEST_F(PlatformHandOverTest, ARefusedStartIsSettledAlthoughItsStopGetsNoAnswer)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { flag("refused-starts", 2), flag("unanswered-stops", 3) });
    submit("00000000000000aa", R"({"spec":"100","steps":[{"count":2,"cpu":1000,"memMb":64,"estRuntimeMs":100}]})");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    expectNoTaskTwice();
}

// Guards against a worker that is given up although it was silent for less than its lease.
TEST_F(PlatformHandOverTest, AShortSilenceInterruptsNoTask)
{
    constexpr int lastingTasks = 8;
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w1");
    startWorker("w2");
    submit("00000000000000bb",
        R"({"spec":"0","steps":[{"count":8,"cpu":1000,"memMb":64,"estRuntimeMs":100,"longRunning":true}]})");
    ASSERT_TRUE(waitUntil([&] { return records().size() == std::size_t { lastingTasks }; }));
    // The shortest rest of a lease: 4 s less a renewal that waits for 1 s.
    constexpr base::Milliseconds silence { 2'000 };
    cluster.process("w1").signal(SIGSTOP);
    cluster.process("w2").signal(SIGSTOP);
    const auto until = base::monotonicNow() + silence;
    EXPECT_TRUE(waitUntil([&] { return base::monotonicNow() >= until; }));
    cluster.process("w1").signal(SIGCONT);
    cluster.process("w2").signal(SIGCONT);
    submit("00000000000000aa", R"({"spec":"100","steps":[{"count":8,"cpu":1000,"memMb":64,"estRuntimeMs":100}]})");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; })) << "both workers answer again";
    for (int task = 0; task < lastingTasks; ++task) {
        EXPECT_EQ(starts(fmt::format("00000000000000bb.0.0.{}", task)), 1U);
    }
    EXPECT_FALSE(hasLogged(first, "worker_removed"));
    EXPECT_EQ(state("00000000000000bb"), "running");
}

// Guards against a task that starts elsewhere while it runs on at a worker with a slow clock whose answers are lost,
// and against renewals that such a worker carries out after its lease was counted as ended.
TEST_F(PlatformHandOverTest, TasksOfACutOffWorkerWithASlowClockRunOnceAtATime)
{
    ASSERT_TRUE(configure());
    const std::uint16_t listen = cluster.freePort();
    const std::uint16_t visible = cluster.freePort();
    startProxy("w1", visible, listen);
    startWorker("w1",
        { flag("listen", loopback(listen).text()), flag("advertise", loopback(visible).text()),
            flag("clock-permille", 980) });
    submit("00000000000000bb", lastingTask);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.0") == 1; }));
    startWorker("w2");
    std::size_t runs = 1;
    for (const std::string cut : { "to-client", "both" }) {
        setFaults("w1", { { "cut", cut } });
        ++runs;
        EXPECT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.0") == runs; })) << cut;
        setFaults("w1", nlohmann::json::object());
        // The task comes back for the next cut.
        cluster.process("w2").signal(SIGSTOP);
        ++runs;
        EXPECT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.0") == runs; })) << cut;
        cluster.process("w2").signal(SIGCONT);
    }
    EXPECT_EQ(call("DELETE", "/q/00000000000000bb"), 200);
    submit("00000000000000aa", R"({"spec":"100","steps":[{"count":2,"cpu":8000,"memMb":64,"estRuntimeMs":100}]})");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    expectNoTaskTwice();
}

} // namespace
} // namespace crocuscove::testing
