#include "crocuscove/placement/first_fit.h"

#include <gtest/gtest.h>

namespace crocuscove::placement {
namespace {

state::JobRecord job(const std::string& id, std::uint32_t cores)
{
    state::JobRecord record;
    record.spec.job = base::JobId(id);
    record.spec.declared = { cores, 1, 0 };
    return record;
}

// Guards against two jobs being given the same free capacity.
TEST(FirstFit, DoesNotExceedAWorker)
{
    const auto first = job("j1", 3);
    const auto second = job("j2", 3);
    const auto third = job("j3", 1);
    const auto assignments = placeFirstFit({ &first, &second, &third }, { { base::WorkerId("w1"), 1, { 4, 10, 0 } } });
    ASSERT_EQ(assignments.size(), 2U);
    EXPECT_EQ(assignments[0].job, base::JobId("j1"));
    EXPECT_EQ(assignments[1].job, base::JobId("j3"));
}

} // namespace
} // namespace crocuscove::placement
