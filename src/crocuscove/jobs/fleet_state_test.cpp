#include "crocuscove/jobs/fleet_state.h"

#include "crocuscove/base/codec.h"
#include "crocuscove/base/random.h"
#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <tuple>

namespace crocuscove::jobs {
namespace {

using namespace testing;

class FleetStateTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_state.apply(PutConfiguration { configuration() });
        m_state.apply(RecordWorker { report("w1") });
        m_worker = m_state.findWorker("w1")->number;
    }

    /// Starts tasks on the worker w1, which then crashes under them and comes back.
    void crashUnder(const std::vector<TaskKey>& keys, bool isAttributed)
    {
        std::vector<CrashedRun> runs;
        for (const TaskKey& key : keys) {
            const std::uint32_t run = task(key).run + 1;
            m_state.apply(assign(key, run, m_worker));
            runs.push_back({ key, run, isAttributed });
        }
        const std::int64_t incarnation = m_state.findWorker("w1")->report.incarnation;
        m_state.apply(crash("w1", incarnation, runs));
        m_state.apply(RecordWorker { report("w1", incarnation + 1) });
        m_worker = m_state.findWorker("w1")->number;
    }

    [[nodiscard]] TaskCrashes crashesOf(const TaskKey& key) const
    {
        const auto crashes = m_state.crashes().find(key);
        return crashes == m_state.crashes().end() ? TaskCrashes {} : crashes->second;
    }

    [[nodiscard]] const Task& task(const TaskKey& key) const { return *m_state.findJob(key.job)->find(key); }

    FleetState m_state;
    WorkerNumber m_worker = 0;
};

// Guards against a delayed older configuration that overwrites a newer one.
TEST_F(FleetStateTest, AnOlderConfigurationIsIgnored)
{
    m_state.apply(PutConfiguration { configuration(5) });
    m_state.apply(PutConfiguration { configuration(4) });
    EXPECT_EQ(m_state.configuration().version, 5U);
}

// Guards against a job that is started twice because the client sent it again.
TEST_F(FleetStateTest, AJobIsAcceptedOnce)
{
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign({ 1, 0, 0, 0 }, 1, m_worker));
    m_state.apply(accept(1, { step(1) }));
    EXPECT_EQ(task({ 1, 0, 0, 0 }).phase, TaskPhase::Assigned);
}

// Guards against a second assignment of a task, over capacity, with an old run number, or before its dependencies.
TEST_F(FleetStateTest, AnAssignmentThatDoesNotFitChangesNothing)
{
    StepSpec second = step(1);
    second.dependencies = { 0 };
    m_state.apply(accept(1, { step(5), second }));
    m_state.apply(assign({ 1, 0, 1, 0 }, 1, m_worker));
    EXPECT_EQ(task({ 1, 0, 1, 0 }).phase, TaskPhase::Waiting) << "its dependency is not done";
    for (std::uint32_t index = 0; index < 5; ++index) {
        m_state.apply(assign({ 1, 0, 0, index }, 1, m_worker));
    }
    EXPECT_EQ(m_state.findWorker(m_worker)->assignedTasks, 4U) << "four tasks of one core fit";
    m_state.apply(assign({ 1, 0, 0, 0 }, 2, m_worker));
    EXPECT_EQ(task({ 1, 0, 0, 0 }).run, 1U);
}

TEST_F(FleetStateTest, AssignmentsOfOneCommandAreAtomic)
{
    m_state.apply(accept(1, { step(5) }));
    AssignTasks all;
    for (std::uint32_t index = 0; index < 5; ++index) {
        all.assignments.push_back({ { 1, 0, 0, index }, 1, m_worker });
    }
    m_state.apply(all);
    EXPECT_EQ(m_state.findWorker(m_worker)->assignedTasks, 0U);
}

// Guards against counting a run twice when its end is reported again, and against the late end of an earlier run.
TEST_F(FleetStateTest, AnEndIsCountedOnce)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 1, m_worker));
    m_state.apply(ended(m_worker, 1, key, 1, TaskEndReason::Failed));
    m_state.apply(ended(m_worker, 1, key, 1, TaskEndReason::Failed));
    EXPECT_EQ(task(key).failures, 1U);
    m_state.apply(assign(key, 2, m_worker));
    m_state.apply(ended(m_worker, 2, key, 1, TaskEndReason::Done));
    EXPECT_EQ(task(key).phase, TaskPhase::Assigned);
    m_state.apply(ended(m_worker, 3, key, 2, TaskEndReason::Done));
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Done);
}

// Guards against a job that fails because its runs were stopped or their workers were lost.
TEST_F(FleetStateTest, OnlyFailedRunsCountAsAttempts)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    std::uint64_t number = 0;
    for (const TaskEndReason kind :
        { TaskEndReason::Stopped, TaskEndReason::LeaseExpired, TaskEndReason::GangBroken, TaskEndReason::Failed }) {
        const std::uint32_t run = task(key).run + 1;
        m_state.apply(assign(key, run, m_worker));
        m_state.apply(ended(m_worker, ++number, key, run, kind));
    }
    EXPECT_TRUE(m_state.findJob(1)->isActive());
    m_state.apply(assign(key, 5, m_worker));
    m_state.apply(ended(m_worker, ++number, key, 5, TaskEndReason::Failed));
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Failed);
}

// Guards against a long-running task that is not restarted after it ended.
TEST_F(FleetStateTest, ALongRunningTaskWaitsAgainAfterAnyEnd)
{
    StepSpec longRunningStep = step(1);
    longRunningStep.isLongRunning = true;
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { longRunningStep }));
    for (std::uint32_t run = 1; run <= 4; ++run) {
        m_state.apply(assign(key, run, m_worker));
        m_state.apply(ended(m_worker, run, key, run, run % 2 == 0 ? TaskEndReason::Done : TaskEndReason::Failed));
        EXPECT_EQ(task(key).phase, TaskPhase::Waiting);
    }
    EXPECT_TRUE(m_state.findJob(1)->isActive());
}

// Guards against a job that runs although its cancelling was applied before the job itself.
TEST_F(FleetStateTest, AJobThatIsAcceptedAfterItsCancellingIsCancelled)
{
    m_state.apply(CancelJob { 1, 1500 });
    FleetState copy;
    copy.restoreSnapshot(m_state.encodeSnapshot());
    copy.apply(accept(1, { step(1) }));
    EXPECT_EQ(copy.findJob(1)->phase, JobPhase::Cancelled);
    EXPECT_TRUE(copy.activeJobs().at("q").empty());
    copy.apply(assign({ 1, 0, 0, 0 }, 1, m_worker));
    EXPECT_EQ(copy.findWorker(m_worker)->assignedTasks, 0U);
}

// Guards against a log of an earlier version that leads to another state than it did there.
TEST_F(FleetStateTest, ACancellingOfAnEarlierVersionLeavesALaterJobAlone)
{
    m_state.apply(CancelAcceptedJob { 1, 1500 });
    m_state.apply(accept(1, { step(1) }));
    EXPECT_TRUE(m_state.findJob(1)->isActive());
    m_state.apply(CancelAcceptedJob { 1, 1600 });
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Cancelled);
}

// Guards against cancellings of unknown jobs that are kept forever or without a bound, or push out the latest one.
TEST_F(FleetStateTest, EarlyCancellingsAreBoundedAndForgotten)
{
    for (JobId id = 1; id <= maxEarlyCancels + 1; ++id) {
        m_state.apply(CancelJob { id, 1500 + static_cast<std::int64_t>(id) });
    }
    EXPECT_EQ(m_state.earlyCancels().size(), maxEarlyCancels);
    EXPECT_FALSE(m_state.earlyCancels().contains(1));
    EXPECT_TRUE(m_state.earlyCancels().contains(maxEarlyCancels + 1));
    m_state.apply(PruneJobs { 20'000 });
    EXPECT_TRUE(m_state.earlyCancels().empty());
}

// Guards against reusing the capacity of a cancelled task while it still runs.
TEST_F(FleetStateTest, ACancelledTaskKeepsItsCapacityUntilItsEnd)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 1, m_worker));
    m_state.apply(CancelAcceptedJob { 1, 1500 });
    EXPECT_EQ(m_state.findWorker(m_worker)->reserved.cpuMilli, 1000);
    m_state.apply(assign(key, 2, m_worker));
    EXPECT_EQ(task(key).run, 1U) << "a cancelled job starts nothing";
    m_state.apply(ended(m_worker, 1, key, 1, TaskEndReason::Stopped));
    EXPECT_EQ(m_state.findWorker(m_worker)->reserved.cpuMilli, 0);
}

// Guards against tasks that stay assigned to a worker that restarted, and against late reports of its old incarnation.
TEST_F(FleetStateTest, ANewIncarnationFreesTheTasksOfTheOldOne)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 1, m_worker));
    m_state.apply(RecordWorker { report("w1", 2) });
    EXPECT_EQ(task(key).phase, TaskPhase::Waiting);
    m_state.apply(RecordWorker { report("w1", 1, 9) });
    EXPECT_EQ(m_state.findWorker("w1")->report.incarnation, 2);
}

// Guards against a late or later report with the state ready that overrides the state draining.
TEST_F(FleetStateTest, ADrainingWorkerStaysDraining)
{
    WorkerReport draining = report("w1", 1, 5);
    draining.isDraining = true;
    m_state.apply(RecordWorker { draining });
    m_state.apply(RecordWorker { report("w1", 1, 4) });
    m_state.apply(RecordWorker { report("w1", 1, 6) });
    EXPECT_TRUE(m_state.findWorker("w1")->report.isDraining);
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign({ 1, 0, 0, 0 }, 1, m_worker));
    EXPECT_EQ(task({ 1, 0, 0, 0 }).phase, TaskPhase::Waiting);
}

// Guards against a delayed report that brings a worker back which was removed, or makes it ready after it has drained.
TEST_F(FleetStateTest, ADelayedReportBringsNoRemovedWorkerBack)
{
    WorkerReport draining = report("w1", 2, 5);
    draining.isDraining = true;
    m_state.apply(RecordWorker { draining });
    m_state.apply(RemoveWorker { m_state.findWorker("w1")->number });
    m_state.apply(RecordWorker { report("w1", 2, 4) });
    EXPECT_EQ(m_state.findWorker("w1"), nullptr) << "an older report";
    m_state.apply(RecordWorker { report("w1", 1, 9) });
    EXPECT_EQ(m_state.findWorker("w1"), nullptr) << "an earlier incarnation";
    m_state.apply(RecordWorker { report("w1", 2, 6) });
    ASSERT_NE(m_state.findWorker("w1"), nullptr) << "it was only silent";
    EXPECT_TRUE(m_state.findWorker("w1")->report.isDraining);
}

// Guards against a worker that has left and comes back with a report that was sent before, also after a restart, and
// against a later incarnation that is refused.
TEST_F(FleetStateTest, AWorkerThatHasLeftStaysAwayUntilItStartsAgain)
{
    m_state.apply(RecordWorker { report("w1", 2) });
    m_state.apply(RemoveLeftWorker { m_state.findWorker("w1")->number });
    FleetState restarted;
    restarted.restoreSnapshot(m_state.encodeSnapshot());
    for (FleetState* state : { &m_state, &restarted }) {
        state->apply(RecordWorker { report("w1", 2, 9) });
        EXPECT_EQ(state->findWorker("w1"), nullptr);
        state->apply(RecordWorker { report("w1", 3) });
        EXPECT_NE(state->findWorker("w1"), nullptr);
    }
}

// Guards against a memory of removed workers that grows without a bound, and forgets the latest.
TEST_F(FleetStateTest, TheWorkersThatWereRemovedFirstAreForgottenFirst)
{
    for (std::size_t index = 0; index <= maxRemovedWorkers; ++index) {
        WorkerReport gone = report("x" + std::to_string(index));
        gone.address = "10.0.0.1:" + std::to_string(index + 1);
        m_state.apply(RecordWorker { gone });
        m_state.apply(RemoveLeftWorker { m_state.findWorker(gone.id)->number });
    }
    EXPECT_FALSE(m_state.isOfRemovedWorker(report("x0")));
    EXPECT_TRUE(m_state.isOfRemovedWorker(report("x1")));
    EXPECT_TRUE(m_state.isOfRemovedWorker(report("x" + std::to_string(maxRemovedWorkers))));
}

// Guards against two workers with the same address; the earlier one cannot be running any more.
TEST_F(FleetStateTest, ALaterWorkerAtAnAddressReplacesTheEarlierOne)
{
    WorkerReport later = report("w2", 7);
    later.address = report("w1").address;
    m_state.apply(RecordWorker { later });
    EXPECT_EQ(m_state.findWorker("w1"), nullptr);
    m_state.apply(RecordWorker { report("w1", 3, 9) });
    EXPECT_EQ(m_state.findWorker("w1"), nullptr) << "a delayed report of the earlier one";
}

// Guards against an assignment to a worker that is over its capacity, and against a delayed report that brings an
// earlier capacity back.
TEST_F(FleetStateTest, AShrunkWorkerIsAssignedNothingThatDoesNotFit)
{
    const auto capacity = [](std::int64_t cpuMilli, std::uint64_t sequence) {
        WorkerReport result = report("w1", 1, sequence);
        result.capacity.cpuMilli = cpuMilli;
        return RecordWorker { result };
    };
    StepSpec leftover = step(1);
    leftover.usesLeftover = true;
    m_state.apply(accept(1, { step(4), leftover }));
    for (std::uint32_t index = 0; index < 3; ++index) {
        m_state.apply(assign({ 1, 0, 0, index }, 1, m_worker));
    }
    m_state.apply(capacity(2000, 3));
    m_state.apply(capacity(4000, 2));
    EXPECT_EQ(m_state.findWorker("w1")->free().cpuMilli, -1000);
    m_state.apply(assign({ 1, 0, 0, 3 }, 1, m_worker));
    m_state.apply(assign({ 1, 0, 1, 0 }, 1, m_worker));
    EXPECT_EQ(m_state.findWorker("w1")->assignedTasks, 3U);
    m_state.apply(ended(m_worker, 1, { 1, 0, 0, 0 }, 1, TaskEndReason::Done));
    m_state.apply(assign({ 1, 0, 0, 3 }, 1, m_worker));
    EXPECT_EQ(m_state.findWorker("w1")->assignedTasks, 2U) << "full, not over";
    m_state.apply(capacity(3000, 4));
    m_state.apply(assign({ 1, 0, 0, 3 }, 1, m_worker));
    EXPECT_EQ(m_state.findWorker("w1")->assignedTasks, 3U);
}

TEST_F(FleetStateTest, AGangIsDoneWhenOneOfItsTasksIs)
{
    StepSpec gang = step(3);
    gang.isGang = true;
    m_state.apply(accept(1, { gang }));
    AssignTasks all;
    for (std::uint32_t index = 0; index < 3; ++index) {
        all.assignments.push_back({ { 1, 0, 0, index }, 1, m_worker });
    }
    m_state.apply(all);
    m_state.apply(ended(m_worker, 1, { 1, 0, 0, 1 }, 1, TaskEndReason::Done));
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Done);
    EXPECT_EQ(m_state.findWorker(m_worker)->assignedTasks, 0U);
}

// Guards against a task that crashes one worker after the other without end.
TEST_F(FleetStateTest, ATaskThatAloneCrashedTwoWorkersIsGivenUp)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    crashUnder({ key }, true);
    EXPECT_TRUE(m_state.findJob(1)->isActive());
    EXPECT_EQ(task(key).phase, TaskPhase::Waiting);
    crashUnder({ key }, true);
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Failed);
    EXPECT_EQ(m_state.findJob(1)->finishedMs, 3000);
    EXPECT_TRUE(m_state.readyJobs().at("q").empty());
}

// Guards against a job that is given up for the crashes of a task that ran beside it.
TEST_F(FleetStateTest, ATaskBesideADeadlyOneIsNotGivenUp)
{
    const TaskKey deadly { 1, 0, 0, 0 };
    const TaskKey healthy { 2, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(accept(2, { step(1) }));
    crashUnder({ deadly, healthy }, false);
    crashUnder({ deadly, healthy }, false);
    EXPECT_TRUE(m_state.findJob(1)->isActive()) << "either may be the cause";
    crashUnder({ deadly }, true);
    EXPECT_TRUE(m_state.findJob(1)->isActive()) << "one crash may have come from outside";
    crashUnder({ deadly }, true);
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Failed);
    EXPECT_TRUE(m_state.findJob(2)->isActive());
    EXPECT_EQ(crashesOf(healthy).crashes, 2U);
}

// Guards against a healthy job that is given up because its worker was lost once more after its neighbour's crash.
TEST_F(FleetStateTest, ATaskWithANeighboursCrashAndALostWorkerIsNotGivenUp)
{
    const TaskKey deadly { 1, 0, 0, 0 };
    const TaskKey healthy { 2, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(accept(2, { step(1) }));
    crashUnder({ deadly, healthy }, false);
    crashUnder({ healthy }, true);
    EXPECT_TRUE(m_state.findJob(2)->isActive());
}

// Guards against a task that is started three times more after three crashes because another ran beside it each time.
TEST_F(FleetStateTest, ATaskThatNeverRanAloneIsGivenUpAfterItsLastAllowedStart)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    for (std::uint32_t crashes = 1; crashes <= 3; ++crashes) {
        crashUnder({ key }, false);
        EXPECT_TRUE(m_state.findJob(1)->isActive());
    }
    crashUnder({ key }, false);
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Failed);
    EXPECT_EQ(crashesOf(key).lastRun, 4U);
}

// Guards against a job that lasts and is given up, with all its tasks, because worker after worker crashed under it.
TEST_F(FleetStateTest, ALongRunningTaskIsNeverGivenUpForCrashes)
{
    const TaskKey key { 1, 0, 0, 0 };
    StepSpec lasting = step(2);
    lasting.isLongRunning = true;
    m_state.apply(accept(1, { lasting }));
    for (std::uint32_t crashes = 1; crashes <= maxCrashes + 2; ++crashes) {
        crashUnder({ key }, true);
        EXPECT_TRUE(m_state.findJob(1)->isActive()) << "crash " << crashes;
        EXPECT_EQ(task(key).phase, TaskPhase::Waiting);
    }
    EXPECT_EQ(crashesOf(key).crashes, maxCrashes + 2) << "it still starts alone";
}

// Guards against a crash that counts twice because the session and the worker's report both told of it.
TEST_F(FleetStateTest, ACrashIsCountedOnceForEachRun)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 1, m_worker));
    m_state.apply(crash("w1", 1, { { key, 1, true } }));
    m_state.apply(crash("w1", 1, { { key, 1, true } }, false));
    m_state.apply(crash("w1", 1, { { key, 1, true } }));
    m_state.apply(RecordWorker { report("w1", 2) });
    m_state.apply(crash("w1", 1, { { key, 1, true } }));
    EXPECT_EQ(crashesOf(key).crashes, 1U);
    EXPECT_TRUE(m_state.findJob(1)->isActive());
}

// Guards against counting a run that was not on the worker, and against the end of a worker that had said it leaves.
TEST_F(FleetStateTest, OnlyRunsOnAWorkerThatEndsWithoutNoticeCount)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 2, m_worker));
    m_state.apply(crash("w1", 1, { { key, 1, true }, { { 9, 0, 0, 0 }, 2, true } }));
    m_state.apply(crash("w1", 2, { { key, 2, true } }));
    WorkerReport draining = report("w1", 1, 2);
    draining.isDraining = true;
    m_state.apply(RecordWorker { draining });
    m_state.apply(crash("w1", 1, { { key, 2, true } }));
    m_state.apply(crash("w1", 1, { { key, 2, true } }, false));
    EXPECT_TRUE(m_state.crashes().empty());
    EXPECT_TRUE(m_state.unconfirmedCrashes().empty());
}

// Guards against counting a cut network as a crash, and against a crash that is missed because the worker's lease had
// ended before it came back.
TEST_F(FleetStateTest, ASilentWorkerHasCrashedOnlyIfALaterIncarnationReports)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 1, m_worker));
    m_state.apply(crash("w1", 1, { { key, 1, true } }, false));
    m_state.apply(RemoveWorker { m_worker });
    m_state.apply(RecordWorker { report("w1", 1, 7) });
    m_state.apply(crash("w1", 1, { { key, 1, true } }));
    EXPECT_TRUE(m_state.crashes().empty()) << "it was only silent";
    m_worker = m_state.findWorker("w1")->number;
    m_state.apply(assign(key, 2, m_worker));
    m_state.apply(crash("w1", 1, { { key, 2, true } }, false));
    m_state.apply(RemoveWorker { m_worker });
    m_state.apply(crash("w1", 1, {}));
    m_state.apply(RecordWorker { report("w1", 2) });
    EXPECT_EQ(crashesOf(key).crashes, 1U);
    EXPECT_EQ(crashesOf(key).attributed, 1U);
    EXPECT_TRUE(m_state.unconfirmedCrashes().empty());
    m_worker = m_state.findWorker("w1")->number;
    m_state.apply(assign(key, 3, m_worker));
    m_state.apply(crash("w1", 2, { { key, 3, true } }, false));
    m_state.apply(RemoveWorker { m_worker });
    WorkerReport atItsAddress = report("w2", 3);
    atItsAddress.address = report("w1").address;
    EXPECT_EQ(m_state.unconfirmedCrashes().at("w1").address, atItsAddress.address);
    m_state.apply(RecordWorker { atItsAddress });
    EXPECT_TRUE(m_state.unconfirmedCrashes().empty()) << "nothing is kept after a later worker at the address";
}

// Guards against silent workers that never come back and fill the state.
TEST_F(FleetStateTest, SilentWorkersAreForgottenBeyondTheirBound)
{
    m_state.apply(accept(1, { step(1) }));
    for (std::size_t number = 0; number < maxUnconfirmedCrashes + 3; ++number) {
        const std::string id = "x" + std::to_string(number);
        WorkerReport later = report(id);
        later.address = "127.0.0.2:" + std::to_string(number);
        m_state.apply(RecordWorker { later });
        const std::uint32_t run = task({ 1, 0, 0, 0 }).run + 1;
        m_state.apply(assign({ 1, 0, 0, 0 }, run, m_state.findWorker(id)->number));
        RecordCrash silent = crash(id, 1, { { { 1, 0, 0, 0 }, run, true } }, false);
        silent.nowMs = static_cast<std::int64_t>(number);
        m_state.apply(silent);
        m_state.apply(RemoveWorker { m_state.findWorker(id)->number });
    }
    EXPECT_EQ(m_state.unconfirmedCrashes().size(), maxUnconfirmedCrashes);
    EXPECT_FALSE(m_state.unconfirmedCrashes().contains("x0")) << "the oldest";
}

// Guards against crashes that stay on record without use.
TEST_F(FleetStateTest, CrashesAreForgottenWithTheirTask)
{
    for (const JobId job : { 1, 2, 3 }) {
        m_state.apply(accept(job, { step(1) }));
    }
    crashUnder({ { 1, 0, 0, 0 }, { 2, 0, 0, 0 } }, false);
    crashUnder({ { 3, 0, 0, 0 } }, true);
    crashUnder({ { 3, 0, 0, 0 } }, true);
    m_state.apply(assign({ 1, 0, 0, 0 }, 2, m_worker));
    m_state.apply(ended(m_worker, 1, { 1, 0, 0, 0 }, 2, TaskEndReason::Done));
    m_state.apply(CancelAcceptedJob { 2, 3000 });
    EXPECT_EQ(m_state.crashes().size(), 1U) << "the job that was given up";
    m_state.apply(PruneJobs { 5000 });
    EXPECT_TRUE(m_state.crashes().empty());
}

// Guards against crashes that are forgotten when a node restarts, and against snapshots of earlier versions that no
// longer load.
TEST_F(FleetStateTest, CrashesSurviveASnapshotAndEarlierSnapshotsLoad)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(accept(1, { step(1) }));
    crashUnder({ key }, true);
    m_state.apply(assign(key, 2, m_worker));
    m_state.apply(crash("w1", 2, { { key, 2, true } }, false));
    m_state.apply(RemoveWorker { m_worker });
    FleetState copy;
    copy.restoreSnapshot(m_state.encodeSnapshot());
    EXPECT_EQ(copy.encodeSnapshot(), m_state.encodeSnapshot());
    copy.apply(crash("w1", 2, {}));
    EXPECT_EQ(copy.findJob(1)->phase, JobPhase::Failed);
    const std::map<std::string, Queue> queues { { "q", configuration().queues.front() } };
    copy.restoreSnapshot(base::encode(std::tuple(m_state.configuration(), m_state.jobs(), m_state.workers(),
        m_state.waves(), m_state.nodes(), queues, m_state.vmOrderHolders(), WorkerNumber { 4 })));
    EXPECT_TRUE(copy.findJob(1)->isActive());
    EXPECT_TRUE(copy.crashes().empty());
    EXPECT_TRUE(copy.unconfirmedCrashes().empty());
}

// Guards against a job that can't be cancelled after its queue moved, and a restart or an update of the nodes.
TEST_F(FleetStateTest, TheUrlOfAJobOutlivesItsQueueAndASnapshot)
{
    const QueueUrl url { "host", "/q/" };
    const QueueUrl later { "host", "/later/" };
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(AcceptJobAtUrl { accept(2, { step(1) }), url });
    const std::map<std::string, Queue> queues { { "q", configuration().queues.front() } };
    FleetState updated;
    updated.restoreSnapshot(base::encode(std::tuple(m_state.configuration(), m_state.jobs(), m_state.workers(),
        m_state.waves(), m_state.nodes(), queues, m_state.vmOrderHolders(), m_worker)));
    EXPECT_EQ(updated.encodeSnapshot(), m_state.encodeSnapshot()) << "of an earlier version, without URLs";
    Configuration moved = configuration(2);
    moved.queues.front().pathPrefix = later.pathPrefix;
    m_state.apply(PutConfiguration { moved });
    m_state.apply(AcceptJobAtUrl { accept(3, { step(1) }), url });
    m_state.apply(AcceptJobAtUrl { accept(4, { step(1) }), later });
    FleetState restarted;
    restarted.restoreSnapshot(m_state.encodeSnapshot());
    for (const FleetState* state : { &m_state, &restarted }) {
        EXPECT_TRUE(state->isAcceptedAt(url, 1));
        EXPECT_TRUE(state->isAcceptedAt(url, 2));
        EXPECT_TRUE(state->isAcceptedAt(url, 3)) << "submitted before the queue moved";
        EXPECT_FALSE(state->isAcceptedAt(url, 4));
        EXPECT_TRUE(state->isAcceptedAt(later, 4));
        EXPECT_FALSE(state->isAcceptedAt(later, 1));
    }
    m_state.apply(CancelJob { 1, 3000 });
    m_state.apply(PruneJobs { 4000 });
    EXPECT_FALSE(m_state.isAcceptedAt(url, 1));
    EXPECT_TRUE(m_state.isAcceptedAt(url, 2));
}

// Guards against a state that grows with each queue that the configuration ever had.
TEST_F(FleetStateTest, ARemovedQueueIsForgottenWithItsLastJob)
{
    const auto with = [](std::uint64_t version, const std::string& name) {
        Configuration result = configuration(version);
        result.queues.push_back(result.queues.front());
        result.queues.back().name = name;
        result.queues.back().pathPrefix = "/" + name + "/";
        return result;
    };
    const auto submit = [this](JobId id, const std::string& queue) {
        AcceptJob command = accept(id, { step(1) });
        command.queue = queue;
        m_state.apply(AcceptJobAtUrl { command, { "host", "/" + queue + "/" } });
    };
    constexpr std::uint64_t lastVersion = 100;
    for (std::uint64_t version = 2; version < lastVersion; ++version) {
        const std::string name = "r" + std::to_string(version);
        m_state.apply(PutConfiguration { with(version, name) });
        EXPECT_EQ(m_state.findQueue("r" + std::to_string(version - 1)), nullptr) << "it had no job";
    }
    m_state.apply(PutConfiguration { with(lastVersion, "last") });
    submit(1, "last");
    submit(2, "last");
    m_state.apply(PutConfiguration { configuration(lastVersion + 1) });
    FleetState fresh;
    fresh.apply(PutConfiguration { configuration(lastVersion + 1) });
    fresh.apply(RecordWorker { report("w1") });
    const auto finish = [this](JobId id) {
        m_state.apply(CancelJob { id, 3000 });
        m_state.apply(PruneJobs { 4000 });
    };
    finish(1);
    ASSERT_NE(m_state.findQueue("last"), nullptr) << "it has a job";
    EXPECT_TRUE(m_state.activeJobs().contains("last"));
    finish(2);
    EXPECT_EQ(m_state.findQueue("last"), nullptr);
    EXPECT_FALSE(m_state.activeJobs().contains("last"));
    EXPECT_FALSE(m_state.readyJobs().contains("last"));
    EXPECT_EQ(m_state.encodeSnapshot(), fresh.encodeSnapshot());
    submit(3, "last");
    EXPECT_EQ(m_state.findJob(3), nullptr) << "no queue would run it";
}

// Guards against two runs of a task when a start that got no answer is carried out by a later incarnation, and against
// tasks that wait although their starts were answered.
TEST_F(FleetStateTest, AnUnsettledStartGoesOverToTheLaterIncarnationUntilItIsReleased)
{
    const TaskKey unsettled { 1, 0, 0, 0 };
    const TaskKey answered { 1, 0, 0, 1 };
    m_state.apply(accept(1, { step(2) }));
    m_state.apply(assign(unsettled, 1, m_worker));
    m_state.apply(assign(answered, 1, m_worker));
    m_state.apply(RecordUnsettledStarts { m_worker, { { unsettled, 1 }, { answered, 7 } } });
    EXPECT_EQ(task(answered).phase, TaskPhase::Waiting) << "run 7 was never assigned";
    FleetState restarted;
    restarted.restoreSnapshot(m_state.encodeSnapshot());
    for (FleetState* state : { &m_state, &restarted }) {
        state->apply(RecordWorker { report("w1", 2) });
        const Worker& later = *state->findWorker("w1");
        EXPECT_EQ(state->findJob(1)->find(unsettled)->phase, TaskPhase::Assigned);
        EXPECT_EQ(state->findJob(1)->find(unsettled)->worker, later.number);
        EXPECT_EQ(later.assignedTasks, 1U);
        EXPECT_EQ(later.reserved, step(2).reservation());
        EXPECT_EQ(state->unsettledStarts(), std::set { unsettled });
        state->apply(ReleaseTask { unsettled, 1 });
        EXPECT_EQ(state->findJob(1)->find(unsettled)->phase, TaskPhase::Waiting);
        EXPECT_EQ(state->findWorker("w1")->assignedTasks, 0U);
        EXPECT_TRUE(state->unsettledStarts().empty());
    }
}

// Guards against starts without an answer that are remembered for ever when no further one is recorded.
TEST_F(FleetStateTest, AnUnansweredStartIsForgottenWithTheJobsOfItsTime)
{
    m_state.apply(RecordUnansweredStart { "w1", { 1, 0, 0, 0 }, { 4000, true }, 0 });
    m_state.apply(PruneJobs { 4000 });
    EXPECT_FALSE(m_state.unansweredStarts().empty());
    m_state.apply(PruneJobs { 4001 });
    EXPECT_TRUE(m_state.unansweredStarts().empty());
}

// Guards against a task that waits for ever for a worker that doesn't come back.
TEST_F(FleetStateTest, AnUnsettledStartOfAWorkerThatIsRemovedWaitsForNothing)
{
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign({ 1, 0, 0, 0 }, 1, m_worker));
    m_state.apply(RecordUnsettledStarts { m_worker, { { { 1, 0, 0, 0 }, 1 } } });
    m_state.apply(RemoveWorker { m_worker });
    EXPECT_EQ(task({ 1, 0, 0, 0 }).phase, TaskPhase::Waiting);
    EXPECT_TRUE(m_state.unsettledStarts().empty());
}

// Guards against a worker that gets no tasks until its next start because its time of day was set back, and against a
// delayed report of the life before that brings that one back.
TEST_F(FleetStateTest, AnIncarnationWithAnEarlierStartIsAcceptedOnceAListHasShownIt)
{
    WorkerReport ended = report("w1", 1000, 9);
    ended.isDraining = true;
    m_state.apply(RecordWorker { ended });
    m_state.apply(RemoveReplacedWorker { m_state.findWorker("w1")->number, 500 });
    FleetState restarted;
    restarted.restoreSnapshot(m_state.encodeSnapshot());
    for (FleetState* state : { &m_state, &restarted }) {
        ended.sequence = 10;
        state->apply(RecordWorker { ended });
        EXPECT_EQ(state->findWorker("w1"), nullptr) << "that one is over";
        state->apply(RecordWorker { report("w1", 400, 9) });
        EXPECT_EQ(state->findWorker("w1"), nullptr) << "no list has shown that one";
        state->apply(RecordWorker { report("w1", 500, 3) });
        const Worker* worker = state->findWorker("w1");
        ASSERT_NE(worker, nullptr);
        EXPECT_FALSE(worker->report.isDraining);
        EXPECT_TRUE(state->hasPredecessor(worker->number));
        EXPECT_TRUE(state->hasEarlierStart(*worker));
    }
}

// Guards against a delayed report that ends the incarnation that is there, whose tasks then run twice.
TEST_F(FleetStateTest, ADelayedReportEndsNoIncarnationWithAnEarlierStart)
{
    const TaskKey key { 1, 0, 0, 0 };
    m_state.apply(RecordWorker { report("w1", 1000) });
    m_state.apply(RemoveReplacedWorker { m_state.findWorker("w1")->number, 500 });
    m_state.apply(RecordWorker { report("w1", 500) });
    ASSERT_NE(m_state.findWorker("w1"), nullptr);
    const WorkerNumber there = m_state.findWorker("w1")->number;
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(assign(key, 1, there));
    for (const std::int64_t incarnation : { 800, 1000 }) {
        EXPECT_TRUE(m_state.isOfRemovedWorker(report("w1", incarnation, 9)));
        m_state.apply(RecordWorker { report("w1", incarnation, 9) });
        EXPECT_EQ(m_state.findWorker("w1")->number, there);
        EXPECT_EQ(task(key).phase, TaskPhase::Assigned);
    }
    EXPECT_FALSE(m_state.isOfRemovedWorker(report("w1", 500, 2)));
    EXPECT_FALSE(m_state.isOfRemovedWorker(report("w1", 1001)));
    m_state.apply(RecordWorker { report("w1", 1001) });
    EXPECT_EQ(task(key).phase, TaskPhase::Waiting);
    EXPECT_FALSE(m_state.hasEarlierStart(*m_state.findWorker("w1"))) << "its start is the latest again";
}

// Guards against a worker that gets no tasks when it starts once more while its time of day is still set back.
TEST_F(FleetStateTest, AStartBetweenAnEarlierOneAndTheLatestIsAcceptedOnceTheEarlierOneIsRemoved)
{
    m_state.apply(RecordWorker { report("w1", 1000) });
    m_state.apply(RemoveReplacedWorker { m_state.findWorker("w1")->number, 500 });
    m_state.apply(RecordWorker { report("w1", 500) });
    ASSERT_NE(m_state.findWorker("w1"), nullptr);
    m_state.apply(RemoveWorker { m_state.findWorker("w1")->number });
    m_state.apply(RecordWorker { report("w1", 700) });
    ASSERT_NE(m_state.findWorker("w1"), nullptr);
    m_state.apply(RemoveReplacedWorker { m_state.findWorker("w1")->number, 600 });
    EXPECT_TRUE(m_state.isOfRemovedWorker(report("w1", 1000, 9))) << "the latest start is still known";
    m_state.apply(RecordWorker { report("w1", 600) });
    EXPECT_NE(m_state.findWorker("w1"), nullptr);
}

/// Returns a random command over few jobs, workers and run numbers, so that commands often concern the same objects.
Command randomCommand(base::Random& random)
{
    const auto pick = [&](std::uint64_t bound) { return random() % bound; };
    const TaskKey key { 1 + pick(4), 0, static_cast<std::uint32_t>(pick(2)), static_cast<std::uint32_t>(pick(3)) };
    const std::uint32_t run = 1 + static_cast<std::uint32_t>(pick(6));
    const WorkerNumber worker = 1 + pick(6);
    switch (pick(11)) {
    case 0: {
        StepSpec second = step(3, 1500);
        second.dependencies = { 0 };
        second.isLongRunning = pick(3) == 0;
        const AcceptJob command = accept(key.job, { step(3), second });
        return pick(2) == 0 ? Command(command) : AcceptJobAtUrl { command, { "host", "/earlier/" } };
    }
    case 1:
        return RecordWorker { report("w" + std::to_string(pick(3)), static_cast<std::int64_t>(1 + pick(3)), pick(9)) };
    case 2:
        if (pick(3) == 0) {
            return RemoveReplacedWorker { worker, static_cast<std::int64_t>(pick(4)) };
        }
        return pick(2) == 0 ? Command(RemoveWorker { worker }) : Command(RemoveLeftWorker { worker });
    case 3:
        return pick(2) == 0 ? Command(CancelAcceptedJob { key.job, 1 }) : Command(CancelJob { key.job, 1 });
    case 4:
        return ReleaseTask { key, run };
    case 8:
        return RecordUnansweredStart { "w" + std::to_string(pick(3)), key,
            { static_cast<std::int64_t>(pick(100)), pick(2) == 0 }, static_cast<std::int64_t>(pick(50)) };
    case 7:
        return RecordUnsettledStarts { worker, { { key, run }, { { key.job, 0, 0, 0 }, 1 } } };
    case 6:
        return crash("w" + std::to_string(pick(3)), static_cast<std::int64_t>(1 + pick(3)),
            { { key, run, pick(2) == 0 }, { { key.job, 0, 0, 0 }, 1 + static_cast<std::uint32_t>(pick(6)), false } },
            pick(2) == 0);
    case 5:
        return ended(worker, 1 + pick(20), key, run, static_cast<TaskEndReason>(pick(6)), pick(2) == 0 ? "c" : "");
    default:
        return assign(key, run, worker);
    }
}

void checkInvariants(const FleetState& state, std::set<TaskKey>& doneTasks, std::set<JobId>& shrunkJobs)
{
    std::map<WorkerNumber, Resources> reserved;
    for (const auto& [id, job] : state.jobs()) {
        bool hasAssignedTask = false;
        const auto steps = static_cast<std::uint32_t>(job.occurrences.empty() ? 0 : job.occurrences[0].size());
        for (std::uint32_t index = 0; index < steps * 3; ++index) {
            const TaskKey key { id, 0, index / 3, index % 3 };
            const Task& task = *job.find(key);
            const StepSpec& spec = job.spec.steps[key.step];
            if (task.phase == TaskPhase::Assigned) {
                hasAssignedTask = true;
                reserved[task.worker] += spec.reservation();
                RC_ASSERT(state.tasksOf(task.worker).contains(key));
            }
            RC_ASSERT(!doneTasks.contains(key) || task.phase == TaskPhase::Done);
            if (task.phase == TaskPhase::Done) {
                doneTasks.insert(key);
            }
        }
        const bool isShrunk = job.occurrences.empty();
        RC_ASSERT(isShrunk == (!job.isActive() && !hasAssignedTask));
        RC_ASSERT(isShrunk == job.spec.payload.empty());
        RC_ASSERT(hasAssignedTask == job.hasAssignedTask());
        RC_ASSERT(isShrunk || !shrunkJobs.contains(id));
        if (isShrunk) {
            shrunkJobs.insert(id);
        }
    }
    for (const TaskKey& key : state.unsettledStarts()) {
        const Task& task = *state.findJob(key.job)->find(key);
        RC_ASSERT(task.phase == TaskPhase::Assigned && state.findWorker(task.worker) != nullptr);
    }
    for (const auto& [number, worker] : state.workers()) {
        RC_ASSERT(worker.reserved == reserved[number]);
        RC_ASSERT(worker.reserved.fitsInto(worker.report.capacity));
    }
    for (const auto& [key, crashes] : state.crashes()) {
        const Job* job = state.findJob(key.job);
        RC_ASSERT(job != nullptr);
        const Task* task = job->find(key);
        const bool isKept = task == nullptr ? job->phase == JobPhase::Failed : task->phase != TaskPhase::Done;
        RC_ASSERT(isKept);
        const bool mustLast = job->spec.steps[key.step].isLongRunning;
        const bool isAllowed = job->isActive() ? !crashes.isDeadly() || mustLast : job->phase == JobPhase::Failed;
        RC_ASSERT(isAllowed);
        RC_ASSERT(crashes.attributed <= crashes.crashes && crashes.crashes <= crashes.lastRun);
        const bool isOfARun = task == nullptr || crashes.lastRun <= task->run;
        RC_ASSERT(isOfARun);
    }
    for (const auto& [id, job] : state.jobs()) {
        const auto ready = state.readyJobs().find(job.queue);
        const bool isIndexed = ready != state.readyJobs().end() && ready->second.contains(id);
        RC_ASSERT(isIndexed == (job.isActive() && job.findReadyTask()));
    }
}

// Guards against leaked or doubly reserved capacity, runs whose crash counts twice, completed tasks that start again,
// and snapshots that do not restore the same state, under any order of commands.
RC_GTEST_PROP(FleetStateProperty, InvariantsHoldUnderAnyCommands, (std::uint32_t seed))
{
    base::Random random(seed);
    FleetState state;
    state.apply(PutConfiguration { configuration() });
    std::set<TaskKey> doneTasks;
    std::set<JobId> shrunkJobs;
    for (int item = 0; item < 300; ++item) {
        state.apply(randomCommand(random));
        checkInvariants(state, doneTasks, shrunkJobs);
    }
    FleetState copy;
    copy.restoreSnapshot(state.encodeSnapshot());
    RC_ASSERT(copy.encodeSnapshot() == state.encodeSnapshot());
    for (int item = 0; item < 50; ++item) {
        const Command command = randomCommand(random);
        state.apply(command);
        copy.apply(decodeCommands(encodeCommands({ command })).front());
    }
    RC_ASSERT(copy.encodeSnapshot() == state.encodeSnapshot());
}

// Guards against running a completed task again when its worker was unreachable until after its lease expired. Found by
// the soak test with seed 11.
TEST_F(FleetStateTest, ADoneRunCountsAfterItsWorkerWasRemoved)
{
    m_state.apply(accept(1, { step(2) }));
    m_state.apply(assign({ 1, 0, 0, 0 }, 1, m_worker));
    m_state.apply(assign({ 1, 0, 0, 1 }, 1, m_worker));
    m_state.apply(RemoveWorker { m_worker });
    m_state.apply(RecordWorker { report("w1") });
    const WorkerNumber again = m_state.findWorker("w1")->number;
    m_state.apply(assign({ 1, 0, 0, 1 }, 2, again));
    m_state.apply(ended(again, 1, { 1, 0, 0, 0 }, 1, TaskEndReason::Done));
    m_state.apply(ended(again, 2, { 1, 0, 0, 1 }, 1, TaskEndReason::Done));
    EXPECT_EQ(task({ 1, 0, 0, 0 }).phase, TaskPhase::Done);
    EXPECT_EQ(task({ 1, 0, 0, 1 }).phase, TaskPhase::Assigned) << "the second run goes on";
    EXPECT_EQ(m_state.findWorker("w1")->assignedTasks, 1U);
}

// Guards against a failure that counts twice, or a done task that runs again, because the end of its run is listed
// again after its worker was removed and has come back.
TEST_F(FleetStateTest, EndsListedAgainByAWorkerThatCameBackCountOnce)
{
    const TaskKey failing { 1, 0, 0, 0 };
    const TaskKey done { 1, 0, 0, 1 };
    m_state.apply(accept(1, { step(2) }));
    m_state.apply(assign(failing, 1, m_worker));
    m_state.apply(assign(done, 1, m_worker));
    m_state.apply(ended(m_worker, 1, failing, 1, TaskEndReason::Failed));
    m_state.apply(ended(m_worker, 2, done, 1, TaskEndReason::Done));
    m_state.apply(RemoveWorker { m_worker });
    m_state.apply(RecordWorker { report("w1") });
    const WorkerNumber again = m_state.findWorker("w1")->number;
    m_state.apply(ended(again, 1, failing, 1, TaskEndReason::Failed));
    m_state.apply(ended(again, 2, done, 1, TaskEndReason::Done));
    EXPECT_EQ(task(failing).failures, 1U) << "while it waits";
    EXPECT_EQ(task(done).phase, TaskPhase::Done);
    m_state.apply(assign(failing, 2, again));
    m_state.apply(RemoveWorker { again });
    m_state.apply(RecordWorker { report("w1") });
    const WorkerNumber third = m_state.findWorker("w1")->number;
    m_state.apply(assign(failing, 3, third));
    m_state.apply(ended(third, 1, failing, 1, TaskEndReason::Failed));
    EXPECT_EQ(task(failing).failures, 1U) << "while a later run goes on";
    EXPECT_EQ(task(failing).phase, TaskPhase::Assigned);
    EXPECT_TRUE(m_state.findJob(1)->isActive());
}

// Guards against snapshots, most of them jobs that have ended, that hold up a leader for longer than an election.
TEST_F(FleetStateTest, JobsThatHaveEndedTakeLittleOfASnapshot)
{
    constexpr JobId jobsOfEachKind = 50;
    constexpr std::size_t mostBytesOfAJob = 200;
    const auto acceptLarge = [&](JobId id, std::uint32_t tasks) {
        AcceptJob command = accept(id, { step(tasks) });
        command.spec.payload.assign(2'000, 'x');
        m_state.apply(command);
    };
    const std::size_t before = m_state.encodeSnapshot().size();
    std::uint64_t end = 0;
    for (JobId id = 1; id <= 3 * jobsOfEachKind; id += 3) {
        acceptLarge(id, 1);
        m_state.apply(assign({ id, 0, 0, 0 }, 1, m_worker));
        m_state.apply(ended(m_worker, ++end, { id, 0, 0, 0 }, 1, TaskEndReason::Done));
        acceptLarge(id + 1, 300);
        m_state.apply(CancelJob { id + 1, 3000 });
        acceptLarge(id + 2, 300);
        for (const std::uint32_t run : { 1U, 2U }) {
            m_state.apply(assign({ id + 2, 0, 0, 7 }, run, m_worker));
            m_state.apply(ended(m_worker, ++end, { id + 2, 0, 0, 7 }, run, TaskEndReason::Failed, "checkpoint"));
        }
    }
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Done);
    EXPECT_EQ(m_state.findJob(2)->phase, JobPhase::Cancelled);
    EXPECT_EQ(m_state.findJob(3)->phase, JobPhase::Failed);
    EXPECT_LE(m_state.encodeSnapshot().size(), before + 3 * jobsOfEachKind * mostBytesOfAJob);
}

// Guards against room that is never freed, and against a second run, when a job ends before its tasks do.
TEST_F(FleetStateTest, AJobThatHasEndedKeepsItsTasksUntilTheLastIsSettled)
{
    const TaskKey first { 1, 0, 0, 0 };
    const TaskKey second { 1, 0, 0, 1 };
    m_state.apply(accept(1, { step(3) }));
    m_state.apply(assign(first, 1, m_worker));
    m_state.apply(assign(second, 1, m_worker));
    m_state.apply(CancelJob { 1, 3000 });
    m_state.apply(ended(m_worker, 1, first, 1, TaskEndReason::Done));
    ASSERT_NE(m_state.findJob(1)->find(second), nullptr);
    EXPECT_EQ(task(second).phase, TaskPhase::Assigned);
    EXPECT_EQ(m_state.tasksOf(m_worker), std::set { second });
    m_state.apply(ReleaseTask { second, 1 });
    EXPECT_EQ(m_state.findJob(1)->find(second), nullptr);
    EXPECT_TRUE(m_state.findJob(1)->spec.payload.empty());
    const std::string settled = m_state.encodeSnapshot();
    m_state.apply(assign(second, 2, m_worker));
    m_state.apply(ReleaseTask { second, 1 });
    m_state.apply(RecordUnsettledStarts { m_worker, { { second, 1 } } });
    m_state.apply(crash("w1", 1, { { second, 1, true } }));
    EXPECT_EQ(m_state.encodeSnapshot(), settled);
    m_state.apply(ended(m_worker, 2, second, 1, TaskEndReason::Done));
    EXPECT_EQ(m_state.findJob(1)->phase, JobPhase::Cancelled);
    EXPECT_EQ(m_state.findWorker("w1")->assignedTasks, 0U);
    EXPECT_EQ(m_state.findWorker("w1")->reserved, Resources {});
    m_state.apply(PruneJobs { 5000 });
    EXPECT_EQ(m_state.findJob(1), nullptr);
}

// Guards against nodes whose states differ after an update, because an earlier version kept all of a job that has
// ended.
TEST_F(FleetStateTest, EndedJobsOfAnEarlierSnapshotAreShrunk)
{
    const TaskKey assigned { 2, 0, 0, 0 };
    m_state.apply(accept(1, { step(2) }));
    m_state.apply(accept(2, { step(2) }));
    m_state.apply(assign(assigned, 1, m_worker));
    std::map<JobId, Job> whole = m_state.jobs();
    for (auto& [id, job] : whole) {
        job.phase = JobPhase::Cancelled;
        job.finishedMs = 3000;
        m_state.apply(CancelJob { id, 3000 });
    }
    const std::map<std::string, Queue> queues { { "q", configuration().queues.front() } };
    FleetState restored;
    restored.restoreSnapshot(base::encode(std::tuple(m_state.configuration(), whole, m_state.workers(), m_state.waves(),
        m_state.nodes(), queues, m_state.vmOrderHolders(), m_worker)));
    EXPECT_EQ(restored.encodeSnapshot(), m_state.encodeSnapshot());
    EXPECT_TRUE(restored.findJob(1)->occurrences.empty());
    ASSERT_NE(restored.findJob(2)->find(assigned), nullptr);
    restored.apply(ended(m_worker, 1, assigned, 1, TaskEndReason::Stopped));
    EXPECT_TRUE(restored.findJob(2)->occurrences.empty());
    EXPECT_EQ(restored.findWorker("w1")->assignedTasks, 0U);
}

// Guards against a worker whose leases are thought shorter than an order for the incarnation before may have made them.
TEST_F(FleetStateTest, AnEarlierIncarnationOfAWorkersIdIsRemembered)
{
    EXPECT_FALSE(m_state.hasPredecessor(m_worker));
    m_state.apply(RecordWorker { report("w1", 2) });
    const WorkerNumber second = m_state.findWorker("w1")->number;
    EXPECT_TRUE(m_state.hasPredecessor(second));
    FleetState restored;
    restored.restoreSnapshot(m_state.encodeSnapshot());
    EXPECT_TRUE(restored.hasPredecessor(second));
    m_state.apply(RemoveWorker { second });
    EXPECT_FALSE(m_state.hasPredecessor(second));
    m_state.apply(RecordWorker { report("w1", 2, 2) });
    EXPECT_FALSE(m_state.hasPredecessor(m_state.findWorker("w1")->number)) << "the same incarnation comes back";
    m_state.apply(RemoveWorker { m_state.findWorker("w1")->number });
    m_state.apply(RecordWorker { report("w1", 3) });
    EXPECT_TRUE(m_state.hasPredecessor(m_state.findWorker("w1")->number));
}

} // namespace
} // namespace crocuscove::jobs
