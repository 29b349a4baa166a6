#include "crocuscove/jobs/restart_history.h"

#include "crocuscove/base/codec.h"

#include <gtest/gtest.h>

#include <string>

namespace crocuscove::jobs {
namespace {

constexpr std::int64_t startMs = 1'000'000;

constexpr std::size_t workers = 12;

/// Records the restarts of `count` workers, each `stepMs` after the one before.
void record(RestartHistory& history, std::int64_t firstMs, std::size_t count, std::int64_t stepMs)
{
    for (std::size_t number = 0; number < count; ++number) {
        const auto startedMs = firstMs + static_cast<std::int64_t>(number) * stepMs;
        history.record("pool", startedMs, "w" + std::to_string(number));
    }
}

// Guards against a crash that is blamed on a task although many workers crashed at once.
TEST(RestartHistoryTest, WorkersThatRestartTogetherAreABurst)
{
    RestartHistory history;
    record(history, startMs, burstSize.workers, 50);
    EXPECT_TRUE(history.isInBurst("pool", startMs, workers, 0));
    EXPECT_TRUE(history.isInBurst("pool", startMs + 200, workers, 0));
    EXPECT_FALSE(history.isInBurst("pool", startMs + 3'000, workers, 0)) << "nothing restarted then";
    EXPECT_FALSE(history.isInBurst("other", startMs, workers, 0));
    EXPECT_FALSE(history.isInBurst("pool", startMs, workers, 1)) << "one of them may have another cause";
    EXPECT_FALSE(history.isInBurst("pool", startMs, 100 * workers, 0)) << "few of many";
    auto copy = base::decode<RestartHistory>(base::encode(history));
    copy.rebuildIndex();
    EXPECT_TRUE(copy.isInBurst("pool", startMs, workers, 0));
}

// Guards against tasks that are never blamed because many of them crash their workers all the time.
TEST(RestartHistoryTest, ASteadyStreamOfRestartsIsNoBurst)
{
    RestartHistory history;
    record(history, startMs, 60, 80);
    for (std::int64_t atMs = startMs; atMs < startMs + 60 * 80; atMs += 80) {
        EXPECT_FALSE(history.isInBurst("pool", atMs, workers, 0)) << atMs - startMs;
    }
}

// Guards against one worker that starts again and again and is taken for many.
TEST(RestartHistoryTest, AWorkerCountsOnce)
{
    RestartHistory history;
    for (std::int64_t restart = 0; restart < 2 * static_cast<std::int64_t>(burstSize.workers); ++restart) {
        history.record("pool", startMs + restart, "w1");
    }
    EXPECT_FALSE(history.isInBurst("pool", startMs, workers, 0));
}

// Guards against a history that grows for as long as workers restart.
TEST(RestartHistoryTest, TheRestartThatWasRecordedFirstIsForgottenFirst)
{
    RestartHistory history;
    record(history, startMs + 100'000'000, burstSize.workers, 1);
    record(history, startMs, maxRestarts - burstSize.workers, 10'000);
    EXPECT_TRUE(history.isInBurst("pool", startMs + 100'000'000, workers, 0));
    history.record("pool", startMs + 5'000, "x");
    EXPECT_FALSE(history.isInBurst("pool", startMs + 100'000'000, workers, 0));
}

} // namespace
} // namespace crocuscove::jobs
