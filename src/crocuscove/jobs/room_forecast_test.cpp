#include "crocuscove/jobs/room_forecast.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>

namespace crocuscove::jobs {
namespace {

std::vector<EndingRun> runs(const std::vector<std::int64_t>& restsMs)
{
    std::vector<EndingRun> result;
    std::ranges::transform(restsMs, std::back_inserter(result), [](std::int64_t restMs) {
        return EndingRun { { 1000, 100, 0 }, restMs };
    });
    return result;
}

TEST(RoomForecastTest, WhatFitsNowNeedsNoEnd)
{
    EXPECT_EQ(forecastFit({ 500, 0, 0 }, { 500, 0, 0 }, runs({ 700 })), 0);
}

TEST(RoomForecastTest, TheSoonestEndsAreEnough)
{
    EXPECT_EQ(forecastFit({ 1500, 0, 0 }, { 500, 0, 0 }, runs({ 300, 900 })), 300);
    EXPECT_EQ(forecastFit({ 2500, 0, 0 }, { 500, 0, 0 }, runs({ 300, 900 })), 900) << "1.5 times the mean of both";
}

// Guards against room that is held where the task never fits.
TEST(RoomForecastTest, WhatNeverFitsHasNoForecast)
{
    EXPECT_EQ(forecastFit({ 3000, 0, 0 }, { 500, 0, 0 }, runs({ 300, 900 })), std::nullopt);
    EXPECT_EQ(forecastFit({ 100, 0, 1 }, { 500, 0, 0 }, runs({ 300 })), std::nullopt);
}

// Guards against changing to another worker each time a run takes longer than expected.
TEST(RoomForecastTest, OneLateRunIsBetterThanManyYoungOnes)
{
    const auto late = forecastFit({ 1000, 0, 0 }, {}, runs({ expectedRestMs(500, 600) }));
    const auto young = forecastFit({ 8000, 0, 0 }, {}, runs({ 490, 490, 490, 490, 490, 490, 490, 490 }));
    EXPECT_LT(late, young);
}

// Guards against waiting for one run that hangs while other workers become free.
TEST(RoomForecastTest, AHangingRunIsGivenUpForYoungOnes)
{
    const auto hanging = forecastFit({ 1000, 0, 0 }, {}, runs({ expectedRestMs(500, 2000) }));
    const auto young = forecastFit({ 8000, 0, 0 }, {}, runs({ 490, 490, 490, 490, 490, 490, 490, 490 }));
    EXPECT_GT(hanging, young);
}

} // namespace
} // namespace crocuscove::jobs
