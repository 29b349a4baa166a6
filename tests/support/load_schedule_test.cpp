#include "support/load_schedule.h"

#include "crocuscove/base/error.h"

#include <gtest/gtest.h>

namespace crocuscove::testing {
namespace {

constexpr SurgeOptions surges { 5, 1000, 200 };

// Guards against surges that come at once instead of in turn, or without the lull after them.
TEST(LoadScheduleTest, ClassesSurgeInTurn)
{
    const auto factor = [](std::size_t index, int milliseconds) {
        return surgeFactor(surges, index, 2, base::Milliseconds(milliseconds));
    };
    EXPECT_DOUBLE_EQ(factor(0, 0), 5);
    EXPECT_DOUBLE_EQ(factor(1, 0), 1);
    EXPECT_DOUBLE_EQ(factor(0, 200), 0.05);
    EXPECT_DOUBLE_EQ(factor(0, 400), 1);
    EXPECT_DOUBLE_EQ(factor(0, 1100), 1);
    EXPECT_DOUBLE_EQ(factor(1, 1100), 5);
    EXPECT_DOUBLE_EQ(factor(0, 2100), 5);
    EXPECT_DOUBLE_EQ(surgeFactor({}, 0, 1, base::Milliseconds(0)), 1);
}

std::size_t countArrivals(const ArrivalProcess& arrivals, base::Milliseconds from, base::Milliseconds until)
{
    base::Random random(1);
    base::Microseconds now { 0 };
    std::size_t count = 0;
    for (now = arrivals.next(now, random); now < until; now = arrivals.next(now, random)) {
        count += now >= from ? 1 : 0;
    }
    return count;
}

// Guards against a load whose rate differs from the one asked for. With seed 1; the bounds are 5 standard deviations.
TEST(LoadScheduleTest, ArrivalsHaveTheRate)
{
    const ArrivalProcess steady(1000, {}, 0, 1);
    EXPECT_NEAR(
        static_cast<double>(countArrivals(steady, base::Milliseconds(0), base::Milliseconds(10'000))), 10'000, 500);
    const ArrivalProcess surging(1000, surges, 0, 2);
    EXPECT_NEAR(static_cast<double>(countArrivals(surging, base::Milliseconds(0), base::Milliseconds(200))), 1000, 160);
    EXPECT_NEAR(
        static_cast<double>(countArrivals(surging, base::Milliseconds(1000), base::Milliseconds(2000))), 1000, 160);
}

// Guards against an even spread over uneven endpoints.
TEST(LoadScheduleTest, WeightsAreKept)
{
    base::Random random(1);
    std::vector<int> counts(3);
    for (int draw = 0; draw < 10'000; ++draw) {
        ++counts[drawWeighted({ 8, 2, 0 }, random)];
    }
    EXPECT_NEAR(counts[0], 8000, 200);
    EXPECT_EQ(counts[2], 0);
}

// Guards against classes that are read wrongly or accepted with a missing field.
TEST(LoadScheduleTest, ParsesClasses)
{
    const LoadClass kind = parseLoadClass("order:2:POST:/pricing/order:5000:20:no");
    EXPECT_EQ(kind.name, "order");
    EXPECT_EQ(kind.weight, 2);
    EXPECT_EQ(kind.path, "/pricing/order");
    EXPECT_EQ(kind.deadlineMs, 5000);
    EXPECT_EQ(kind.runMs, 20);
    EXPECT_FALSE(kind.isIdempotent);
    for (const auto* wrong : { "", "a:1:GET:/:1:1", "a:0:GET:/:1:1:yes", "a:1:GET:/:1:1:maybe" }) {
        EXPECT_THROW(parseLoadClass(wrong), base::InvalidInput) << wrong;
    }
}

} // namespace
} // namespace crocuscove::testing
