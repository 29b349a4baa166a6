#include "late_starts.h"

#include <gtest/gtest.h>

namespace crocuscove::control {
namespace {

using namespace std::chrono_literals;

constexpr jobs::TaskKey task { 1, 0, 0, 0 };
constexpr jobs::TaskKey otherTask { 1, 0, 0, 1 };
constexpr base::Milliseconds maxDelay { 12'000 };

// Guards against a start that counts as over because the known incarnation lists its run: a later one may yet get it.
TEST(LateStartsTest, AnIncarnationThatIsThereSettlesOnlyStartsWhoseTimeHasEnded)
{
    const auto sentAt = base::monotonicNow();
    LateStarts starts(maxDelay);
    starts.add(task, sentAt + 100ms);
    starts.add(task, sentAt);
    starts.add(otherTask, sentAt + 50ms);
    starts.noteWorkerSeen(sentAt + maxDelay + 75ms);
    ASSERT_TRUE(starts.find(task));
    EXPECT_EQ(starts.find(task)->until, sentAt + maxDelay + 100ms);
    EXPECT_FALSE(starts.find(otherTask));
    starts.noteWorkerSeen(sentAt + maxDelay + 101ms);
    EXPECT_FALSE(starts.find(task));
}

// Guards against a worker that is lost with a start, and is taken for one that has lost the start only.
TEST(LateStartsTest, AWorkerIsSeenByWhatWasRequestedAfterTheStart)
{
    const auto sentAt = base::monotonicNow();
    LateStarts starts(maxDelay);
    starts.add(task, sentAt);
    EXPECT_TRUE(starts.noteWorkerSeen(sentAt).empty());
    EXPECT_FALSE(starts.find(task)->wasWorkerSeen);
    EXPECT_EQ(starts.noteWorkerSeen(sentAt + 1ms), std::vector { task });
    EXPECT_TRUE(starts.find(task)->wasWorkerSeen);
    EXPECT_TRUE(starts.noteWorkerSeen(sentAt + 2ms).empty()) << "that was known";
}

// Guards against the same when a later incarnation is there: the start may have been lost with the earlier one.
TEST(LateStartsTest, ALaterIncarnationProvesNothingOfTheWorkerThatTheStartWasSentTo)
{
    LateStarts starts(maxDelay);
    starts.load({ { task, { base::wallNow().time_since_epoch().count() + 10'000, false } } });
    EXPECT_TRUE(starts.noteWorkerSeen(base::monotonicNow() + 1ms).empty());
    ASSERT_TRUE(starts.find(task));
    EXPECT_FALSE(starts.find(task)->wasWorkerSeen);
}

// Guards against tasks that wait for hours because the time of day was set back between two leaders.
TEST(LateStartsTest, ARecordedStartEndsAfterTheLongestDelayAtTheLatest)
{
    const std::int64_t unixNowMs = base::wallNow().time_since_epoch().count();
    LateStarts starts(maxDelay);
    starts.load({ { task, { unixNowMs + 3'600'000, true } }, { otherTask, { unixNowMs + 2'000 } } });
    const auto now = base::monotonicNow();
    EXPECT_LE(starts.find(task)->until, now + maxDelay);
    EXPECT_GT(starts.find(task)->until, now + maxDelay - 2'000ms);
    EXPECT_LE(starts.find(otherTask)->until, now + 2'000ms);
    EXPECT_GT(starts.find(otherTask)->until, now);
    EXPECT_TRUE(starts.find(task)->wasWorkerSeen);
    EXPECT_FALSE(starts.find(otherTask)->wasWorkerSeen);
}

} // namespace
} // namespace crocuscove::control
