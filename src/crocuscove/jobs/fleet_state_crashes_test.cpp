#include "crocuscove/base/codec.h"
#include "crocuscove/jobs/fleet_state.h"
#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace crocuscove::jobs {
namespace {

using namespace testing;

const TaskKey key { 1, 0, 0, 0 };
/// Time between the restarts of one worker.
constexpr std::int64_t restartPeriodMs = 3'200;

class FleetStateCrashesTest : public ::testing::Test {
protected:
    FleetStateCrashesTest()
    {
        m_state.apply(PutConfiguration { configuration() });
        for (std::size_t number = 0; number < 12; ++number) {
            m_state.apply(RecordWorker { report(workerId(number), m_nowMs) });
        }
    }

    [[nodiscard]] static std::string workerId(std::size_t number) { return "w" + std::to_string(number); }

    void assignTo(std::size_t number, const TaskKey& task)
    {
        const std::uint32_t run = m_state.findJob(task.job)->find(task)->run + 1;
        m_state.apply(assign(task, run, m_state.findWorker(workerId(number))->number));
    }

    /// The worker crashes under its tasks, and starts again at `restartedMs`.
    void restart(std::size_t number, std::int64_t restartedMs, bool isOfRack = false, bool isAttributed = false)
    {
        const Worker& worker = *m_state.findWorker(workerId(number));
        std::vector<CrashedRun> runs;
        for (const TaskKey& task : m_state.tasksOf(worker.number)) {
            runs.push_back({ task, m_state.findJob(task.job)->find(task)->run, isAttributed });
        }
        const RecordCrash crash = testing::crash(workerId(number), worker.report.incarnation, runs);
        m_state.apply(RecordReportedCrash { { crash, "pool", restartedMs, isOfRack } });
        m_state.apply(RecordWorker { report(workerId(number), restartedMs) });
    }

    /// The worker is removed because it no longer answers.
    void fallSilent(std::size_t number, bool isOfRack = false)
    {
        const Worker& worker = *m_state.findWorker(workerId(number));
        RecordCrash crash = testing::crash(
            workerId(number), worker.report.incarnation, { { key, m_state.findJob(1)->find(key)->run, false } }, false);
        crash.nowMs = m_nowMs;
        m_state.apply(RecordSuspectedCrash { crash, isOfRack });
        m_state.apply(RemoveWorker { worker.number });
    }

    /// A worker that fell silent is back as a later incarnation.
    void confirm(std::size_t number)
    {
        const UnconfirmedCrash known = m_state.unconfirmedCrashes().at(workerId(number));
        const RecordCrash crash { workerId(number), known.incarnation, known.runs, true, m_nowMs };
        m_state.apply(RecordReportedCrash { { crash, "pool", 0, false } });
        m_state.apply(RecordWorker { report(workerId(number), known.incarnation + 1) });
    }

    [[nodiscard]] std::uint32_t crashes() const
    {
        const auto found = m_state.crashes().find(key);
        return found == m_state.crashes().end() ? 0 : found->second.crashes;
    }

    /// Tells whether a job is active after all workers that restarted with others have reported.
    [[nodiscard]] bool isActive(JobId job = 1)
    {
        constexpr std::int64_t longAfter = std::numeric_limits<std::int64_t>::max() / 2;
        for (auto tasks = m_state.tasksToGiveUp(longAfter); !tasks.empty(); tasks = m_state.tasksToGiveUp(longAfter)) {
            m_state.apply(GiveUpDeadlyTask { tasks.front(), m_nowMs });
        }
        return m_state.findJob(job)->isActive();
    }

    FleetState m_state;
    std::int64_t m_nowMs = 1'000'000;
};

// Guards against a job that is given up because many workers were restarted at once, again and again, under its task.
TEST_F(FleetStateCrashesTest, RestartsOfManyWorkersAtOnceGiveUpNoJob)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t round = 0; round < maxExcusedCrashes; ++round) {
        m_nowMs += restartPeriodMs;
        assignTo(round % 7, key);
        for (std::size_t number = 0; number < 7; ++number) {
            restart(number, m_nowMs + static_cast<std::int64_t>(number) * 60);
        }
        ASSERT_TRUE(isActive()) << "round " << round;
        EXPECT_EQ(crashes(), 1U) << "the last one may still have been alone";
    }
}

// Guards against a deadly task that is never given up because others crash their workers too.
TEST_F(FleetStateCrashesTest, CrashesThatFollowEachOtherCloselyCount)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t round = 1; round <= maxCrashes; ++round) {
        ASSERT_TRUE(isActive());
        assignTo(0, key);
        for (std::size_t number = 0; number < 12; ++number) {
            m_nowMs += restartPeriodMs / 12;
            restart(number, m_nowMs);
        }
        EXPECT_EQ(crashes(), round);
    }
    EXPECT_FALSE(isActive());
}

// Guards against a job that crashes many workers at the same moment and is excused by the crashes of its own tasks.
TEST_F(FleetStateCrashesTest, CrashesThatAreAttributedToOneJobAreNoBurst)
{
    m_state.apply(accept(1, { step(7) }));
    for (std::uint32_t round = 1; round <= maxAttributedCrashes; ++round) {
        ASSERT_TRUE(isActive());
        m_nowMs += restartPeriodMs;
        for (std::uint32_t number = 0; number < 7; ++number) {
            assignTo(number, { 1, 0, 0, number });
        }
        for (std::size_t number = 0; number < 7 && isActive(); ++number) {
            restart(number, m_nowMs, false, true);
        }
    }
    EXPECT_FALSE(isActive());
}

// Guards against a job with tasks on all workers that is given up for restarts of most of them at once.
TEST_F(FleetStateCrashesTest, RestartsUnderAllTasksOfAJobDoNotGiveItUp)
{
    m_state.apply(accept(1, { step(12) }));
    for (std::uint32_t round = 1; round <= 2 * maxCrashes; ++round) {
        m_nowMs += restartPeriodMs;
        for (std::uint32_t number = 0; number < 12; ++number) {
            assignTo(number, { 1, 0, 0, number });
        }
        for (std::size_t number = 0; number < 12; ++number) {
            restart(number, m_nowMs + static_cast<std::int64_t>(number) * 30);
        }
        ASSERT_TRUE(isActive()) << "round " << round;
    }
}

// Guards against deadly tasks of several jobs that start, and crash their workers, in step without end.
TEST_F(FleetStateCrashesTest, DeadlyTasksInStepAreGivenUp)
{
    for (JobId job = 1; job <= 6; ++job) {
        m_state.apply(accept(job, { step(1) }));
    }
    std::uint32_t rounds = 0;
    for (; isActive() && rounds < 2 * maxExcusedCrashes; ++rounds) {
        m_nowMs += restartPeriodMs;
        for (std::uint32_t number = 0; number < 6; ++number) {
            if (m_state.findJob(number + 1)->isActive()) {
                assignTo(number, { number + 1, 0, 0, 0 });
            }
        }
        for (std::size_t number = 0; number < 6; ++number) {
            restart(number, m_nowMs + static_cast<std::int64_t>(number), false, true);
        }
    }
    EXPECT_LE(rounds, maxExcusedCrashes + maxAttributedCrashes);
    EXPECT_FALSE(isActive());
}

// Guards against a task that is given up for a last crash that is already known to be part of a burst.
TEST_F(FleetStateCrashesTest, ALastCrashInABurstGivesUpNoJob)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t crash = 1; crash < maxCrashes; ++crash) {
        m_nowMs += restartPeriodMs;
        assignTo(0, key);
        restart(0, m_nowMs);
    }
    m_nowMs += restartPeriodMs;
    assignTo(11, key);
    for (std::size_t number = 0; number < 12; ++number) {
        restart(number, m_nowMs + static_cast<std::int64_t>(number) * 20);
    }
    EXPECT_TRUE(isActive());
    assignTo(0, key);
    restart(0, m_nowMs + restartPeriodMs);
    EXPECT_FALSE(isActive()) << "the fourth that isn't part of one";
}

// Guards against a job that is given up for a restart of many workers, as its own worker is the first to report.
TEST_F(FleetStateCrashesTest, AJobIsGivenUpAfterTheOthersOfABurstHaveReported)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t crash = 1; crash <= maxCrashes; ++crash) {
        m_nowMs += restartPeriodMs;
        assignTo(0, key);
        restart(0, m_nowMs);
    }
    EXPECT_TRUE(m_state.isDeadly(key));
    const std::int64_t decidedMs = m_state.lostRuns().at(key).countedMs + giveUpDelay.count();
    EXPECT_TRUE(m_state.tasksToGiveUp(decidedMs - 1).empty());
    EXPECT_EQ(m_state.tasksToGiveUp(decidedMs), std::vector { key });
    EXPECT_EQ(m_state.tasksToGiveUp(decidedMs - 3'600'000), std::vector { key }) << "the time of day was set back";
    for (std::size_t number = 1; number < 7; ++number) {
        restart(number, m_nowMs + static_cast<std::int64_t>(number) * 60);
    }
    EXPECT_TRUE(isActive());
    EXPECT_FALSE(m_state.isDeadly(key));
    EXPECT_EQ(m_state.excusedCrashes(key), 1U);
    m_nowMs += restartPeriodMs;
    assignTo(0, key);
    restart(0, m_nowMs);
    EXPECT_FALSE(isActive());
    EXPECT_EQ(m_state.findJob(1)->finishedMs, m_nowMs);
}

// Guards against a job that is given up because the few workers of its service restart together, again and again.
TEST_F(FleetStateCrashesTest, RestartsOfMostOfFewWorkersGiveUpNoJob)
{
    for (std::size_t number = 4; number < 12; ++number) {
        m_state.apply(RemoveWorker { m_state.findWorker(workerId(number))->number });
    }
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t round = 1; round <= lostRunsBeforePause + maxExcusedCrashes; ++round) {
        m_nowMs += restartPeriodMs;
        assignTo(round % 3, key);
        for (std::size_t number = 0; number < 3; ++number) {
            restart(number, m_nowMs + static_cast<std::int64_t>(number) * 150);
        }
        ASSERT_TRUE(isActive()) << "round " << round;
    }
    m_nowMs += restartPeriodMs;
    assignTo(0, key);
    restart(0, m_nowMs);
    EXPECT_FALSE(isActive()) << "alone";
}

// Guards against tasks that start in step and crash their workers together, which excuse each other before they have
// waited.
TEST_F(FleetStateCrashesTest, CrashesInStepBeforeTheWaitCountOnFewWorkers)
{
    for (std::size_t number = 3; number < 12; ++number) {
        m_state.apply(RemoveWorker { m_state.findWorker(workerId(number))->number });
    }
    for (JobId job = 1; job <= 3; ++job) {
        m_state.apply(accept(job, { step(1) }));
    }
    for (std::uint32_t run = 1; run <= maxCrashes; ++run) {
        ASSERT_TRUE(isActive());
        m_nowMs += 2 * restartPeriodMs;
        for (std::uint32_t number = 0; number < 3; ++number) {
            assignTo(number, { number + 1, 0, 0, 0 });
            // They start apart from each other after the wait.
            const std::int64_t apartMs = run > lostRunsBeforePause ? 2'000 : 10;
            restart(number, m_nowMs + number * apartMs);
        }
    }
    for (JobId job = 1; job <= 3; ++job) {
        EXPECT_FALSE(isActive(job)) << job;
    }
}

// Guards against a job that was given up, and is active again when the log of an earlier version is applied.
TEST_F(FleetStateCrashesTest, ACrashInALogOfAnEarlierVersionEndsTheJobAtOnce)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t run = 1; run <= maxCrashes; ++run) {
        ASSERT_TRUE(m_state.findJob(1)->isActive());
        assignTo(0, key);
        const std::int64_t incarnation = m_state.findWorker(workerId(0))->report.incarnation;
        const RecordCrash crash = testing::crash(workerId(0), incarnation, { { key, run, false } });
        m_state.apply(RecordConfirmedCrash { crash, "pool", 0, false });
        m_state.apply(RecordWorker { report(workerId(0), incarnation + 1) });
    }
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Failed);
}

// Guards against times out of range in what workers send.
TEST_F(FleetStateCrashesTest, CrashesCountWhenTheStartOfTheSuccessorIsOutOfRange)
{
    constexpr auto latest = std::numeric_limits<std::int64_t>::max();
    JobId job = 10;
    for (const std::int64_t startedMs : { std::int64_t { 0 }, std::int64_t { -1 }, latest, latest - 1, -latest }) {
        const TaskKey task { ++job, 0, 0, 0 };
        m_state.apply(accept(job, { step(1) }));
        for (std::uint32_t round = 1; round <= maxCrashes; ++round) {
            assignTo(0, task);
            const std::int64_t incarnation = m_state.findWorker(workerId(0))->report.incarnation;
            const RecordCrash crash
                = testing::crash(workerId(0), incarnation, { { task, m_state.findJob(job)->find(task)->run, false } });
            m_state.apply(RecordReportedCrash { { crash, "pool", startedMs, false } });
            m_state.apply(RecordWorker { report(workerId(0), incarnation + 1) });
        }
        EXPECT_FALSE(isActive(job)) << startedMs;
    }
}

// Guards against a task that is started three times more after three crashes, as others of its racks crash at the same
// time under other tasks.
TEST_F(FleetStateCrashesTest, OnlyTheFirstOfSeveralCrashesOfRacksStaysUncounted)
{
    m_state.apply(accept(1, { step(1) }));
    for (const bool isOfRack : { true, true, false, false, false }) {
        ASSERT_TRUE(isActive());
        m_nowMs += restartPeriodMs;
        assignTo(0, key);
        restart(0, m_nowMs, isOfRack);
    }
    EXPECT_FALSE(isActive());
    EXPECT_EQ(m_state.crashes().at(key).lastRun, 5U);
}

// Guards against a job that is given up for its first ordinary crash after several racks of it have crashed.
TEST_F(FleetStateCrashesTest, CrashesOfRacksNeedTwoOthersToGiveUpAJob)
{
    m_state.apply(accept(1, { step(1) }));
    for (const bool isOfRack : { true, true, true, true, true, false }) {
        m_nowMs += restartPeriodMs;
        assignTo(0, key);
        restart(0, m_nowMs, isOfRack);
    }
    EXPECT_TRUE(isActive());
    EXPECT_EQ(crashes(), 1 + maxRackCrashes);
}

// Guards against a job that is given up because its racks crashed one after the other.
TEST_F(FleetStateCrashesTest, CrashesOfRacksAloneGiveUpNoJob)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t round = 0; round < 2 * maxCrashesPerTask; ++round) {
        m_nowMs += restartPeriodMs;
        assignTo(0, key);
        restart(0, m_nowMs, true);
    }
    EXPECT_TRUE(isActive());
    EXPECT_TRUE(m_state.crashes().empty());
}

// Guards against a task that starts without end while the workers that it has crashed are still away.
TEST_F(FleetStateCrashesTest, SilentWorkersCountAsLostRunsUntilTheyAnswer)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::size_t number = 0; number < lostRunsBeforePause; ++number) {
        EXPECT_EQ(m_state.nextStartMs(key), 0) << number;
        assignTo(number, key);
        fallSilent(number);
    }
    EXPECT_EQ(m_state.lostRuns().at(key).runs, lostRunsBeforePause);
    EXPECT_EQ(m_state.nextStartMs(key), m_nowMs + confirmationWait.count());
    FleetState copy;
    copy.restoreSnapshot(m_state.encodeSnapshot());
    EXPECT_EQ(copy.encodeSnapshot(), m_state.encodeSnapshot());
    EXPECT_EQ(copy.nextStartMs(key), m_state.nextStartMs(key));
    // Two have crashed, and one was only silent.
    confirm(0);
    EXPECT_EQ(m_state.nextStartMs(key), m_nowMs + confirmationWait.count()) << "two are still away";
    confirm(1);
    m_state.apply(RecordWorker { report(workerId(2), 1'000'000, 2) });
    EXPECT_EQ(crashes(), 2U);
    EXPECT_EQ(m_state.lostRuns().at(key).runs, 2U);
    EXPECT_EQ(m_state.nextStartMs(key), 0);
    m_state.apply(CancelJob { 1, m_nowMs });
    EXPECT_TRUE(m_state.lostRuns().empty());
}

// Guards against crashes of silent racks that leave no trace, so that tasks which crash the workers of a rack in step
// are started without a bound.
TEST_F(FleetStateCrashesTest, ACrashOfASilentRackIsRemembered)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::size_t number = 0; number < 2; ++number) {
        assignTo(number, key);
        fallSilent(number, true);
        confirm(number);
        EXPECT_EQ(crashes(), 0U);
        EXPECT_EQ(m_state.lostRuns().at(key).runs, number + 1);
    }
    assignTo(2, key);
    restart(2, m_nowMs);
    EXPECT_EQ(crashes(), 2U) << "of the two before another one, the second counts";
}

// Guards against a task that is started three times more after three workers have crashed under it, as most of the
// crashes were part of bursts of restarts.
TEST_F(FleetStateCrashesTest, ATaskThatHasLostFiveRunsIsGivenUpForTwoCrashesOfItsOwn)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t run = 1; run <= maxLostRuns; ++run) {
        ASSERT_TRUE(isActive()) << "run " << run;
        m_nowMs += 4 * restartPeriodMs;
        assignTo(0, key);
        const std::size_t restarted = run + minOrdinaryCrashes <= maxLostRuns ? 7 : 1;
        for (std::size_t number = 0; number < restarted; ++number) {
            restart(number, m_nowMs);
        }
    }
    EXPECT_FALSE(isActive());
}

// Guards against crashes that a node forgets, or counts twice, when it restarts with the snapshot of an earlier
// version.
TEST_F(FleetStateCrashesTest, ASnapshotThatHoldsOnlyNumbersOfCrashesLoads)
{
    const std::map<TaskKey, TaskCrashes> known { { key, { 3, 1, 3 } } };
    m_state.apply(accept(1, { step(1) }));
    for (int round = 0; round < 3; ++round) {
        assignTo(0, key);
        m_state.apply(ReleaseTask { key, m_state.findJob(1)->find(key)->run });
    }
    const std::map<std::string, Queue> queues { { "q", configuration().queues.front() } };
    m_state.restoreSnapshot(base::encode(
        std::tuple(m_state.configuration(), m_state.jobs(), m_state.workers(), m_state.waves(), m_state.nodes(), queues,
            m_state.vmOrderHolders(), WorkerNumber { 20 }, std::map<JobId, std::int64_t>(), known)));
    FleetState copy;
    copy.restoreSnapshot(m_state.encodeSnapshot());
    EXPECT_EQ(copy.encodeSnapshot(), m_state.encodeSnapshot());
    EXPECT_EQ(crashes(), 3U);
    assignTo(0, key);
    restart(0, m_nowMs + restartPeriodMs);
    EXPECT_FALSE(isActive());
}

} // namespace
} // namespace crocuscove::jobs
