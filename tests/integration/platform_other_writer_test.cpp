// Reports of another writer that name the address or the id of a worker at work, with real processes.

#include "integration/platform_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace crocuscove::testing {
namespace {

using namespace std::chrono_literals;

const std::string job = "00000000000000aa";
const std::string task = job + ".0.0.0";

class PlatformOtherWriterTest : public PlatformTest {
protected:
    /// A task that goes on until its job is cancelled runs on w1, and w2 has room for it.
    void startTask()
    {
        ASSERT_TRUE(configure());
        startWorker("w1");
        submit(job, R"({"spec":"60000","steps":[{"count":1,"cpu":1000,"memMb":64,"estRuntimeMs":60000}]})");
        ASSERT_TRUE(waitUntil([&] { return starts(task) == 1; }));
        startWorker("w2");
        ASSERT_TRUE(waitUntil([&] { return gauge(leader(), "workers") == 2.0; }));
    }

    /// Sends a whole report of a worker at the address of another one, and returns the status of the answer.
    [[nodiscard]] int report(const std::string& id, const std::string& addressOf, std::int64_t incarnation) const
    {
        const nlohmann::json body { { "service", "pool" }, { "address", loopback(m_workerPorts.at(addressOf)).text() },
            { "zone", "z" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "capacity", { { "cpu", 8000 }, { "memMb", 8192 }, { "gpu", 0 } } }, { "labels", { "a", "r1" } },
            { "clockMs", 5 }, { "seq", 1'000 }, { "born", incarnation } };
        return send(id, body);
    }

    [[nodiscard]] int send(const std::string& id, const nlohmann::json& body) const
    {
        const auto result = Cluster::request(control(leader()), "PUT", "/api/instances/" + id, body.dump());
        return result.response ? result.response->status : 0;
    }

    static std::int64_t nowMs() { return base::wallNow().time_since_epoch().count(); }

    /// Checks that the task goes on where it is, for longer than a lease lasts.
    void expectTaskGoesOn()
    {
        std::this_thread::sleep_for(6s);
        EXPECT_EQ(starts(task), 1U);
        EXPECT_EQ(state(job), "running");
        const auto all = records();
        EXPECT_TRUE(std::ranges::none_of(all, [](const nlohmann::json& line) { return line.at("event") == "end"; }));
    }
};

// Guards against a report of another writer, with fields missing, that frees the tasks of the worker at its address
// (review case 6).
TEST_F(PlatformOtherWriterTest, AReportThatLacksFieldsAtTheAddressOfAWorkerFreesNothing)
{
    startTask();
    const nlohmann::json body { { "service", "pool" }, { "address", loopback(m_workerPorts.at("w1")).text() },
        { "state", "ready" }, { "capacity", { { "cpu", 16'000 }, { "memMb", 262'144 } } }, { "seq", 1 },
        { "born", nowMs() } };
    EXPECT_EQ(send("agent-2", body), 400);
    EXPECT_EQ(send("w1", body), 400);
    expectTaskGoesOn();
}

// Guards against the tasks of a worker that run twice because a report that can't be told from a true one names its
// address.
TEST_F(PlatformOtherWriterTest, AWorkerThatAnswersKeepsItsAddress)
{
    startTask();
    EXPECT_EQ(report("agent-2", "w1", nowMs()), 400);
    EXPECT_EQ(report("w2", "w1", nowMs() + 1), 400);
    expectTaskGoesOn();
}

// Guards against the tasks of a worker that run twice because a delayed report names a later start of its id.
TEST_F(PlatformOtherWriterTest, AnIncarnationThatAnswersIsNotReplaced)
{
    startTask();
    EXPECT_EQ(report("w1", "w1", nowMs()), 400);
    expectTaskGoesOn();
}

// Guards against tasks that start elsewhere at the word of a report while the worker at its address is only silent.
TEST_F(PlatformOtherWriterTest, ASilentWorkerKeepsItsTasksUntilItsLeaseHasEnded)
{
    startTask();
    const std::int64_t silentAtMs = nowMs();
    cluster.process("w1").signal(SIGSTOP);
    EXPECT_EQ(report("agent-2", "w1", nowMs()), 503);
    EXPECT_TRUE(waitUntil([&] { return starts(task) == 2; }));
    EXPECT_GT(records().back().at("atMs").get<std::int64_t>() - silentAtMs, 2'500)
        << "a lease of 4 s, renewed each second";
    cluster.process("w1").signal(SIGCONT);
}

} // namespace
} // namespace crocuscove::testing
