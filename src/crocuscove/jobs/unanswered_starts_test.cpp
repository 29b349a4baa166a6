#include "crocuscove/jobs/unanswered_starts.h"

#include <gtest/gtest.h>

namespace crocuscove::jobs {
namespace {

constexpr TaskKey first { 1, 0, 0, 0 };
constexpr TaskKey second { 1, 0, 0, 1 };

// Guards against a start that counts as over because an earlier one of its task is.
TEST(UnansweredStartsTest, TheLastStartOfATaskDecides)
{
    UnansweredStarts starts;
    starts.record("w1", first, { 2000 });
    starts.record("w1", first, { 1000 });
    starts.record("w2", first, { 3000 });
    EXPECT_EQ(starts.of("w1").at(first).untilMs, 2000);
    EXPECT_EQ(starts.of("w2").at(first).untilMs, 3000);
    EXPECT_TRUE(starts.of("w3").empty());
}

// Guards against a record that grows for ever, and against one that ends too early.
TEST(UnansweredStartsTest, AStartIsForgottenOnceItsTimeHasEnded)
{
    UnansweredStarts starts;
    starts.record("w1", first, { 1000 });
    starts.record("w1", first, { 2000 });
    starts.record("w1", second, { 1500 });
    starts.forget(1500);
    EXPECT_EQ(starts.of("w1").size(), 2U);
    starts.forget(1501);
    EXPECT_EQ(starts.of("w1").size(), 1U);
    EXPECT_TRUE(starts.of("w1").contains(first));
    starts.forget(2001);
    EXPECT_TRUE(starts.of("w1").empty());
}

// Guards against tasks that wait for starts that were lost with their workers, and against a delayed start that is
// overlooked because another worker was sent one too.
TEST(UnansweredStartsTest, OnlyDelayedStartsHoldTheTask)
{
    UnansweredStarts starts;
    starts.record("w1", first, { 3000, false });
    EXPECT_EQ(starts.delayedUntilMs(first), 0);
    starts.record("w1", first, { 3000, true });
    starts.record("w2", first, { 2000, true });
    starts.record("w3", first, { 4000, false });
    EXPECT_EQ(starts.delayedUntilMs(first), 3000);
    EXPECT_EQ(starts.delayedUntilMs(second), 0);
    starts.forget(3001);
    EXPECT_EQ(starts.delayedUntilMs(first), 0);
    EXPECT_EQ(starts.of("w3").size(), 1U);
}

// Guards against a replicated state without bound.
TEST(UnansweredStartsTest, TheStartsThatEndFirstMakeRoomForOthers)
{
    UnansweredStarts starts;
    for (std::uint32_t index = 0; index <= maxUnansweredStarts; ++index) {
        starts.record("w1", { 1, 0, 0, index }, { 1000 + index });
    }
    EXPECT_EQ(starts.of("w1").size(), maxUnansweredStarts);
    EXPECT_FALSE(starts.of("w1").contains(first));
    EXPECT_TRUE(starts.of("w1").contains(second));
}

} // namespace
} // namespace crocuscove::jobs
