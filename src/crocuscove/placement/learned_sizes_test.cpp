#include "crocuscove/placement/learned_sizes.h"

#include <gtest/gtest.h>

namespace crocuscove::placement {
namespace {

state::JobSpec spec(state::Resources declared)
{
    state::JobSpec spec;
    spec.team = base::TeamId("team");
    spec.declared = declared;
    return spec;
}

void learnTimes(LearnedSizes& sizes, const state::JobSpec& job, state::Resources used, int times)
{
    for (int time = 0; time < times; ++time) {
        recordSample(sizes, job, { used, std::chrono::minutes(time + 1) }, {}, {});
    }
}

// Guards against wrong declarations wasting or overfilling workers, and against a single sample deciding.
TEST(LearnedSizes, ReplacesTheDeclaredSizeOnceThereAreSamples)
{
    LearnedSizes sizes;
    const auto job = spec({ 32, 1'000, 2 });
    const std::vector<state::Resources> capacities { { 64, 2'000, 8 } };
    learnTimes(sizes, job, { 3, 200, 0 }, 7);
    EXPECT_EQ(learnedSize(sizes, job, capacities, {}), job.declared);
    learnTimes(sizes, job, { 3, 200, 0 }, 1);
    EXPECT_EQ(learnedSize(sizes, job, capacities, {}), (state::Resources { 3, 200, 2 }));
    EXPECT_EQ(learnedRunTime(sizes, job, {}), std::chrono::minutes(7));
    EXPECT_EQ(learnedSize(sizes, spec({ 1, 1, 0 }), capacities, {}), (state::Resources { 1, 1, 0 }));
}

// Guards against a job that ran becoming unplaceable because its class used more than any worker has.
TEST(LearnedSizes, StaysWithinOneWorker)
{
    LearnedSizes sizes;
    const auto job = spec({ 4, 100, 0 });
    learnTimes(sizes, job, { 100, 5'000, 0 }, 8);
    const std::vector<state::Resources> capacities { { 64, 50, 0 }, { 8, 4'000, 0 } };
    EXPECT_EQ(learnedSize(sizes, job, capacities, {}), (state::Resources { 8, 4'000, 0 }));
}

// Guards against outdated samples that never expire, and against unbounded growth of the map.
TEST(LearnedSizes, KeepsBoundedSamplesAndClasses)
{
    LearnedSizes sizes;
    LearningOptions options;
    options.maxClasses = 2;
    const auto job = spec({ 4, 100, 0 });
    learnTimes(sizes, job, { 4, 100, 0 }, 64);
    learnTimes(sizes, job, { 1, 10, 0 }, 64);
    EXPECT_EQ(learnedSize(sizes, job, { { 8, 200, 0 } }, options), (state::Resources { 1, 10, 0 }));
    for (std::uint32_t accelerators = 1; accelerators < 5; ++accelerators) {
        recordSample(
            sizes, spec({ 4, 100, accelerators }), {}, options, base::WallTime(std::chrono::hours(accelerators)));
    }
    EXPECT_EQ(sizes.classes.size(), 2U);
    EXPECT_EQ(sizes.classes.begin()->first.accelerators, 3U);
}

} // namespace
} // namespace crocuscove::placement
