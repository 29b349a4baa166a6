#include "crocuscove/base/work_pacer.h"

#include <gtest/gtest.h>

namespace crocuscove::base {
namespace {

using namespace std::chrono_literals;

const MonotonicTime start { 1'000s };

// Guards against recurring work that takes all the time of a loaded process.
TEST(WorkPacer, LongRunsAreFollowedByLongPauses)
{
    WorkPacer pacer(5ms, 0.1);
    EXPECT_LE(pacer.nextAt(), start) << "the first run may be at once";
    pacer.record(start, start + 100us);
    EXPECT_EQ(pacer.nextAt(), start + 5ms);
    pacer.record(start, start + 4ms);
    EXPECT_EQ(pacer.nextAt(), start + 40ms);
}

// Guards against work that stands still for minutes after the machine was suspended during a run.
TEST(WorkPacer, AnInterruptedRunDelaysTheNextByABoundedTime)
{
    WorkPacer pacer(5ms, 0.1);
    pacer.record(start, start + 60s);
    EXPECT_LE(pacer.nextAt(), start + 60s);
    pacer.record(start, start - 1s);
    EXPECT_EQ(pacer.nextAt(), start + 5ms);
}

} // namespace
} // namespace crocuscove::base
