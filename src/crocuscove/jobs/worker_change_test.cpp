#include "crocuscove/jobs/worker_change.h"

#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

namespace crocuscove::jobs {
namespace {

using namespace testing;

WorkerReport reportOf(const Resources& capacity, std::uint64_t sequence)
{
    WorkerReport result = report("w1", 1, sequence);
    result.capacity = capacity;
    return result;
}

// Guards against a start in the far future, after which all reports of the worker's true incarnation are outdated.
TEST(WorkerChangeTest, AStartInTheFarFutureIsNotPossible)
{
    constexpr std::int64_t nowMs = 1'779'248'700'000;
    WorkerReport report = reportOf({ 4000, 4096, 0 }, 1);
    for (const std::int64_t start : { std::int64_t { 0 }, nowMs, nowMs + 3'600'000 }) {
        report.incarnation = start;
        EXPECT_TRUE(hasPossibleStart(report, nowMs)) << start;
    }
    for (const std::int64_t start : { std::int64_t { -1 }, std::numeric_limits<std::int64_t>::max(),
             std::numeric_limits<std::int64_t>::min(), 2 * nowMs }) {
        report.incarnation = start;
        EXPECT_FALSE(hasPossibleStart(report, nowMs)) << start;
    }
}

// Guards against a capacity that shrinks or grows without being recorded.
TEST(WorkerChangeTest, AnotherCapacityIsAChange)
{
    const WorkerReport known = reportOf({ 4000, 4096, 0 }, 1);
    EXPECT_EQ(compareReports(known, reportOf({ 4000, 4096, 0 }, 2)), WorkerChange::None);
    EXPECT_EQ(compareReports(known, reportOf({ 3000, 4096, 0 }, 2)), WorkerChange::Other);
    EXPECT_EQ(compareReports(known, reportOf({ 5000, 4096, 0 }, 2)), WorkerChange::Growth);
    EXPECT_EQ(compareReports(known, reportOf({ 5000, 2048, 0 }, 2)), WorkerChange::Other);
}

// Guards against labels and a zone that change without being recorded.
TEST(WorkerChangeTest, AnotherLabelOrZoneIsAChange)
{
    const WorkerReport known = reportOf({ 4000, 4096, 0 }, 1);
    WorkerReport changed = reportOf({ 4000, 4096, 0 }, 2);
    changed.labels = { "b" };
    EXPECT_EQ(compareReports(known, changed), WorkerChange::Other);
    changed.labels = known.labels;
    changed.zone = "other";
    EXPECT_EQ(compareReports(known, changed), WorkerChange::Other);
}

// Guards against a delayed report that brings an earlier capacity back.
TEST(WorkerChangeTest, AReportThatIsNotLaterChangesNothing)
{
    const WorkerReport known = reportOf({ 2000, 4096, 0 }, 5);
    EXPECT_EQ(compareReports(known, reportOf({ 4000, 4096, 0 }, 4)), WorkerChange::None);
    EXPECT_EQ(compareReports(known, reportOf({ 4000, 4096, 0 }, 5)), WorkerChange::None);
    WorkerReport earlier = reportOf({ 4000, 4096, 0 }, 9);
    earlier.incarnation = 0;
    EXPECT_EQ(compareReports(known, earlier), WorkerChange::None);
}

// Guards against an entry of the log for each report of a draining worker that says that it is ready.
TEST(WorkerChangeTest, ADrainingWorkerThatReportsReadyChangesNothing)
{
    WorkerReport known = reportOf({ 4000, 4096, 0 }, 1);
    known.isDraining = true;
    EXPECT_EQ(compareReports(known, reportOf({ 4000, 4096, 0 }, 2)), WorkerChange::None);
}

// Guards against an entry of the log for each report of a worker whose processor time and memory grow and shrink by
// turns.
TEST(WorkerChangeTest, WithoutGrowthACapacityThatGoesUpAndDownStaysAtItsLowest)
{
    WorkerReport known = reportOf({ 4000, 4096, 0 }, 1);
    std::uint64_t recorded = 0;
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
        const bool isEven = sequence % 2 == 0;
        const WorkerReport next
            = withoutGrowth(known, reportOf({ isEven ? 3000 : 4000, isEven ? 4096 : 2048, 0 }, sequence));
        if (compareReports(known, next) != WorkerChange::None) {
            known = next;
            ++recorded;
        }
    }
    EXPECT_EQ(recorded, 2U);
    EXPECT_EQ(known.capacity, (Resources { 3000, 2048, 0 }));
}

// Guards against a growth by a report that a later one has overtaken, and against one entry of the log after another.
TEST(WorkerChangeTest, GrowthNeedsAFreshReportAndAPause)
{
    const base::MonotonicTime now { base::Milliseconds(100'000) };
    EXPECT_EQ(checkGrowth(now, now, base::Milliseconds(10)), GrowthRefusal::None);
    EXPECT_EQ(checkGrowth(now, now, maxGrowthReportAge + base::Milliseconds(1)), GrowthRefusal::OldReport);
    EXPECT_EQ(checkGrowth(now, now, std::nullopt), GrowthRefusal::OldReport);
    EXPECT_EQ(checkGrowth(now, now + base::Milliseconds(1), base::Milliseconds(10)), GrowthRefusal::TooSoon);
}

} // namespace
} // namespace crocuscove::jobs
