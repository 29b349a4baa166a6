#include "crocuscove/http/socket_address.h"
#include "crocuscove/jobs/crash.h"
#include "integration/platform_fixture.h"

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
#include <thread>
#include <utility>
#include <vector>

namespace crocuscove::testing {
namespace {

using namespace std::chrono_literals;

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
    EXPECT_EQ(read.response->body, platformConfiguration);
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
    std::string newer = platformConfiguration;
    newer.replace(newer.find("\"version\":3"), 11, "\"version\":4");
    EXPECT_TRUE(waitUntil([&] { return putConfiguration(leader() == 0 ? second : leader(), newer) == 200; }));
}

// Guards against a task that starts elsewhere although a start without an answer was carried out.
TEST_F(PlatformTest, AStartWithoutAnAnswerIsSettledOnTheSameWorker)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { flag("unanswered-starts", 3) });
    startWorker("w2", { flag("unanswered-starts", 3) });
    submit("00000000000000aa", twoSteps);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    expectNoTaskTwice();
}

// Guards against tasks of a silent worker that never run again, or run elsewhere before its lease has ended.
TEST_F(PlatformTest, TasksOfASilentWorkerRunElsewhereAfterItsLease)
{
    ASSERT_TRUE(configure());
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

const std::string deadly = R"({"spec":"300 deadly=.0.0.1","steps":[{"count":2,"cpu":1000,"memMb":64}]})";
/// Starts that a task may still have after it has crashed three workers (RULES, BUDGET; issue 27).
constexpr std::size_t maxStartsAfterThreeCrashes = 2;

// Guards against a task that crashes one worker after the other without end, and against jobs that are given up because
// they ran beside it.
TEST_F(PlatformTest, ATaskThatCrashesItsWorkersIsGivenUp)
{
    ASSERT_TRUE(configure());
    for (const char* worker : { "w1", "w2", "w3" }) {
        startWorker(worker);
    }
    submit("00000000000000bb", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    submit("00000000000000dd", deadly);
    const std::vector<std::string> beside { "0000000000000001", "0000000000000002", "0000000000000003" };
    std::ranges::for_each(beside, [this](const std::string& job) { submit(job, twoSteps); });
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }));
    std::ranges::for_each(beside, [this](const std::string& job) {
        EXPECT_TRUE(waitUntil([&] { return state(job) == "done"; })) << job << " is " << state(job);
    });
    EXPECT_EQ(state("00000000000000bb"), "running");
    EXPECT_LE(startsAfterCrashes("00000000000000dd.0.0.1", 3), maxStartsAfterThreeCrashes);
    expectNoTaskTwice();
}

// Guards against a task without a bound because it crashes its workers long after its start, and against a job that is
// given up because it ran beside it.
TEST_F(PlatformTest, ATaskThatCrashesItsWorkersLateIsGivenUp)
{
    ASSERT_TRUE(configure());
    for (const char* worker : { "w1", "w2", "w3" }) {
        startWorker(worker, { flag("crash-delay-ms", 2'500) });
    }
    submit("00000000000000bb", lasting);
    submit("0000000000000001", R"({"spec":"6000","steps":[{"count":2,"cpu":1000,"memMb":64}]})");
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    submit("00000000000000dd", deadly);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }));
    EXPECT_LE(startsAfterCrashes("00000000000000dd.0.0.1", 3), maxStartsAfterThreeCrashes);
    EXPECT_TRUE(waitUntil([&] { return state("0000000000000001") == "done"; })) << state("0000000000000001");
    EXPECT_EQ(state("00000000000000bb"), "running");
    expectNoTaskTwice();
}

// Guards against a task that goes on from worker to worker while those that it has crashed are still away (review case
// 3, with workers that come back late).
TEST_F(PlatformTest, ATaskThatCrashesItsWorkersWaitsUntilTheyAreBack)
{
    ASSERT_TRUE(configure());
    for (int number = 1; number <= 6; ++number) {
        startWorker("w" + std::to_string(number), { flag("crash-delay-ms", 2'500), flag("crash-ms", 12'000) });
    }
    submit("00000000000000dd", R"({"spec":"4000 deadly=.0.0.0","steps":[{"count":1,"cpu":1000,"memMb":64}]})");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }, 90s));
    EXPECT_LE(startsAfterCrashes("00000000000000dd.0.0.0", 3), maxStartsAfterThreeCrashes);
    expectNoTaskTwice();
}

// Guards against tasks without a bound because they crash all workers of their rack in step, which is taken for a crash
// of the rack.
TEST_F(PlatformTest, TasksThatCrashTheirRackInStepAreGivenUp)
{
    ASSERT_TRUE(configure());
    for (const char* worker : { "w1", "w2", "w3" }) {
        startWorker(worker, { flag("crash-delay-ms", 1'500), flag("crash-ms", 2'000) });
    }
    submit(
        "00000000000000dd", R"({"spec":"4000 deadly=","steps":[{"count":3,"cpu":1000,"memMb":64,"maxPerServer":1}]})");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }, 90s));
    for (const char* task : { "00000000000000dd.0.0.0", "00000000000000dd.0.0.1", "00000000000000dd.0.0.2" }) {
        EXPECT_LE(startsAfterCrashes(task, 3), maxStartsAfterThreeCrashes) << task;
    }
    expectNoTaskTwice();
}

// Guards against tasks without a bound because those of several jobs crash most workers of the service in step, which
// is taken for a common cause.
TEST_F(PlatformTest, TasksOfSeveralJobsThatCrashTheirWorkersInStepAreGivenUp)
{
    ASSERT_TRUE(configure());
    const std::vector<int> numbers { 1, 2, 3, 4, 5, 6, 7 };
    for (const int number : numbers) {
        startWorker(fmt::format("w{}", number),
            { flag("rack", fmt::format("r{}", number)), flag("cpu", 1000), flag("crash-delay-ms", 1'500),
                flag("crash-ms", 1'500) });
    }
    const auto job = [](int number) { return fmt::format("00000000000000d{}", number); };
    for (const int number : numbers) {
        submit(job(number), R"({"spec":"4000 deadly=","steps":[{"count":1,"cpu":1000,"memMb":64}]})");
    }
    for (const int number : numbers) {
        EXPECT_TRUE(waitUntil([&] { return state(job(number)) == "failed"; }, 120s)) << number;
        EXPECT_LE(startsAfterCrashes(job(number) + ".0.0.0", 3), maxStartsAfterThreeCrashes) << number;
    }
    expectNoTaskTwice();
}

// Guards against crashes that are not counted because each worker comes back under another id, at its address.
TEST_F(PlatformTest, ATaskIsGivenUpAlsoWhenCrashedWorkersComeBackUnderOtherIds)
{
    ASSERT_TRUE(configure());
    for (const char* worker : { "w1", "w2", "w3" }) {
        startWorker(worker, { "--renames-after-crash" });
    }
    submit("00000000000000dd", deadly);
    submit("0000000000000001", twoSteps);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }));
    EXPECT_TRUE(waitUntil([&] { return state("0000000000000001") == "done"; }));
    EXPECT_LE(startsAfterCrashes("00000000000000dd.0.0.1", 3), maxStartsAfterThreeCrashes);
    expectNoTaskTwice();
}

// Guards against crashes that are not counted because the lease of the worker has ended before it comes back.
TEST_F(PlatformTest, ATaskIsGivenUpAlsoWhenCrashedWorkersComeBackAfterTheirLease)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { flag("crash-ms", 7'000) });
    startWorker("w2", { flag("crash-ms", 7'000), "--renames-after-crash" });
    startWorker("w3", { flag("crash-ms", 7'000) });
    submit("00000000000000dd", deadly);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }));
    EXPECT_LE(startsAfterCrashes("00000000000000dd.0.0.1", 3), maxStartsAfterThreeCrashes);
    expectNoTaskTwice();
}

/// A rack that crashes is away for this long.
constexpr auto rackAway = 1'500ms;

// Guards against a task that is given up because the racks that it ran on crashed as a whole, one after the other.
TEST_F(PlatformTest, ARackThatCrashesAsAWholeBlamesNoTask)
{
    ASSERT_TRUE(configure());
    const std::map<std::string, std::vector<std::string>> racks { { "r1", { "w1", "w2" } }, { "r2", { "w3", "w4" } } };
    const auto startRack = [&](const std::string& rack) {
        std::ranges::for_each(
            racks.at(rack), [&](const std::string& worker) { startWorker(worker, { flag("rack", rack) }); });
    };
    startRack("r1");
    startRack("r2");
    submit("00000000000000ee",
        R"({"spec":"10","steps":[{"count":4,"cpu":1000,"memMb":64,"maxPerServer":1,"estRuntimeMs":10}]})");
    ASSERT_TRUE(waitUntil([&] { return state("00000000000000ee") == "done"; })) << "all workers are known";
    const std::string task = "00000000000000aa.0.0.0";
    submit("00000000000000aa", R"({"spec":"2000","steps":[{"count":1,"cpu":1000,"memMb":64}]})");
    for (std::size_t crashes = 1; crashes <= jobs::maxCrashes + 1; ++crashes) {
        ASSERT_TRUE(waitUntil([&] { return starts(task) == crashes; })) << "crash " << crashes;
        const auto lines = records();
        const auto start = std::ranges::find_if(lines.rbegin(), lines.rend(),
            [&](const nlohmann::json& line) { return line.at("event") == "start" && line.at("task") == task; });
        const std::string rack = start->at("worker") <= "w2" ? "r1" : "r2";
        std::ranges::for_each(racks.at(rack), [&](const std::string& other) { cluster.process(other).kill(); });
        std::this_thread::sleep_for(rackAway);
        startRack(rack);
    }
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; })) << state("00000000000000aa");
}

// Guards against crashes that are forgotten when the leader is killed between them, and when all control nodes start
// anew.
TEST_F(PlatformTest, CrashesOfATaskAreCountedAcrossLeadersAndRestarts)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    for (const char* worker : { "w1", "w2", "w3" }) {
        startWorker(worker);
    }
    submit("00000000000000bb", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    submit("00000000000000dd", deadly);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000dd.0.0.1") >= 1; }));
    cluster.process(controlName(first)).kill();
    startControl(first, false);
    ASSERT_TRUE(
        waitUntil([&] { return starts("00000000000000dd.0.0.1") >= 2 || state("00000000000000dd") == "failed"; }));
    for (int number = 1; number <= 3; ++number) {
        cluster.process(controlName(number)).kill();
    }
    for (int number = 1; number <= 3; ++number) {
        startControl(number, false);
    }
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000dd") == "failed"; }));
    EXPECT_LE(startsAfterCrashes("00000000000000dd.0.0.1", 3), maxStartsAfterThreeCrashes);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000bb") == "running"; }));
    expectNoTaskTwice();
}

// Guards against a task that starts elsewhere while it runs on, because an order of maintenance was confirmed that had
// been carried out under an earlier worker of the VM.
TEST_F(PlatformTest, AnOrderCarriedOutBeforeEndsNoTask)
{
    ASSERT_TRUE(configure());
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
    ASSERT_TRUE(configure());
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

// Guards against a start that is sent again to a worker that has said that it drains since its first start got no
// answer.
TEST_F(PlatformTest, AnUnansweredStartIsNotRepeatedToADrainingWorker)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { "--drains-on-start" });
    submit("00000000000000aa", twoSteps);
    EXPECT_TRUE(waitUntil([&] {
        return std::ranges::any_of(
            records(), [](const nlohmann::json& line) { return line.at("event") == "draining-noted"; });
    }));
    startWorker("w2");
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    const auto lines = readJsonLines(cluster.path("w1.records"));
    const auto noted
        = std::ranges::find_if(lines, [](const auto& line) { return line.at("event") == "draining-noted"; });
    EXPECT_TRUE(std::none_of(noted, lines.end(), [](const auto& line) { return line.at("event") == "start"; }));
    expectNoTaskTwice();
}

// Guards against a start that is carried out for a cancelled job seconds after its cancelling was acknowledged.
TEST_F(PlatformTest, AStartThatIsCarriedOutLateStartsNoCancelledTask)
{
    constexpr std::int64_t cancelBoundMs = 3'000;
    ASSERT_TRUE(configure());
    startWorker("w1", { flag("late-orders-for-ms", 6'000), flag("late-order-delay-ms", cancelBoundMs + 500) });
    submit("00000000000000aa", lasting);
    const auto has = [&](const std::string& event) {
        return std::ranges::any_of(
            records(), [&](const nlohmann::json& line) { return line.at("event") == event && line.at("run") == 1; });
    };
    ASSERT_TRUE(waitUntil([&] { return has("deferred"); }));
    ASSERT_EQ(call("DELETE", "/q/00000000000000aa"), 200);
    const std::int64_t cancelledAtMs = base::wallNow().time_since_epoch().count();
    ASSERT_TRUE(waitUntil([&] { return has("start") || has("refused"); }));
    EXPECT_TRUE(std::ranges::none_of(records(), [&](const nlohmann::json& line) {
        return line.at("event") == "start" && line.at("atMs").get<std::int64_t>() > cancelledAtMs + cancelBoundMs;
    }));
}

// Guards against jobs that are not said to wait while their starts get no answer and are carried out late.
TEST_F(PlatformTest, AJobWaitsUntilItsStartIsConfirmed)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { flag("late-orders-for-ms", 2'000), flag("late-order-delay-ms", 60'000) });
    submit("00000000000000aa", twoSteps);
    ASSERT_TRUE(waitUntil([&] {
        return std::ranges::any_of(
            records(), [](const nlohmann::json& line) { return line.at("event") == "deferred"; });
    }));
    const auto waiting
        = [&] { return call("GET", "/q/") == 200 ? nlohmann::json::parse(m_body).value("waiting", -1) : -1; };
    EXPECT_EQ(waiting(), 1);
    EXPECT_EQ(starts("00000000000000aa.0.0.0"), 0U) << "it waited while it was counted";
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000aa") == "done"; }));
    EXPECT_EQ(waiting(), 0);
}

// Guards against jobs that are not said to wait after their only worker has refused their starts.
TEST_F(PlatformTest, AJobWaitsAfterItsStartWasRefused)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { flag("refused-starts", 1'000) });
    submit("00000000000000aa", twoSteps);
    ASSERT_TRUE(waitUntil([&] {
        return std::ranges::any_of(
            records(), [](const nlohmann::json& line) { return line.at("detail") == "unhealthy"; });
    }));
    for (int reading = 0; reading < 10; ++reading) {
        ASSERT_EQ(call("GET", "/q/"), 200);
        EXPECT_EQ(nlohmann::json::parse(m_body).at("waiting"), 1);
    }
}

// Guards against a job that can't be cancelled any more, and runs on, after its queue was removed.
TEST_F(PlatformTest, AJobOfARemovedQueueCanBeCancelled)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    startWorker("w1");
    submit("00000000000000aa", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000aa.0.0.1") == 1; }));
    ASSERT_EQ(putConfiguration(first, R"({"version":4,"routes":[],"services":[{"name":"pool"}],"limits":{}})"), 200);
    EXPECT_EQ(call("GET", "/q/00000000000000aa"), 404);
    EXPECT_EQ(call("DELETE", "/q/00000000000000bb"), 404) << "no such job";
    EXPECT_EQ(call("DELETE", "/q/00000000000000aa"), 410);
    EXPECT_TRUE(waitUntil([&] {
        return std::ranges::count_if(records(), [](const nlohmann::json& line) {
            return line.at("event") == "end" && line.at("detail") == "stopped";
        }) == 2;
    }));
}

// Guards against a job that is said not to exist, or can't be cancelled any more, after its queue was removed or moved
// while another queue has a shorter prefix of its path, and the control nodes have started anew.
TEST_F(PlatformTest, JobsWithoutQueueAreCancelledAfterARestart)
{
    const auto withRoutes = [](int version, const std::vector<std::pair<std::string, std::string>>& prefixes) {
        nlohmann::json result = nlohmann::json::parse(platformConfiguration);
        const nlohmann::json route = result.at("routes").at(0);
        for (const auto& [name, prefix] : prefixes) {
            result["routes"].push_back(route);
            result["routes"].back()["name"] = name;
            result["routes"].back()["pathPrefix"] = prefix;
        }
        result["version"] = version;
        return result.dump();
    };
    const std::vector<std::string> jobs { "removed/00000000000000aa", "moved/00000000000000bb" };
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first, withRoutes(4, { { "removed", "/q/removed/" }, { "moved", "/q/moved/" } })), 200);
    startWorker("w1");
    for (const std::string& job : jobs) {
        submit(job, lasting);
    }
    ASSERT_TRUE(
        waitUntil([&] { return starts("00000000000000aa.0.0.1") == 1 && starts("00000000000000bb.0.0.1") == 1; }));
    ASSERT_EQ(putConfiguration(first, withRoutes(5, { { "moved", "/elsewhere/" } })), 200);
    for (int number = 1; number <= 3; ++number) {
        cluster.process(controlName(number)).kill();
    }
    for (int number = 1; number <= 3; ++number) {
        startControl(number, false);
    }
    std::set<int> answers;
    for (const std::string& job : jobs) {
        EXPECT_TRUE(waitUntil([&] { return *answers.insert(call("GET", "/q/" + job)).first == 404; }));
    }
    EXPECT_FALSE(answers.contains(410));
    EXPECT_EQ(call("GET", "/elsewhere/00000000000000bb"), 200);
    for (const std::string& job : jobs) {
        EXPECT_TRUE(waitUntil([&] { return call("DELETE", "/q/" + job) == 410; }));
    }
    EXPECT_TRUE(waitUntil([&] {
        return std::ranges::count_if(records(), [](const nlohmann::json& line) {
            return line.at("event") == "end" && line.at("detail") == "stopped";
        }) == 4;
    }));
}

// Guards against a job that runs although its cancelling, which arrived before it, was acknowledged.
TEST_F(PlatformTest, AJobThatArrivesAfterItsCancellingDoesNotRun)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    submit("00000000000000aa", twoSteps);
    EXPECT_EQ(call("DELETE", "/q/00000000000000bb"), 410);
    submit("00000000000000bb", twoSteps);
    submit("00000000000000cc", twoSteps);
    EXPECT_TRUE(waitUntil([&] { return state("00000000000000cc") == "done"; }));
    EXPECT_EQ(state("00000000000000bb"), "cancelled");
    EXPECT_EQ(starts("00000000000000bb.0.0.0"), 0U);
}

// Guards against a wave that counts a VM as maintained because a list of VMs left it out once.
TEST_F(PlatformTest, AVmThatAListLeavesOutIsStillMaintained)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    startWorker("w2");
    startVms({ flag("left-out", "vm-w2") });
    const std::string wave = R"({"wave":1,"machines":["vm-w1","vm-w2","vm-none"],"completeByS":20,"maxCount":1})";
    ASSERT_EQ(startWave(wave), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); })) << "there is no vm-none, which must not hold the wave up";
    const auto lines = readJsonLines(cluster.path("vms.records"));
    EXPECT_EQ(std::ranges::count_if(lines, [](const nlohmann::json& line) { return line.at("event") == "down"; }), 2);
}

// Guards against reports that all cost the leader, and against a report that changes something and stays with a node
// that doesn't lead.
TEST_F(PlatformTest, NodesThatDoNotLeadAnswerReportsThatChangeNothing)
{
    const int first = waitForLeader();
    ASSERT_EQ(putConfiguration(first), 200);
    const int other = first % 3 + 1;
    const auto report = [&](int node, const std::string& state, int sequence) {
        const std::string body = fmt::format(
            R"({{"service":"pool","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"{}",)"
            R"("coldLeftMs":0,"seq":{},"born":1,"clockMs":1000,)"
            R"("capacity":{{"cpu":1000,"memMb":64,"gpu":0}},"labels":["a"]}})",
            state, sequence);
        const auto result = Cluster::request(control(node), "PUT", "/api/instances/w9", body);
        return result.response ? result.response->status : 0;
    };
    EXPECT_EQ(report(other, "ready", 1), 307) << "unknown";
    EXPECT_EQ(report(first, "ready", 1), 200);
    EXPECT_TRUE(waitUntil([&] { return report(other, "ready", 2) == 200; }));
    EXPECT_EQ(report(other, "draining", 3), 307);
    EXPECT_EQ(report(first, "draining", 3), 200);
    EXPECT_TRUE(waitUntil([&] { return report(other, "draining", 4) == 200; }));
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
