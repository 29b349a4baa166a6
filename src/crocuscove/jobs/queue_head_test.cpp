#include "crocuscove/jobs/queue_head.h"

#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>

#include <set>

namespace crocuscove::jobs {
namespace {

using namespace testing;

class QueueHeadTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_state.apply(PutConfiguration { configuration() });
        m_state.apply(RecordWorker { report("w1") });
    }

    /// Returns the only head.
    [[nodiscard]] QueueHead head() const
    {
        const SchedulingView view { m_state, m_runTimes, 1000,
            [this](const Worker& worker) { return !m_unusable.contains(worker.report.id); },
            [](const Worker&) { return 0.0; }, [](const Worker&, const TaskKey&) { return std::int64_t { 0 }; },
            [](const Worker&, const TaskKey&) { return std::int64_t { 0 }; } };
        const auto heads = findQueueHeads(view);
        EXPECT_EQ(heads.size(), 1U);
        return heads.empty() ? QueueHead {} : heads.front();
    }

    FleetState m_state;
    RunTimes m_runTimes;
    std::set<std::string> m_unusable;
};

// Guards against a log that can't tell a service without usable workers from one that is full.
TEST_F(QueueHeadTest, TheReasonTellsWhatIsMissing)
{
    m_state.apply(accept(1, { step(1) }));
    EXPECT_EQ(head().reason, WaitReason::NotPlanned);
    m_unusable = { "w1" };
    EXPECT_EQ(head().reason, WaitReason::NoWorker);
    m_unusable.clear();
    m_state.apply(accept(2, { step(1, 4000) }));
    m_state.apply(assign({ 2, 0, 0, 0 }, 1, m_state.findWorker("w1")->number));
    EXPECT_EQ(head().reason, WaitReason::NoRoom);
    m_state.apply(CancelJob { 1, 1000 });
    m_state.apply(accept(3, { step(1, 5000) }));
    EXPECT_EQ(head().reason, WaitReason::ExceedsWorkers);
    m_state.apply(CancelJob { 3, 1000 });
    StepSpec labelled = step(1);
    labelled.requiredLabel = "a";
    m_state.apply(accept(4, { labelled }));
    EXPECT_EQ(head().reason, WaitReason::NotAllowed);
}

// Guards against room that only appears to be there, as long-running tasks never give theirs back.
TEST_F(QueueHeadTest, LongRunningTasksLeaveNoRoom)
{
    StepSpec lasting = step(1, 3000);
    lasting.isLongRunning = true;
    m_state.apply(accept(1, { lasting }));
    m_state.apply(assign({ 1, 0, 0, 0 }, 1, m_state.findWorker("w1")->number));
    m_state.apply(accept(2, { step(1, 2000) }));
    EXPECT_EQ(head().reason, WaitReason::ExceedsWorkers);
}

TEST_F(QueueHeadTest, ALongRunningTaskIsTheHeadAndIsCounted)
{
    StepSpec lasting = step(3, 3000);
    lasting.isLongRunning = true;
    m_state.apply(accept(1, { step(1, 100) }));
    m_state.apply(accept(2, { lasting }));
    EXPECT_EQ(head().task.job, 2U);
    EXPECT_EQ(head().urgency, Urgency::LongRunning);
    EXPECT_EQ(head().waitingLongRunning, 3U);
    EXPECT_EQ(head().required, (Resources { 3000, 100, 0 }));
}

TEST_F(QueueHeadTest, AJobThatIsNotDueIsNoHead)
{
    AcceptJob timed = accept(1, { step(1) });
    timed.spec.repeatCount = 1;
    timed.spec.firstDueMs = 5000;
    m_state.apply(timed);
    m_state.apply(accept(2, { step(1) }));
    EXPECT_EQ(head().task.job, 2U);
}

} // namespace
} // namespace crocuscove::jobs
