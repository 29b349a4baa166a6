#include "support/json_lines.h"
#include "support/system.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

/// Jobs on real workers under failures.
namespace crocuscove::testing {
namespace {

class JobTest : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(system.waitUntilReady()); }

    void submit(const std::string& job, bool isIdempotent)
    {
        const nlohmann::json body { { "job", job }, { "team", "archive" }, { "cores", 1 }, { "memoryMb", 512 },
            { "idempotent", isIdempotent } };
        const auto result = Cluster::request(system.node(1).admin, "POST", "/v1/jobs", body.dump());
        ASSERT_EQ(result.response.value_or(http::HttpResponse { 0, {}, "" }).status, 200);
    }

    [[nodiscard]] std::string state(const std::string& job) const
    {
        const auto body = Cluster::getJson(system.node(1).admin, "/v1/jobs/" + job);
        return body.is_null() ? "" : body.at("state").get<std::string>();
    }

    /// Counts the starts that all workers recorded for a job.
    [[nodiscard]] std::ptrdiff_t starts(const std::string& job) const
    {
        std::ptrdiff_t count = 0;
        for (const auto& file : std::filesystem::directory_iterator(cluster.folder())) {
            if (file.path().filename().string().starts_with("starts-")) {
                count += std::ranges::count_if(readJsonLines(file.path()), [&](const auto& line) {
                    return line.value("event", "") == "started" && line.value("job", "") == job;
                });
            }
        }
        return count;
    }

    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
    System system { cluster, {} };
};

// Guards against a non-idempotent job that runs again after its worker was lost, and an idempotent one that does not.
TEST_F(JobTest, LostWorkerRepeatsOnlyIdempotentJobs)
{
    system.startWorker(1, { flag("run-median-ms", 3'600'000) });
    submit("repeatable", true);
    submit("unrepeatable", false);
    ASSERT_TRUE(waitUntil([&] { return starts("repeatable") == 1 && starts("unrepeatable") == 1; }));
    cluster.process("worker-1").kill();
    system.startWorker(2, { flag("run-median-ms", 100) });
    EXPECT_TRUE(waitUntil([&] { return state("repeatable") == "done"; }));
    EXPECT_TRUE(waitUntil([&] { return state("unrepeatable") == "lost"; }));
    EXPECT_EQ(starts("repeatable"), 2);
    EXPECT_EQ(starts("unrepeatable"), 1);
}

// Guards against a job that is handed again to a worker process that has forgotten it.
TEST_F(JobTest, RestartedWorkerDoesNotRepeatANonIdempotentJob)
{
    system.startWorker(1, { flag("run-median-ms", 3'600'000) });
    submit("unrepeatable", false);
    ASSERT_TRUE(waitUntil([&] { return starts("unrepeatable") == 1; }));
    cluster.process("worker-1").kill();
    system.startWorker(1, { flag("run-median-ms", 100) });
    EXPECT_TRUE(waitUntil([&] { return state("unrepeatable") == "lost"; }));
    EXPECT_EQ(starts("unrepeatable"), 1);
}

// Guards against jobs that are lost on a worker which fails everything, while another one could run them.
TEST_F(JobTest, FailingWorkerDoesNotFailTheJobs)
{
    system.startWorker(1, { "--fail", flag("run-median-ms", 10) });
    // At most a fifth of the workers may be quarantined, so one of six.
    for (int number = 2; number <= 6; ++number) {
        system.startWorker(number, { flag("run-median-ms", 10) });
    }
    for (int number = 0; number < 12; ++number) {
        submit("job-" + std::to_string(number), true);
    }
    for (int number = 0; number < 12; ++number) {
        ASSERT_TRUE(waitUntil([&] { return state("job-" + std::to_string(number)) == "done"; })) << number;
    }
}

// Guards against a job that runs twice, or is forgotten, when the node is killed while it runs.
TEST_F(JobTest, KilledLeaderKeepsRunningJobs)
{
    system.startWorker(1, { flag("run-median-ms", 2000) });
    submit("unrepeatable", false);
    ASSERT_TRUE(waitUntil([&] { return starts("unrepeatable") == 1; }));
    system.nodeProcess(1).kill();
    system.startNode(1);
    ASSERT_TRUE(system.waitUntilReady());
    EXPECT_TRUE(waitUntil([&] { return state("unrepeatable") == "done"; }));
    EXPECT_EQ(starts("unrepeatable"), 1);
}

} // namespace
} // namespace crocuscove::testing
