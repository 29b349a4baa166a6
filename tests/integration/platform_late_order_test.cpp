#include "integration/platform_fixture.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace crocuscove::testing {
namespace {

using namespace std::chrono_literals;

const std::string job = "00000000000000aa";
const std::string task = job + ".0.0.0";
const std::string oneTask = R"({"spec":"8000","steps":[{"count":1,"cpu":1000,"memMb":64,"estRuntimeMs":8000}]})";

/// The first start that reaches a worker is held up; the worker crashes, is back under its id, and carries it out then.
class PlatformLateOrderTest : public PlatformTest {
protected:
    void startLateWorker(const std::vector<std::string>& more = {})
    {
        std::vector<std::string> flags { flag("late-orders-for-ms", 400), flag("late-order-delay-ms", 3'500),
            flag("crash-after-late-order-ms", 500) };
        flags.insert(flags.end(), more.begin(), more.end());
        startWorker("w1", flags);
    }

    /// Tells whether the worker whose start is held up has recorded an event of the task.
    [[nodiscard]] bool has(const std::string& event) const
    {
        return std::ranges::any_of(records(), [&](const nlohmann::json& line) {
            return line.at("event") == event && line.at("task") == task && line.at("worker") == "w1";
        });
    }

    /// Submits a task whose start reaches the later life of the worker.
    void expectNoSecondRun(const std::function<void()>& afterStart = [] {})
    {
        // The deadline of the start lies ahead also by the clock of the later life.
        std::this_thread::sleep_for(3s);
        submit(job, oneTask);
        ASSERT_TRUE(waitUntil([&] { return has("deferred"); }));
        startWorker("w2");
        afterStart();
        EXPECT_TRUE(waitUntil([&] { return has("refused") || has("start"); }));
        EXPECT_TRUE(waitUntil([&] { return state(job) == "done"; }));
        expectNoTaskTwice();
    }
};

// Guards against two runs of a task when a start that got no answer reaches a later life of its worker's id.
TEST_F(PlatformLateOrderTest, AStartThatReachesALaterLifeOfItsWorkerRunsNoTaskTwice)
{
    ASSERT_TRUE(configure());
    startLateWorker();
    expectNoSecondRun();
}

// Guards against the same when the later life answers the leader before it has reported.
TEST_F(PlatformLateOrderTest, AStartThatReachesALaterLifeBeforeItsReportRunsNoTaskTwice)
{
    ASSERT_TRUE(configure());
    startLateWorker({ flag("report-interval-ms", 3'000) });
    expectNoSecondRun();
}

// Guards against the same when the leader doesn't know that the one before it has sent the start.
TEST_F(PlatformLateOrderTest, AStartOfAnEarlierLeaderThatReachesALaterLifeRunsNoTaskTwice)
{
    ASSERT_TRUE(configure());
    startLateWorker();
    expectNoSecondRun([this] {
        const int before = leader();
        cluster.process(controlName(before)).kill();
        ASSERT_NE(waitForLeader(before), 0);
    });
}

// Guards against two runs of a task when a later life accepts its start before the leader knows of that life.
TEST_F(PlatformLateOrderTest, AStartThatALaterLifeAcceptsBeforeItsReportRunsNoTaskTwice)
{
    ASSERT_TRUE(configure());
    for (const std::string worker : { "w1", "w2" }) {
        startWorker(worker, { flag("restarts-at-start", 1) });
    }
    submit(job, oneTask);
    EXPECT_TRUE(waitUntil([&] { return starts(task) >= 2; })) << "the earlier life's run is gone";
    EXPECT_TRUE(waitUntil([&] { return state(job) == "done"; }));
    expectNoTaskTwice();
}

} // namespace
} // namespace crocuscove::testing
