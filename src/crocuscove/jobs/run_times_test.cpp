#include "crocuscove/jobs/run_times.h"

#include <gtest/gtest.h>

#include <string>

namespace crocuscove::jobs {
namespace {

// Guards against run times that are kept of each queue that there ever was.
TEST(RunTimesTest, TheTimesOfARemovedQueueAreForgotten)
{
    constexpr std::uint32_t estimateMs = 500;
    RunTimes runTimes;
    runTimes.add("kept", 100);
    runTimes.add("removed", 100);
    runTimes.keepOnly([](const std::string& queue) { return queue == "kept"; });
    EXPECT_EQ(runTimes.expectedMs("kept", estimateMs), 100);
    EXPECT_EQ(runTimes.expectedMs("removed", estimateMs), estimateMs);
}

} // namespace
} // namespace crocuscove::jobs
