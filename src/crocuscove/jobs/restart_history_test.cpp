#include "crocuscove/jobs/restart_history.h"

#include "crocuscove/base/codec.h"

#include <gtest/gtest.h>

#include <string>

namespace crocuscove::jobs {
namespace {

constexpr std::int64_t startMs = 1'000'000;

/// Records the restarts of `count` workers of the service, each `stepMs` after the one before.
void record(RestartHistory& history, std::int64_t firstMs, std::size_t count, std::int64_t stepMs,
    const std::string& service = "pool")
{
    for (std::size_t number = 0; number < count; ++number) {
        const auto startedMs = firstMs + static_cast<std::int64_t>(number) * stepMs;
        history.record(startedMs, "w" + std::to_string(number), service);
    }
}

// Guards against a crash that is blamed on a task although many workers crashed at once.
TEST(RestartHistoryTest, WorkersThatRestartTogetherAreABurst)
{
    RestartHistory history;
    record(history, startMs, minSharedRestarts, 50);
    EXPECT_TRUE(history.isInBurst(startMs, "pool", 0));
    EXPECT_TRUE(history.isInBurst(startMs + 200, "pool", 0));
    EXPECT_FALSE(history.isInBurst(startMs + 3'000, "pool", 0)) << "nothing restarted then";
    EXPECT_FALSE(history.isInBurst(startMs, "other", 0));
    EXPECT_FALSE(history.isInBurst(startMs, "pool", 1)) << "one of them may have another cause";
    const auto copy = base::decode<RestartHistory>(base::encode(history));
    EXPECT_TRUE(copy.isInBurst(startMs, "pool", 0));
}

// Guards against tasks that are never blamed because many of them crash their workers all the time.
TEST(RestartHistoryTest, ASteadyStreamOfRestartsIsNoBurst)
{
    RestartHistory history;
    record(history, startMs, 60, 80);
    for (std::int64_t atMs = startMs; atMs < startMs + 60 * 80; atMs += 80) {
        EXPECT_FALSE(history.isInBurst(atMs, "pool", 0)) << atMs - startMs;
    }
}

TEST(RestartHistoryTest, AStartThatIsNotKnownIsNoBurst)
{
    RestartHistory history;
    record(history, 0, 10, 1);
    EXPECT_FALSE(history.isInBurst(0, "pool", 0));
}

// Guards against a history that grows for as long as workers restart.
TEST(RestartHistoryTest, TheEarliestRestartIsForgottenFirst)
{
    RestartHistory history;
    record(history, startMs, minSharedRestarts, 1);
    record(history, startMs + 10'000, maxRestarts - minSharedRestarts, 10'000);
    EXPECT_TRUE(history.isInBurst(startMs, "pool", 0));
    history.record(startMs + 5'000, "x", "pool");
    EXPECT_FALSE(history.isInBurst(startMs, "pool", 0));
}

} // namespace
} // namespace crocuscove::jobs
