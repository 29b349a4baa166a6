// Maintenance waves beside long-running tasks.

#include "integration/platform_fixture.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace crocuscove::testing {
namespace {

class PlatformMaintenanceTest : public PlatformTest {
protected:
    /// Returns when a VM was recorded with an event first, in Unix milliseconds, or nothing.
    [[nodiscard]] std::optional<std::int64_t> firstVmEvent(const std::string& event) const
    {
        const auto lines = readJsonLines(cluster.path("vms.records"));
        const auto line = std::ranges::find_if(lines, [&](const auto& other) { return other.at("event") == event; });
        return line == lines.end() ? std::nullopt : std::optional(line->at("atMs").get<std::int64_t>());
    }

    /// Returns the tasks of a job that ran at a time, in Unix milliseconds.
    [[nodiscard]] std::set<std::string> runningAt(const std::string& job, std::int64_t atMs) const
    {
        std::set<std::string> running;
        for (const nlohmann::json& line : records()) {
            const auto task = line.at("task").get<std::string>();
            if (!task.starts_with(job) || line.at("atMs").get<std::int64_t>() > atMs) {
                continue;
            }
            if (line.at("event") == "start") {
                running.insert(task);
            } else if (line.at("event") == "end") {
                running.erase(task);
            }
        }
        return running;
    }
};

// Guards against a VM that stays closed with a task that may not be interrupted, while another one of its step waits
// for room there.
TEST_F(PlatformMaintenanceTest, LongRunningTasksKeepTheirRoomDuringAWave)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    submit("00000000000000bb", R"({"spec":"0","steps":[{"count":2,"cpu":3000,"memMb":64,"longRunning":true}]})");
    ASSERT_TRUE(
        waitUntil([&] { return starts("00000000000000bb.0.0.0") == 1 && starts("00000000000000bb.0.0.1") == 1; }));
    startWorker("w3");
    submit("00000000000000cc", R"({"spec":"60000","steps":[{"count":1,"cpu":8000,"memMb":64,"estRuntimeMs":100}]})");
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000cc.0.0.0") == 1; }));
    startVms({ "--maintenance-ms=3000" });
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2"],"completeByS":20,"maxCount":1})"), 200);
    ASSERT_TRUE(waitUntil([&] { return firstVmEvent("up").has_value(); }));
    EXPECT_EQ(runningAt("00000000000000bb", *firstVmEvent("up")).size(), 2U);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
    expectNoTaskTwice();
}

// Guards against a second VM of a wave that is taken while the first one, whose order was confirmed, is yet listed as
// up.
TEST_F(PlatformMaintenanceTest, AVmThatIsListedAsUpAfterItsOrderWasConfirmedIsDown)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    startVms({ flag("maintenance-ms", 2'000), flag("stale-ms", 1'200) });
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2"],"completeByS":20,"maxCount":1})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
    expectMostDown(1);
}

// Guards against a second VM of a wave that is taken because a list lacks the first one during its maintenance.
TEST_F(PlatformMaintenanceTest, AVmThatAListLacksDuringItsMaintenanceIsDown)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    startVms({ flag("maintenance-ms", 2'000), flag("left-out", "vm-w1") });
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2"],"completeByS":20,"maxCount":1})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
    expectMostDown(1);
}

// Guards against a wave that waits without end for VMs that were maintained before their orders were confirmed.
TEST_F(PlatformMaintenanceTest, AWaveGoesOnAfterAnOrderThatWasCarriedOutBefore)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    startVms({ "--already-done" });
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w1","vm-w2"],"completeByS":20,"maxCount":1})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
}

} // namespace
} // namespace crocuscove::testing
