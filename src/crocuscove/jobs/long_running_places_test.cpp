#include "crocuscove/jobs/long_running_places.h"

#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>

#include <set>

namespace crocuscove::jobs {
namespace {

using namespace testing;

class LongRunningPlacesTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_state.apply(PutConfiguration { configuration() });
        for (const char* id : { "w1", "w2", "w3" }) {
            m_state.apply(RecordWorker { report(id) });
        }
    }

    static StepSpec lasting(std::uint32_t tasks, std::int64_t cpuMilli)
    {
        StepSpec result = step(tasks, cpuMilli);
        result.isLongRunning = true;
        return result;
    }

    void start(const TaskKey& key, const std::string& worker)
    {
        m_state.apply(assign(key, 1, m_state.findWorker(worker)->number));
    }

    [[nodiscard]] WithoutPlace count(const std::set<std::string>& closed) const
    {
        return countWithoutPlace(
            { m_state, "pool", 1000, [&](const Worker& worker) { return !closed.contains(worker.report.id); } });
    }

    FleetState m_state;
};

TEST_F(LongRunningPlacesTest, TasksOfClosedWorkersNeedAPlaceElsewhere)
{
    m_state.apply(accept(1, { lasting(3, 3000) }));
    start({ 1, 0, 0, 0 }, "w1");
    start({ 1, 0, 0, 1 }, "w2");
    start({ 1, 0, 0, 2 }, "w3");
    EXPECT_EQ(count({}).total(), 0U);
    EXPECT_EQ(count({ "w1" }).running, 1U);
    m_state.apply(CancelJob { 1, 1000 });
    EXPECT_EQ(count({ "w1" }).total(), 0U);
}

TEST_F(LongRunningPlacesTest, TasksThatWaitHaveTheFirstPlaces)
{
    m_state.apply(accept(1, { lasting(4, 3000) }));
    start({ 1, 0, 0, 0 }, "w1");
    start({ 1, 0, 0, 1 }, "w2");
    EXPECT_EQ(count({}).waiting, 1U);
    EXPECT_EQ(count({ "w1" }).waiting, 1U);
    EXPECT_EQ(count({ "w1" }).running, 1U);
}

TEST_F(LongRunningPlacesTest, SmallerTasksTakeNoPlace)
{
    m_state.apply(accept(1, { step(12) }));
    for (const std::uint32_t index : { 0, 1, 2, 3 }) {
        start({ 1, 0, 0, index }, "w1");
    }
    m_state.apply(accept(2, { lasting(1, 4000) }));
    EXPECT_EQ(count({ "w2", "w3" }).total(), 0U);
}

TEST_F(LongRunningPlacesTest, TheLimitPerWorkerAndTheLabelCount)
{
    StepSpec limited = lasting(3, 100);
    limited.maxPerWorker = 1;
    StepSpec labelled = lasting(1, 100);
    labelled.requiredLabel = "a";
    m_state.apply(accept(1, { limited, labelled }));
    EXPECT_EQ(count({}).waiting, 1U) << "no worker has the label";
    start({ 1, 0, 0, 0 }, "w1");
    EXPECT_EQ(count({ "w3" }).waiting, 2U) << "one more of the limited step fits on w2";
}

// Guards against a wave that never goes on because a task waits that no worker could hold.
TEST_F(LongRunningPlacesTest, ATaskWithoutAnyPlaceHoldsUpNoMaintenance)
{
    m_state.apply(accept(1, { lasting(3, 3000) }));
    start({ 1, 0, 0, 0 }, "w1");
    start({ 1, 0, 0, 1 }, "w2");
    start({ 1, 0, 0, 2 }, "w3");
    m_state.apply(accept(2, { lasting(1, 5000) }));
    EXPECT_EQ(decideClosing(count({}), count({ "w1" }), true), Closing::WithoutPlaces);
    EXPECT_EQ(decideClosing(count({}), count({ "w1" }), false), Closing::No);
}

// Guards against maintenance that takes the place of a task that waits.
TEST_F(LongRunningPlacesTest, ATaskThatWaitsKeepsItsPlace)
{
    m_state.apply(accept(1, { lasting(3, 3000) }));
    start({ 1, 0, 0, 0 }, "w1");
    start({ 1, 0, 0, 1 }, "w2");
    EXPECT_EQ(decideClosing(count({}), count({ "w3" }), true), Closing::No);
    m_state.apply(CancelJob { 1, 1000 });
    EXPECT_EQ(decideClosing(count({}), count({ "w3" }), false), Closing::WithPlaces);
}

// Guards against a VM that is closed and opened in turn, as one of its tasks may not be away while the other is.
TEST_F(LongRunningPlacesTest, OnlyTasksThatMayAllBeAwayAreInterrupted)
{
    StepSpec pair = lasting(2, 1000);
    m_state.apply(accept(1, { pair }));
    start({ 1, 0, 0, 0 }, "w1");
    EXPECT_TRUE(mayAllBeInterrupted(m_state, m_state.findWorker("w1")->number));
    start({ 1, 0, 0, 1 }, "w1");
    EXPECT_FALSE(mayAllBeInterrupted(m_state, m_state.findWorker("w1")->number));
    pair.mayInterrupt = 2;
    m_state.apply(accept(2, { pair }));
    start({ 2, 0, 0, 0 }, "w2");
    start({ 2, 0, 0, 1 }, "w2");
    EXPECT_TRUE(mayAllBeInterrupted(m_state, m_state.findWorker("w2")->number));
}

} // namespace
} // namespace crocuscove::jobs
