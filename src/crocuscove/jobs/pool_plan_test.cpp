#include "crocuscove/jobs/pool_plan.h"

#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace crocuscove::jobs {
namespace {

using namespace std::chrono_literals;
using namespace testing;

constexpr base::MonotonicTime start { 1000s };

class PoolPlanTest : public ::testing::Test {
protected:
    void SetUp() override { m_state.apply(PutConfiguration { configuration() }); }

    void addVms(const std::string& pool, int count, bool isEmpty = true)
    {
        for (int item = 0; item < count; ++item) {
            const std::string id = pool + std::to_string(m_view.vms.size());
            m_view.vms.push_back({ id, pool, true, isEmpty, { 4000, 4096, 0 } });
        }
    }

    std::vector<PoolMove> plan(base::MonotonicTime now = start, std::int64_t nowMs = 1000)
    {
        return m_planner.plan(m_state, m_runTimes, m_view, nowMs, now);
    }

    static std::ptrdiff_t count(const std::vector<PoolMove>& moves, const std::string& from, const std::string& to)
    {
        return std::ranges::count_if(moves, [&](const PoolMove& move) { return move.from == from && move.to == to; });
    }

    FleetState m_state;
    RunTimes m_runTimes;
    PoolView m_view;
    PoolPlanner m_planner;
};

// Guards against a surge that does not get the available standby VMs.
TEST_F(PoolPlanTest, ASurgeTakesVmsFromStandby)
{
    addVms("pool", 3);
    addVms("other", 3);
    addVms("spare", 10);
    m_state.apply(accept(1, { step(20) }));
    const auto moves = plan();
    EXPECT_GE(count(moves, "spare", "pool"), 4);
    EXPECT_EQ(count(moves, "other", "pool"), 0) << "the other pool has its minimum";
}

// Guards against a surging pool that gets all VMs while another pool has none at all.
TEST_F(PoolPlanTest, APoolWithoutVmsComesBeforeASurgingOne)
{
    addVms("pool", 6);
    addVms("spare", 3);
    m_state.apply(accept(1, { step(100) }));
    const auto moves = plan();
    EXPECT_EQ(count(moves, "spare", "other"), 3) << "its minimum";
}

TEST_F(PoolPlanTest, IncomingVmsAreNotOrderedTwice)
{
    addVms("pool", 3);
    addVms("other", 3);
    addVms("spare", 10);
    m_state.apply(accept(1, { step(20) }));
    const auto first = plan();
    m_view.incomingVms["pool"] = static_cast<std::uint32_t>(first.size());
    EXPECT_TRUE(plan().empty());
}

// Guards against VMs that are moved back and forth with every short drop in demand.
TEST_F(PoolPlanTest, IdleVmsGoToStandbyOnlyAfterAWhile)
{
    addVms("pool", 10);
    addVms("other", 3);
    EXPECT_TRUE(plan(start).empty());
    EXPECT_TRUE(plan(start + 500ms).empty());
    EXPECT_EQ(count(plan(start + 5s), "pool", "spare"), 7);
}

TEST_F(PoolPlanTest, BusyVmsAreNotMoved)
{
    addVms("pool", 10, false);
    addVms("other", 3);
    plan(start);
    EXPECT_TRUE(plan(start + 5s).empty());
}

// Guards against repeating a move that the platform refused.
TEST_F(PoolPlanTest, ARefusedMoveIsNotPlannedAgain)
{
    addVms("pool", 3);
    addVms("other", 3);
    addVms("spare", 1);
    m_state.apply(accept(1, { step(20) }));
    ASSERT_EQ(plan().size(), 1U);
    m_planner.recordRefusal("spare6", "pool");
    EXPECT_TRUE(plan().empty());
}

// Guards against taking VMs from other pools for jobs that are too large for any VM.
TEST_F(PoolPlanTest, JobsThatFitNoVmCreateNoDemand)
{
    addVms("pool", 3);
    addVms("other", 3);
    addVms("spare", 10);
    m_state.apply(accept(1, { step(50, 400'000) }));
    EXPECT_TRUE(plan().empty());
    m_planner.addArrival(m_state, m_runTimes, *m_state.findJob(1), start);
    EXPECT_TRUE(plan().empty());
}

} // namespace
} // namespace crocuscove::jobs
