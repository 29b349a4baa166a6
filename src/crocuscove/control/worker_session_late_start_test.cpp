// Starts without an answer that a later incarnation of the worker carries out.

#include "worker_session_testing.h"

namespace crocuscove::control {
namespace {

using http::testing::runUntil;
using testing::otherTask;
using testing::task;
using namespace std::chrono_literals;

/// A worker that leaves the first start without an answer, and whose next incarnation carries it out.
class LateStartTest : public testing::WorkerSessionTest {
protected:
    LateStartTest()
    {
        useShortLeases();
        m_options.maxOrderDelay = 3'500ms;
        m_options.maxTaskLease = 1'000ms;
        m_worker.maxLeaseMs = m_options.maxTaskLease.count();
    }

    /// The next start of the task gets no answer.
    void sendWithoutAnswer(const jobs::TaskKey& key)
    {
        m_worker.holdsStarts = true;
        const std::size_t starts = m_worker.starts();
        assign(key);
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_worker.starts() > starts; }));
        m_late = m_worker.orders().back();
        m_lateUntil = base::monotonicNow() + m_options.maxOrderDelay;
        m_worker.holdsStarts = false;
    }

    /// The same, and the task runs once the start was sent again.
    void startWithoutAnswer(const jobs::TaskKey& key)
    {
        sendWithoutAnswer(key);
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_worker.isRunning(platform::taskName(key)); }));
        listOnce();
    }

    /// The worker starts again and reports, the start is settled there, and the next run of the task begins there.
    void runAgainOnNextIncarnation()
    {
        m_worker.restart();
        receiveReport();
        ASSERT_TRUE(runUntil(m_loop, [this] { return isFree(task) && isSettled() && hasUsedWorker(); }));
        startAgainHere(task);
        listOnce();
    }

    /// Waits for a list that was requested from now on.
    void listOnce()
    {
        const std::size_t renewals = m_worker.renewals();
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_worker.renewals() > renewals + 1; }));
    }

    /// The worker is cut off, starts again, and takes the first start at the last moment.
    void cutOffAndCarryOutLate()
    {
        m_worker.isSilent = true;
        m_worker.restart();
        ASSERT_TRUE(runUntil(m_loop, [&] { return base::monotonicNow() >= m_lateUntil - 100ms; }));
        ASSERT_EQ(m_worker.carryOut(m_late), 200);
        checkRuns();
    }

    /// The task is held, until what the late start has begun has ended at a worker that doesn't come back.
    void expectHeld(const jobs::TaskKey& key)
    {
        EXPECT_FALSE(isFree(key));
        EXPECT_TRUE(runUntil(m_loop, [&] { return isFree(key); }));
    }

    platform::testing::FakeWorker::Order m_late;
    /// The first start may be carried out until then.
    base::MonotonicTime m_lateUntil;
};

// Guards against two runs of a task when its start was sent again, accepted and listed, and a later incarnation that is
// cut off carries out the first one.
TEST_F(LateStartTest, AStartThatWasListedIsCarriedOutByALaterIncarnation)
{
    reachWorker();
    startWithoutAnswer(task);
    cutOffAndCarryOutLate();
    expectHeld(task);
}

// Guards against the same for a long-running task.
TEST_F(LateStartTest, AStartOfALongRunningTaskIsCarriedOutByALaterIncarnation)
{
    addLongRunningTask();
    reachWorker();
    startWithoutAnswer(testing::longRunningTask);
    cutOffAndCarryOutLate();
    expectHeld(testing::longRunningTask);
}

// Guards against a long-running task that isn't at work for longer than its users are promised when its worker is lost.
TEST_F(LateStartTest, ALongRunningTaskWaitsForLessThanTheLongestLease)
{
    m_options.maxTaskLease = 20'000ms;
    addLongRunningTask();
    reachWorker();
    startWithoutAnswer(task);
    startWithoutAnswer(testing::longRunningTask);
    m_worker.isSilent = true;
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(testing::longRunningTask); }));
    EXPECT_FALSE(isFree(task));
}

// Guards against the same when another leader, which has sent nothing yet, inherits the task.
TEST_F(LateStartTest, ANextLeaderKnowsOfAStartWithoutAnswer)
{
    reachWorker();
    startWithoutAnswer(task);
    beginTerm();
    ASSERT_TRUE(runUntil(m_loop, [this] { return hasUsedWorker(); }));
    listOnce();
    cutOffAndCarryOutLate();
    expectHeld(task);
}

// Guards against the same when that leader never reaches the worker, and got its state as a snapshot.
TEST_F(LateStartTest, ANextLeaderThatNeverReachesTheWorkerKnowsOfAStartWithoutAnswer)
{
    reachWorker();
    startWithoutAnswer(task);
    m_worker.isSilent = true;
    m_session.reset();
    jobs::FleetState restarted;
    restarted.restoreSnapshot(m_state.encodeSnapshot());
    m_state = std::move(restarted);
    beginTerm();
    cutOffAndCarryOutLate();
    expectHeld(task);
}

// Guards against the same when the run has ended and the task's next one is on the same worker.
TEST_F(LateStartTest, AStartOfAnEarlierRunOnTheSameWorkerIsCarriedOutByALaterIncarnation)
{
    m_options.maxOrderDelay = 4'500ms;
    reachWorker();
    startWithoutAnswer(task);
    m_worker.endRun(platform::taskName(task), "stopped");
    ASSERT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
    startAgainHere(task);
    listOnce();
    cutOffAndCarryOutLate();
    expectHeld(task);
}

// Guards against the same when a second incarnation has reported, and the third one carries the start out.
TEST_F(LateStartTest, AStartIsCarriedOutByTheSecondIncarnationAfter)
{
    m_options.maxOrderDelay = 4'500ms;
    reachWorker();
    startWithoutAnswer(task);
    runAgainOnNextIncarnation();
    cutOffAndCarryOutLate();
    expectHeld(task);
}

// Guards against the same when the second incarnation has reported before the start's answer was given up.
TEST_F(LateStartTest, AStartInFlightIsCarriedOutByTheSecondIncarnationAfter)
{
    m_options.maxOrderDelay = 4'500ms;
    reachWorker();
    sendWithoutAnswer(task);
    runAgainOnNextIncarnation();
    cutOffAndCarryOutLate();
    expectHeld(task);
}

// Guards against work that waits longer than its lease although no start can be on its way any more.
TEST_F(LateStartTest, AStartThatCanNoLongerArriveHoldsNothing)
{
    m_options.maxOrderDelay = 800ms;
    m_options.maxTaskLease = 20'000ms;
    reachWorker();
    startWithoutAnswer(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return base::monotonicNow() > m_lateUntil; }));
    listOnce();
    m_worker.isSilent = true;
    const auto silentAt = base::monotonicNow();
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
    EXPECT_LT(base::monotonicNow(), silentAt + m_options.maxTaskLease);
}

// Guards against tasks that wait for the start of another one.
TEST_F(LateStartTest, OnlyTheTaskWhoseStartMayArriveWaits)
{
    m_options.maxOrderDelay = 20'000ms;
    reachWorker();
    startWithoutAnswer(task);
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    listOnce();
    m_worker.isSilent = true;
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(otherTask); }));
    EXPECT_FALSE(isFree(task));
}

} // namespace
} // namespace crocuscove::control
