// Workers that change, leave and come back while they run tasks, with real processes.

#include "integration/platform_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuscove::testing {
namespace {

class PlatformWorkerTest : public PlatformTest {
protected:
    static std::string job(std::int64_t runMs, int tasks)
    {
        return fmt::format(
            R"({{"spec":"{}","steps":[{{"count":{},"cpu":1000,"memMb":64,"estRuntimeMs":{},"longRunning":{}}}]}})",
            runMs, tasks, std::max<std::int64_t>(1, runMs), runMs == 0);
    }

    void setCapacity(const std::string& worker, std::int64_t cpu) const
    {
        const auto result = Cluster::request(
            loopback(m_workerPorts.at(worker)), "POST", "/standin/capacity", fmt::format(R"({{"cpu":{}}})", cpu));
        ASSERT_TRUE(result.response && result.response->status == 200);
    }

    [[nodiscard]] std::size_t events(const std::string& event) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(records(), [&](const nlohmann::json& line) { return line.at("event") == event; }));
    }

    [[nodiscard]] std::size_t running(const std::string& worker) const
    {
        const auto lines = readJsonLines(cluster.path(worker + ".records"));
        const auto count = [&](std::string_view event) {
            return std::ranges::count_if(lines, [&](const nlohmann::json& line) { return line.at("event") == event; });
        };
        return static_cast<std::size_t>(count("start") - count("end"));
    }

    [[nodiscard]] std::size_t logged(int node, std::string_view event, const std::string& worker)
    {
        const auto lines = cluster.process(controlName(node)).outputLines();
        return static_cast<std::size_t>(std::ranges::count_if(lines, [&](const nlohmann::json& line) {
            return line.value("event", "") == event && line.value("worker", "") == worker;
        }));
    }

    /// Sends a report of a worker that nothing else stands for, and returns the status of the answer.
    [[nodiscard]] int report(int node, int sequence, std::int64_t cpu, std::int64_t incarnation = 1) const
    {
        const std::string body = fmt::format(
            R"({{"service":"pool","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready",)"
            R"("coldLeftMs":0,"seq":{},"born":{},)"
            R"("clockMs":1000,"capacity":{{"cpu":{},"memMb":64,"gpu":0}},"labels":["a"]}})",
            sequence, incarnation, cpu);
        const auto result = Cluster::request(control(node), "PUT", "/api/instances/w9", body);
        return result.response ? result.response->status : 0;
    }
};

// Guards against starts that bring a worker over a capacity that has shrunk since it registered, and against a capacity
// that has grown again and isn't used.
TEST_F(PlatformWorkerTest, AShrunkWorkerGetsNoStartOverItsCapacityUntilItGrows)
{
    ASSERT_EQ(putConfiguration(waitForLeader()), 200);
    startWorker("w1", { flag("cpu", 4000), flag("task-cpu", 1000) });
    submit("00000000000000bb", job(0, 1));
    ASSERT_TRUE(waitUntil([&] { return running("w1") == 1; }));
    setCapacity("w1", 2000);
    ASSERT_TRUE(waitUntil([&] { return events("capacity-counts") == 1; }));
    submit("00000000000000aa", job(200, 6));
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    EXPECT_EQ(events("over-capacity"), 0U);
    setCapacity("w1", 4000);
    submit("00000000000000cc", job(0, 3));
    EXPECT_TRUE(waitUntil([&] { return running("w1") == 4; }));
    EXPECT_EQ(events("over-capacity"), 0U);
    expectNoTaskTwice();
}

// Guards against a start that is sent again to a worker whose capacity has shrunk since the first one got no answer.
TEST_F(PlatformWorkerTest, AnUnansweredStartOverAShrunkCapacityRunsElsewhere)
{
    ASSERT_EQ(putConfiguration(waitForLeader()), 200);
    startWorker("w1", { flag("cpu", 4000), flag("task-cpu", 1000), flag("shrinks-on-start", 500) });
    submit("00000000000000aa", job(100, 3));
    ASSERT_TRUE(waitUntil([&] { return events("capacity-counts") == 1; }));
    startWorker("w2");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    EXPECT_EQ(events("over-capacity"), 0U);
    expectNoTaskTwice();
}

// Guards against a node that doesn't lead and answers a report of another capacity as if it changed nothing, and
// against an entry of the log for each report of a capacity that goes up and down.
TEST_F(PlatformWorkerTest, ReportsOfAnotherCapacityReachTheLeaderWhichBoundsWhatItRecords)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    const int other = first % 3 + 1;
    EXPECT_EQ(report(first, 1, 4000), 200);
    EXPECT_TRUE(waitUntil([&] { return report(other, 1, 4000) == 200; }));
    EXPECT_EQ(report(other, 2, 3000), 307);
    int sequence = 2;
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(report(first, ++sequence, 3000), 200);
        EXPECT_EQ(report(first, ++sequence, 4000), 200);
    }
    EXPECT_TRUE(waitUntil([&] { return logged(first, "worker_growth_held", "w9") == 20; }));
    EXPECT_EQ(logged(first, "worker_report", "w9"), 2U)
        << "registered and shrunk; nothing shows that the growth is new";
}

// Guards against a delayed or repeated message that an earlier incarnation leaves, which removes the later one under
// the same id while its tasks run.
TEST_F(PlatformWorkerTest, AWorkerThatStillAnswersIsNotRemovedByAMessageThatItLeaves)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w1");
    ASSERT_TRUE(waitUntil([&] { return logged(first, "worker_reached", "w1") == 1; }));
    cluster.process("w1").kill();
    startWorker("w1");
    submit("00000000000000bb", job(0, 1));
    ASSERT_TRUE(waitUntil([&] { return running("w1") == 1; }));
    startWorker("w2");
    ASSERT_TRUE(waitUntil([&] { return logged(first, "worker_reached", "w2") == 1; }));
    for (int repeat = 0; repeat < 2; ++repeat) {
        const auto result = Cluster::request(control(first), "DELETE", "/api/instances/w1");
        EXPECT_EQ(result.response ? result.response->status : 0, 200);
    }
    EXPECT_TRUE(
        waitUntil([&] { return logged(first, "leave_refuted", "w1") >= 1 || starts("00000000000000bb.0.0.0") > 1; }));
    setCapacity("w2", 0);
    submit("00000000000000aa", job(50, 2));
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; })) << "the worker is used again";
    EXPECT_EQ(starts("00000000000000bb.0.0.0"), 1U);
    expectNoTaskTwice();
}

// Guards against tasks of a worker that has left which wait for the end of its lease.
TEST_F(PlatformWorkerTest, TasksOfAWorkerThatHasLeftRunElsewhereBeforeItsLeaseEnds)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w1");
    submit("00000000000000bb", job(0, 1));
    ASSERT_TRUE(waitUntil([&] { return running("w1") == 1; }));
    startWorker("w2");
    const auto result = Cluster::request(control(first), "DELETE", "/api/instances/w1");
    EXPECT_EQ(result.response ? result.response->status : 0, 200);
    cluster.process("w1").kill();
    EXPECT_TRUE(waitUntil([&] { return running("w2") == 1; }));
    EXPECT_TRUE(waitUntil([&] { return logged(first, "worker_removed", "w1") == 1; }));
    const auto lines = cluster.process(controlName(first)).outputLines();
    EXPECT_TRUE(std::ranges::any_of(lines, [](const nlohmann::json& line) {
        return line.value("event", "") == "worker_removed" && line.value("reason", "") == "left";
    }));
}

// Guards against a report that was delayed until its worker had left, and against a leader that doesn't know that it
// left.
TEST_F(PlatformWorkerTest, ADelayedReportOfAWorkerThatHasLeftChangesNothing)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    ASSERT_EQ(report(first, 1, 4000), 200);
    ASSERT_TRUE(waitUntil([&] { return report(first % 3 + 1, 1, 4000) == 200; })) << "known everywhere";
    const auto result = Cluster::request(control(first), "DELETE", "/api/instances/w9");
    ASSERT_EQ(result.response ? result.response->status : 0, 200);
    ASSERT_TRUE(waitUntil([&] { return logged(first, "worker_removed", "w9") == 1; }));
    ASSERT_TRUE(waitUntil([&] { return report(first % 3 + 1, 1, 4000) == 307; })) << "unknown everywhere";
    EXPECT_EQ(report(first, 7, 4000), 200);
    EXPECT_EQ(logged(first, "worker_report", "w9"), 1U);
    cluster.process(controlName(first)).kill();
    const int second = waitForLeader(first);
    ASSERT_NE(second, 0);
    EXPECT_TRUE(waitUntil([&] { return report(second, 8, 4000) == 200; }));
    EXPECT_TRUE(waitUntil([&] { return logged(second, "worker_report_outdated", "w9") == 1; }));
    EXPECT_EQ(logged(second, "worker_report", "w9"), 0U);
    EXPECT_EQ(report(second, 1, 4000, 2), 200);
    EXPECT_TRUE(waitUntil([&] { return logged(second, "worker_report", "w9") == 1; })) << "a later incarnation";
}

} // namespace
} // namespace crocuscove::testing
