#include "worker_session_testing.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace crocuscove::control {
namespace {

using http::testing::runUntil;
using testing::firstClockMs;
using testing::otherTask;
using testing::task;
using testing::workerId;
using testing::WorkerSessionTest;
using namespace std::chrono_literals;

// Guards against deadlines, and ends of leases, by a mixture of the clocks of two incarnations.
TEST_F(WorkerSessionTest, TheClockOfAnAnswerWithoutAnIncarnationCountsForNothing)
{
    reachWorker();
    m_worker.startClockOffsetMs = 1'000'000;
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.starts() == 1; }));
    const std::size_t taken = m_worker.orders().size();
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_worker.orders().size() > taken + 2; }));
    for (const auto& order : m_worker.orders()) {
        EXPECT_LT(order.leaseDeadlineMs(), firstClockMs + 100'000) << order.path;
    }
}

// Guards against further starts to a worker whose last answer shows that another incarnation is there.
TEST_F(WorkerSessionTest, NothingIsStartedAfterAnAnswerByAnotherClock)
{
    reachWorker();
    m_worker.restart();
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.starts() == 1; }));
    assign(otherTask);
    runFor(300ms);
    EXPECT_EQ(m_worker.starts(), 1U);
    EXPECT_FALSE(hasUsedWorker());
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task) && isFree(otherTask); }));
}

// Guards against a task that starts elsewhere while a later incarnation holds it under a deadline of the earlier one's
// clock, because that one is cut off before it has reported.
TEST_F(WorkerSessionTest, ALaterIncarnationThatIsCutOffKeepsItsTaskForTheLongestLease)
{
    useShortLeases();
    reachWorker();
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    runFor(150ms);
    m_worker.restart();
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(task)); }));
    runFor(20ms);
    m_worker.isSilent = true;
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(otherTask); }));
    EXPECT_TRUE(m_worker.isRunning(platform::taskName(task))) << "what ran on the earlier incarnation is free before";
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
}

// Guards against the same when the cut takes its answer to the start too.
TEST_F(WorkerSessionTest, ALaterIncarnationWhoseAnswerIsLostInACutKeepsItsTaskForTheLongestLease)
{
    useShortLeases();
    reachWorker();
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    runFor(150ms);
    m_worker.restart();
    m_worker.onRun = [this] {
        m_worker.isSilent = true;
        checkRuns();
    };
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(task)); }));
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(otherTask); }));
    EXPECT_TRUE(m_worker.isRunning(platform::taskName(task))) << "what ran on the earlier incarnation is free before";
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
}

// Guards against the same when that one has answered a renewal before it is cut off.
TEST_F(WorkerSessionTest, ALaterIncarnationThatIsCutOffAfterItsFirstListKeepsItsTaskForTheLongestLease)
{
    useShortLeases();
    // The earlier incarnation's lease ends after the list.
    m_options.taskLease = 1'500ms;
    reachWorker();
    m_worker.restart();
    m_worker.onListed = [this] { m_worker.isSilent = m_worker.hasMovedRun(); };
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isSilent; }));
    EXPECT_TRUE(m_worker.isRunning(platform::taskName(task)));
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
}

// Guards against a long-running task that isn't at work for the longest lease whenever its worker is lost with its
// start.
TEST_F(WorkerSessionTest, ALongRunningTaskWhoseStartGetsNoAnswerWaitsForTheOrdinaryLeaseOnly)
{
    constexpr jobs::TaskKey lasting { 3, 0, 0, 0 };
    jobs::StepSpec step = jobs::testing::step(1);
    step.isLongRunning = true;
    apply(jobs::testing::accept(lasting.job, { step }));
    useShortLeases();
    reachWorker();
    m_worker.holdsStarts = true;
    assign(lasting);
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.starts() == 2; }));
    m_worker.isSilent = true;
    const auto isWaiting
        = [&] { return m_state.findJob(lasting.job)->find(lasting)->phase == jobs::TaskPhase::Waiting; };
    EXPECT_TRUE(runUntil(m_loop, isWaiting));
    EXPECT_FALSE(isFree(task));
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
}

// Guards against a start that is forgotten with the earlier incarnation because a stop was confirmed before it.
TEST_F(WorkerSessionTest, AStartThatIsOnItsWayWhenAStopIsConfirmedStaysUnsettled)
{
    reachWorker();
    m_worker.holdsStarts = true;
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.starts() == 1; }));
    m_session->stop(task, 1, "test");
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.stops() >= 1; }));
    runFor(200ms);
    EXPECT_FALSE(isFree(task)) << "the start may still be carried out";
    m_worker.restart();
    receiveReport();
    runFor(20ms);
    EXPECT_FALSE(m_state.unsettledStarts().empty() && !isFree(task));
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
}

// Guards against a run that is forgotten, and starts elsewhere, because the later incarnation's time of day was set
// back.
TEST_F(WorkerSessionTest, AnIncarnationWithAnEarlierStartRunsNoTaskTwice)
{
    reachWorker();
    restartWithEarlierStart();
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
    EXPECT_GE(m_worker.stops(), 1U);
}

// Guards against a worker that gets no tasks until its next start because its time of day was set back.
TEST_F(WorkerSessionTest, AnIncarnationWithAnEarlierStartGetsTasks)
{
    reachWorker();
    restartWithEarlierStart();
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_state.findWorker(std::string(workerId)) == nullptr; }));
    receiveReport();
    ASSERT_TRUE(runUntil(m_loop, [this] { return hasUsedWorker(); }));
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    jobs::WorkerReport delayed = report();
    delayed.incarnation = m_firstIncarnation;
    delayed.sequence = 9;
    receive(delayed);
    runFor(100ms);
    EXPECT_FALSE(isFree(otherTask));
    EXPECT_TRUE(hasUsedWorker());
}

// Guards against the same when that one is cut off right after it was seen.
TEST_F(WorkerSessionTest, AnIncarnationWithAnEarlierStartThatWasCutOffGetsTasks)
{
    useShortLeases();
    m_options.maxTaskLease = 1'000ms;
    m_worker.maxLeaseMs = m_options.maxTaskLease.count();
    reachWorker();
    m_worker.onListed = [this] { m_worker.isSilent = m_worker.hasMovedRun(); };
    restartWithEarlierStart();
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isSilent; }));
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_state.findWorker(std::string(workerId)) == nullptr; }));
    m_worker.onListed = nullptr;
    m_worker.isSilent = false;
    receiveReport();
    EXPECT_TRUE(runUntil(m_loop, [this] { return hasUsedWorker(); }));
}

// Guards against the same when the answer to the question whether the worker has left is the first to show it.
TEST_F(WorkerSessionTest, AnIncarnationWithAnEarlierStartThatRefutesItsLeavingRunsNoTaskTwice)
{
    reachWorker();
    restartWithEarlierStart();
    m_session->checkLeave();
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task); }));
    receiveReport();
    EXPECT_TRUE(runUntil(m_loop, [this] { return hasUsedWorker(); }));
}

// Guards against a task that starts elsewhere while its worker, which is cut off, keeps it under the lease that an
// order for the incarnation before has given it.
TEST_F(WorkerSessionTest, AnOrderForTheEarlierIncarnationMayHaveExtendedTheLease)
{
    useShortLeases();
    reachWorker();
    m_worker.restart();
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(task)); }));
    receiveReport();
    ASSERT_TRUE(runUntil(m_loop, [this] { return isFree(task) && hasUsedWorker(); }));
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    m_worker.isSilent = true;
    EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(otherTask); }));
}

// Guards against an order for an earlier incarnation that is carried out by a later one, of which the leader knows
// already.
TEST_F(WorkerSessionTest, ALaterIncarnationRefusesADelayedOrderForTheEarlierOne)
{
    reachWorker();
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.starts() == 1; }));
    const std::vector<platform::testing::FakeWorker::Order> delayed = m_worker.orders();
    m_worker.restart();
    receiveReport();
    ASSERT_TRUE(runUntil(m_loop, [this] { return isSettled() && hasUsedWorker(); }));
    for (const auto& order : delayed) {
        EXPECT_EQ(m_worker.carryOut(order), 409) << order.path;
    }
}

// Guards against an end on a later incarnation that is forgotten by the number of an end on the earlier one, and whose
// task runs again.
TEST_F(WorkerSessionTest, ARenewalAfterSilenceForgetsNoEnds)
{
    reachWorker();
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    m_worker.endRun(platform::taskName(otherTask), "done");
    const auto isForgotten = [](const auto& order) { return order.lastRecordedEnd() == 1; };
    ASSERT_TRUE(runUntil(m_loop, [&] { return std::ranges::any_of(m_worker.orders(), isForgotten); }));
    m_worker.isSilent = true;
    runFor(100ms);
    m_worker.restart();
    const std::size_t taken = m_worker.orders().size();
    m_worker.isSilent = false;
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_worker.orders().size() > taken; }));
    receiveReport();
    ASSERT_TRUE(runUntil(m_loop, [&] { return hasUsedWorker(); }));
    EXPECT_TRUE(std::ranges::none_of(
        m_worker.orders().begin() + static_cast<std::ptrdiff_t>(taken), m_worker.orders().end(), isForgotten));
}

// Guards against a task that is given up for crashes of incarnations that never ran it.
TEST_F(WorkerSessionTest, ARunThatALaterIncarnationAcceptedIsNoSuspectOfTheCrashBefore)
{
    reachWorker();
    assign(otherTask);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(otherTask)); }));
    runFor(100ms);
    m_worker.restart();
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(task)); }));
    runFor(20ms);
    receiveReport();
    ASSERT_EQ(m_crashes.size(), 1U);
    ASSERT_EQ(m_crashes.front().runs.size(), 1U);
    EXPECT_EQ(m_crashes.front().runs.front().task, otherTask);
}

// Guards against a task that is stopped because a row of another writer names a run of it that nobody has ordered.
TEST_F(WorkerSessionTest, ARunThatNobodyHasOrderedIsNotStopped)
{
    reachWorker();
    assign(task);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(task)); }));
    m_worker.foreignRow = nlohmann::json::array({ platform::taskName(task), 7, "", 100, 0 });
    const std::size_t renewals = m_worker.renewals();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_worker.renewals() >= renewals + 3; }));
    EXPECT_EQ(m_worker.stops(), 0U);
    EXPECT_TRUE(m_worker.isRunning(platform::taskName(task)));
}

// Guards against a list of runs that is taken for the known incarnation's though it doesn't say whose it is.
TEST_F(WorkerSessionTest, AListWithoutAnIncarnationProvesNothing)
{
    m_worker.hidesIncarnation = true;
    apply(jobs::RecordWorker { report() });
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.renewals() >= 2; }));
    EXPECT_FALSE(hasUsedWorker());
    m_worker.hidesIncarnation = false;
    EXPECT_TRUE(runUntil(m_loop, [this] { return hasUsedWorker(); }));
}

enum class ReportTime { AtOnce, Soon, Never };

/// Parameters: the order at which the later incarnation begins, whether it takes that order itself, and its report.
class WorkerSessionRestartTest : public WorkerSessionTest,
                                 public ::testing::WithParamInterface<std::tuple<int, bool, ReportTime>> {
protected:
    void restartAtParameter()
    {
        const auto [order, isBefore, reportTime] = GetParam();
        m_worker.restartAt(static_cast<std::size_t>(order), isBefore);
        m_worker.onRestart = [this, when = reportTime] {
            if (when != ReportTime::Never) {
                const base::Milliseconds delay(when == ReportTime::AtOnce ? 0 : 20);
                m_reportTimer = m_loop.runAt(base::monotonicNow() + delay, [this] { receiveReport(); });
            }
        };
    }

    void expectOneRun()
    {
        EXPECT_TRUE(runUntil(m_loop, [this] { return isFree(task) || isSettled() || HasFailure(); }));
        runFor(100ms);
    }

    http::Timer m_reportTimer;
};

// Guards against two runs of a task when a start is accepted by a later incarnation that the leader doesn't know yet.
TEST_P(WorkerSessionRestartTest, AStartThatALaterIncarnationAcceptsRunsNoTaskTwice)
{
    restartAtParameter();
    apply(jobs::RecordWorker { report() });
    ASSERT_TRUE(
        runUntil(m_loop, [this] { return m_worker.renewals() >= 2 || m_worker.incarnation() != m_firstIncarnation; }));
    propose(jobs::testing::assign(task, 1, m_number), nullptr);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_worker.incarnation() != m_firstIncarnation; }));
    const auto [order, isBefore, reportTime] = GetParam();
    if (order == 3 && isBefore) {
        EXPECT_TRUE(runUntil(m_loop, [this] { return m_worker.hasMovedRun(); })) << "the third order is the start";
    }
    expectOneRun();
}

INSTANTIATE_TEST_SUITE_P(BetweenAnyTwoOrders, WorkerSessionRestartTest,
    ::testing::Combine(::testing::Range(1, 7), ::testing::Bool(),
        ::testing::Values(ReportTime::AtOnce, ReportTime::Soon, ReportTime::Never)));

} // namespace
} // namespace crocuscove::control
