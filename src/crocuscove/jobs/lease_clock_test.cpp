#include "crocuscove/jobs/lease_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace crocuscove::jobs {
namespace {

using namespace std::chrono_literals;

constexpr base::MonotonicTime start { 1000s };

TEST(LeaseClockTest, NothingIsGrantedBeforeTheClockIsKnown)
{
    LeaseClock clock;
    EXPECT_FALSE(clock.grant(4000ms, start));
}

// Guards against a reordered response that sets the clock back.
TEST(LeaseClockTest, AnOlderReadingIsIgnored)
{
    LeaseClock clock;
    clock.observe(5000, start, start);
    clock.observe(4000, start + 1s, start + 1s);
    EXPECT_EQ(clock.grant(1000ms, start), 6000);
}

// Guards against a task that starts elsewhere under the lease of an earlier leader, because the worker has answered the
// new one, which granted less.
TEST(LeaseClockTest, TheLeaseOfAnEarlierLeaderOutlivesAnAnswer)
{
    LeaseClock clock;
    clock.assumeGranted(start + 5s);
    EXPECT_EQ(clock.latestLeaseExpiry(), start + 5s);
    clock.observe(1000, start + 1s, start + 1s);
    EXPECT_TRUE(clock.grant(1800ms, start + 1s));
    EXPECT_EQ(clock.latestLeaseExpiry(), start + 5s);
    EXPECT_TRUE(clock.grant(4000ms, start + 3s));
    EXPECT_GT(clock.latestLeaseExpiry(), start + 7s);
}

// Guards against a report that is taken as fresh though the worker's clock has gone on since.
TEST(LeaseClockTest, TheAgeOfAReadingGrowsWithTheClock)
{
    LeaseClock clock;
    EXPECT_FALSE(clock.age(5000, start));
    clock.observe(5000, start, start);
    EXPECT_EQ(clock.age(4800, start), 200ms);
    EXPECT_EQ(clock.age(4800, start + 1s), 1200ms);
}

// Guards against an answer of a later incarnation that is taken for one of the incarnation that the leader knows.
TEST(LeaseClockTest, TheClockOfAnotherIncarnationIsTold)
{
    LeaseClock clock;
    EXPECT_TRUE(clock.mayHaveShown(5, start, start));
    clock.observe(60'000, start, start + 20ms);
    EXPECT_TRUE(clock.mayHaveShown(61'000, start + 990ms, start + 1'010ms));
    EXPECT_FALSE(clock.mayHaveShown(60'900, start + 990ms, start + 1'010ms));
    EXPECT_FALSE(clock.mayHaveShown(61'200, start + 990ms, start + 1'010ms));
    EXPECT_FALSE(clock.mayHaveShown(30, start + 990ms, start + 1'010ms));
}

// Guards against starting a task elsewhere while its lease is still valid on a worker with a slow clock.
RC_GTEST_PROP(LeaseClockProperty, NoLeaseOutlivesItsLatestExpiry, ())
{
    const double rate = *rc::gen::map(rc::gen::inRange(980, 1021), [](int permille) { return permille / 1000.0; });
    const auto workerClock = [&](base::MonotonicTime now) {
        const std::chrono::duration<double, std::milli> elapsed = now - start;
        return 100'000.0 + elapsed.count() * rate;
    };
    LeaseClock clock;
    auto now = start;
    double granted = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 1500));
    for (const int pause : steps) {
        const auto sampledAt = now;
        now += base::Milliseconds(pause % 50);
        clock.observe(static_cast<std::int64_t>(workerClock(sampledAt)), sampledAt, now);
        RC_ASSERT(clock.mayHaveShown(static_cast<std::int64_t>(workerClock(sampledAt)), sampledAt, now));
        granted = std::max(granted, static_cast<double>(clock.grant(4000ms, now).value()));
        now += base::Milliseconds(pause);
        RC_ASSERT(workerClock(clock.latestLeaseExpiry() + 1ms) >= granted - 1);
    }
}

// Guards against a lease that is counted as ended too early because readings of the clock arrive late or out of order.
RC_GTEST_PROP(LeaseClockProperty, LateReadingsShortenNoLease, ())
{
    const double rate = *rc::gen::map(rc::gen::inRange(980, 1021), [](int permille) { return permille / 1000.0; });
    const auto workerClock = [&](base::MonotonicTime now) {
        const std::chrono::duration<double, std::milli> elapsed = now - start;
        return 100'000.0 + elapsed.count() * rate;
    };
    // When each reading arrives, and when it was taken.
    std::multimap<base::MonotonicTime, base::MonotonicTime> readings;
    auto takenAt = start;
    for (const auto& [pause, delay] : *rc::gen::container<std::vector<std::pair<int, int>>>(
             30, rc::gen::pair(rc::gen::inRange(0, 1'000), rc::gen::inRange(0, 3'000)))) {
        takenAt += base::Milliseconds(pause);
        readings.emplace(takenAt + base::Milliseconds(delay), takenAt);
    }
    LeaseClock clock;
    double granted = 0;
    for (const auto& [arrivedAt, readAt] : readings) {
        clock.observe(static_cast<std::int64_t>(workerClock(readAt)), readAt, arrivedAt);
        RC_ASSERT(clock.mayHaveShown(static_cast<std::int64_t>(workerClock(readAt)), readAt, arrivedAt));
        RC_ASSERT(static_cast<double>(clock.earliestClockMs(arrivedAt).value()) <= workerClock(arrivedAt));
        RC_ASSERT(static_cast<double>(clock.earliestClockMs(readAt).value()) <= workerClock(readAt));
        granted = std::max(granted, static_cast<double>(clock.grant(4000ms, arrivedAt).value()));
        RC_ASSERT(workerClock(clock.latestLeaseExpiry() + 1ms) >= granted - 1);
    }
}

} // namespace
} // namespace crocuscove::jobs
