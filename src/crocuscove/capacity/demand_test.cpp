#include "crocuscove/capacity/demand.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace crocuscove::capacity {
namespace {

const base::WallTime start { base::Milliseconds(std::chrono::hours(24 * 365 * 50)) };

Demand estimate(const std::vector<LoadSample>& samples, std::chrono::minutes age = std::chrono::minutes(0))
{
    const CapacityOptions options;
    return estimateDemand(samples, tune(options, {}, 50), options, samples.back().at + age);
}

std::vector<LoadSample> steadyLoad(double slots, std::chrono::minutes time)
{
    std::vector<LoadSample> samples;
    for (base::WallTime at = start; at < start + time; at += std::chrono::seconds(10)) {
        samples.push_back({ .at = at, .busySlots = slots, .queued = 0.0 });
    }
    return samples;
}

// Guards against reports that overtake each other and then count as several buckets.
TEST(Demand, TheOrderOfReportsDoesNotMatter)
{
    std::vector<LoadSample> samples = steadyLoad(10.0, std::chrono::minutes(90));
    for (std::size_t sample = 300; sample < 400; ++sample) {
        samples[sample].busySlots = 30.0;
    }
    const LoadSample last = samples.back();
    std::vector<LoadSample> reversed = samples;
    std::ranges::reverse(reversed);
    reversed.push_back(last);
    EXPECT_EQ(estimate(samples).holdPeak, 30.0);
    EXPECT_EQ(estimate(reversed).holdPeak, 30.0);
}

// Guards against a short surge at the start of the known history that passes for lasting demand.
TEST(Demand, ASurgeAtTheStartOfTheHistoryIsFilteredToo)
{
    std::vector<LoadSample> samples = steadyLoad(10.0, std::chrono::minutes(30));
    for (std::size_t sample = 0; sample < 6; ++sample) {
        samples[sample].busySlots = 60.0;
    }
    EXPECT_EQ(estimate(samples).holdPeak, 10.0);
}

// Guards against a long queue that asks for more executors than its work needs.
TEST(Demand, AQueueAtMostDoublesTheDemand)
{
    std::vector<LoadSample> samples = steadyLoad(64.0, std::chrono::minutes(30));
    std::ranges::for_each(samples, [](LoadSample& sample) { sample.queued = 10'000.0; });
    EXPECT_EQ(estimate(samples).holdPeak, 128.0);
}

// Guards against decisions on reports that stopped coming.
TEST(Demand, OldReportsAreNotFresh)
{
    const auto samples = steadyLoad(10.0, std::chrono::minutes(90));
    EXPECT_TRUE(estimate(samples).isFresh);
    EXPECT_TRUE(estimate(samples).coversHold);
    EXPECT_FALSE(estimate(samples).coversReclaim);
    EXPECT_FALSE(estimate(samples, std::chrono::minutes(3)).isFresh);
}

} // namespace
} // namespace crocuscove::capacity
