#include "crocuscove/jobs/scheduler.h"

#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>

namespace crocuscove::jobs {
namespace {

using namespace testing;

class SchedulerTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_state.apply(PutConfiguration { configuration() });
        for (const char* id : { "w1", "w2", "w3" }) {
            m_state.apply(RecordWorker { report(id) });
        }
    }

    /// Returns what a plan assigns; m_held is what it holds room for.
    std::vector<Assignment> plan(std::int64_t nowMs = 1000)
    {
        const SchedulingView view { m_state, m_runTimes, nowMs,
            [this](const Worker& worker) { return !m_unusable.contains(worker.report.id); },
            [this](const Worker& worker) { return worker.report.id == m_slow ? 5.0 : 0.0; },
            [this](const Worker& worker, const TaskKey&) {
                const auto left = m_unprovenMs.find(worker.report.id);
                return left == m_unprovenMs.end() ? std::int64_t { 0 } : left->second;
            },
            [this](const Worker&, const TaskKey& key) {
                const auto ran = m_ranMs.find(key);
                return ran == m_ranMs.end() ? std::int64_t { 0 } : ran->second;
            } };
        std::vector<Assignment> result;
        const AssignmentPlan assignments = planAssignments(view, 100);
        m_held = assignments.held;
        for (const AssignTasks& command : assignments.commands) {
            result.insert(result.end(), command.assignments.begin(), command.assignments.end());
        }
        return result;
    }

    /// Lets a worker crash that a task was started on, once for each of the task's runs up to `crashes`.
    void crashUnder(const TaskKey& key, std::uint32_t crashes)
    {
        for (std::uint32_t run = 1; run <= crashes; ++run) {
            ++m_incarnation;
            m_state.apply(RecordWorker { report("x", m_incarnation) });
            const WorkerNumber worker = m_state.findWorker("x")->number;
            m_state.apply(assign(key, run, worker));
            m_state.apply(
                RecordReportedCrash { { crash("x", m_incarnation, { { key, run, false } }), "pool", 0, false } });
            m_state.apply(RemoveWorker { worker });
        }
        ASSERT_EQ(m_state.crashes().at(key).crashes, crashes);
    }

    /// Applies a plan and remembers what it started.
    void applyPlan()
    {
        for (const Assignment& assignment : plan()) {
            m_state.apply(AssignTasks { { assignment } });
            m_running.push_back(assignment);
        }
    }

    /// Lets the run that was started first end as done.
    void endOldest()
    {
        const Assignment oldest = m_running.front();
        m_running.pop_front();
        m_state.apply(ended(oldest.worker, ++m_lastEnd[oldest.worker], oldest.task, oldest.run, TaskEndReason::Done));
    }

    [[nodiscard]] TaskPhase phaseOf(const TaskKey& key) const { return m_state.findJob(key.job)->find(key)->phase; }

    [[nodiscard]] WorkerNumber number(const std::string& id) const { return m_state.findWorker(id)->number; }

    /// Returns the worker that a plan chooses for a task, or 0.
    static WorkerNumber workerOf(const std::vector<Assignment>& assignments, const TaskKey& key)
    {
        const auto found = std::ranges::find(assignments, key, &Assignment::task);
        return found == assignments.end() ? 0 : found->worker;
    }

    [[nodiscard]] std::set<WorkerNumber> workersOf(const std::vector<Assignment>& assignments) const
    {
        std::set<WorkerNumber> workers;
        std::ranges::transform(assignments, std::inserter(workers, workers.end()), &Assignment::worker);
        return workers;
    }

    FleetState m_state;
    RunTimes m_runTimes;
    std::set<std::string> m_unusable;
    std::string m_slow;
    std::vector<HeldRoom> m_held;
    /// How long runs have executed, in milliseconds.
    std::map<TaskKey, std::int64_t> m_ranMs;
    /// Runs that applyPlan() started, the first one first.
    std::deque<Assignment> m_running;
    std::map<WorkerNumber, std::uint64_t> m_lastEnd;
    /// The last incarnation of the worker that crashUnder() uses; a removed one doesn't come back.
    std::int64_t m_incarnation = 0;
    /// How long the runs on a worker are still in their probation, by worker id.
    std::map<std::string, std::int64_t> m_unprovenMs;
};

// Guards against a plan that counts a worker over its capacity as the fullest one with room, and against tasks that
// wait although another worker has room.
TEST_F(SchedulerTest, AWorkerOverItsCapacityIsLeftOut)
{
    m_state.apply(accept(1, { step(3) }));
    for (std::uint32_t index = 0; index < 3; ++index) {
        m_state.apply(assign({ 1, 0, 0, index }, 1, m_state.findWorker("w1")->number));
    }
    WorkerReport shrunk = report("w1", 1, 2);
    shrunk.capacity.cpuMilli = 1000;
    m_state.apply(RecordWorker { shrunk });
    StepSpec leftover = step(2);
    leftover.usesLeftover = true;
    m_state.apply(accept(2, { step(8) }));
    m_state.apply(accept(3, { leftover }));
    const auto chosen = plan();
    EXPECT_EQ(chosen.size(), 10U);
    EXPECT_FALSE(workersOf(chosen).contains(m_state.findWorker("w1")->number));
}

// Guards against a plan that exceeds the capacity of a worker.
TEST_F(SchedulerTest, WorkersAreFilledToTheirCapacityOnly)
{
    m_state.apply(accept(1, { step(20) }));
    EXPECT_EQ(plan().size(), 12U) << "three workers of four cores";
}

TEST_F(SchedulerTest, UnusableDrainingAndForeignWorkersGetNothing)
{
    m_unusable = { "w1" };
    WorkerReport draining = report("w2", 1, 2);
    draining.isDraining = true;
    m_state.apply(RecordWorker { draining });
    WorkerReport foreign = report("w3", 2);
    foreign.service = "other";
    m_state.apply(RecordWorker { foreign });
    m_state.apply(accept(1, { step(3) }));
    EXPECT_TRUE(plan().empty());
}

TEST_F(SchedulerTest, ARequiredLabelAndTheLimitPerWorkerAreRespected)
{
    WorkerReport labelled = report("w2", 2);
    labelled.labels = { "a", "r1" };
    m_state.apply(RecordWorker { labelled });
    StepSpec constrained = step(5, 100);
    constrained.requiredLabel = "a";
    constrained.maxPerWorker = 2;
    m_state.apply(accept(1, { constrained }));
    const auto assignments = plan();
    EXPECT_EQ(assignments.size(), 2U);
    EXPECT_EQ(workersOf(assignments), std::set { m_state.findWorker("w2")->number });
}

// Guards against a step that starts before its dependencies are done, or an occurrence that starts before it is due.
TEST_F(SchedulerTest, DependenciesAndDueTimesAreKept)
{
    StepSpec second = step(1);
    second.dependencies = { 0 };
    m_state.apply(accept(1, { step(1), second }));
    AcceptJob timed = accept(2, { step(1) });
    timed.spec.repeatCount = 2;
    timed.spec.firstDueMs = 5000;
    timed.spec.periodMs = 1000;
    m_state.apply(timed);
    EXPECT_EQ(plan(4999).size(), 1U);
    EXPECT_EQ(plan(5000).size(), 2U);
    EXPECT_EQ(plan(6000).size(), 3U);
}

// Guards against starting only some tasks of a gang.
TEST_F(SchedulerTest, AGangStartsWholeOrNotAtAll)
{
    StepSpec gang = step(13);
    gang.isGang = true;
    m_state.apply(accept(1, { gang }));
    EXPECT_TRUE(plan().empty());
    gang.taskCount = 12;
    m_state.apply(accept(2, { gang }));
    const auto assignments = plan();
    ASSERT_EQ(assignments.size(), 12U);
    EXPECT_TRUE(std::ranges::all_of(assignments, [](const Assignment& item) { return item.run == 1; }));
}

// Guards against jobs that have missed their objective and delay jobs that can still meet theirs.
TEST_F(SchedulerTest, JobsThatCanMeetTheirObjectiveComeFirst)
{
    m_state.apply(accept(1, { step(12) }, 1000));
    m_state.apply(accept(2, { step(12) }, 9000));
    const auto assignments = plan(9100);
    ASSERT_EQ(assignments.size(), 12U);
    EXPECT_TRUE(std::ranges::all_of(assignments, [](const Assignment& item) { return item.task.job == 2; }));
}

TEST_F(SchedulerTest, AFailingWorkerIsChosenLast)
{
    m_slow = "w1";
    m_state.apply(accept(1, { step(8) }));
    EXPECT_FALSE(workersOf(plan()).contains(m_state.findWorker("w1")->number));
    m_state.apply(accept(2, { step(12) }));
    EXPECT_TRUE(workersOf(plan()).contains(m_state.findWorker("w1")->number));
}

// Guards against capacity that stays reserved for a gang that did not fit, so that the next jobs cannot use it.
TEST_F(SchedulerTest, CapacityOfAGangThatDoesNotFitGoesToTheNextJob)
{
    StepSpec gang = step(4, 4000);
    gang.isGang = true;
    m_state.apply(accept(1, { gang }));
    m_state.apply(accept(2, { step(3, 4000) }));
    const auto assignments = plan();
    EXPECT_EQ(assignments.size(), 3U);
    EXPECT_TRUE(std::ranges::all_of(assignments, [](const Assignment& item) { return item.task.job == 2; }));
}

// Guards against a large task at the head of the queue that blocks smaller ones, and against assigning more tasks of a
// step to a worker that is already full.
TEST_F(SchedulerTest, ATaskThatDoesNotFitDoesNotBlockSmallerOnes)
{
    m_state.apply(accept(1, { step(1, 5000) }));
    m_state.apply(accept(2, { step(14, 1000) }));
    const auto assignments = plan();
    EXPECT_EQ(assignments.size(), 12U) << "three workers of four cores";
    std::map<WorkerNumber, int> perWorker;
    std::ranges::for_each(assignments, [&](const Assignment& item) { ++perWorker[item.worker]; });
    EXPECT_TRUE(std::ranges::all_of(perWorker, [](const auto& entry) { return entry.second == 4; }));
}

// Guards against a long-running task that never finds room, as smaller tasks take each place that becomes free.
TEST_F(SchedulerTest, ALongRunningTaskGetsRoomWhileSmallerTasksWait)
{
    m_state.apply(accept(1, { step(100) }));
    applyPlan();
    ASSERT_EQ(m_running.size(), 12U) << "all workers are full";
    StepSpec lasting = step(1, 3000);
    lasting.isLongRunning = true;
    m_state.apply(accept(2, { lasting }));
    for (std::size_t left = m_running.size(); left > 0; --left) {
        endOldest();
        applyPlan();
    }
    EXPECT_EQ(phaseOf({ 2, 0, 0, 0 }), TaskPhase::Assigned) << "all that ran before it has ended";
    EXPECT_GE(m_running.size(), 9U) << "the other workers go on";
}

// Guards against a service whose backlog uses up each plan, so that nothing starts in the services after it.
TEST_F(SchedulerTest, ABacklogOfOneServiceHoldsUpNoOther)
{
    Configuration two = configuration(2);
    two.queues.push_back(two.queues.front());
    two.queues.back().name = "q2";
    two.queues.back().pathPrefix = "/q2/";
    two.queues.back().service = "other";
    m_state.apply(PutConfiguration { two });
    WorkerReport large = report("large");
    large.service = "other";
    large.capacity = { 1'000'000, 1'000'000, 0 };
    m_state.apply(RecordWorker { large });
    AcceptJob backlog = accept(1, { step(500) });
    backlog.queue = "q2";
    m_state.apply(backlog);
    StepSpec lasting = step(1);
    lasting.isLongRunning = true;
    m_state.apply(accept(2, { lasting }));
    m_state.apply(accept(3, { step(2) }));
    const auto assignments = plan();
    EXPECT_NE(workerOf(assignments, { 2, 0, 0, 0 }), 0U);
    EXPECT_NE(workerOf(assignments, { 3, 0, 0, 1 }), 0U);
    EXPECT_EQ(std::ranges::count(assignments, number("large"), &Assignment::worker), 49)
        << "half of what the long-running task leaves of 100";
}

// Guards against room that is held where it is never used, and against tasks that stay out of what is left beside it.
TEST_F(SchedulerTest, SmallerTasksUseWhatHeldRoomLeaves)
{
    m_state.apply(accept(1, { step(3, 2000) }));
    for (const std::uint32_t index : { 0, 1, 2 }) {
        m_state.apply(assign({ 1, 0, 0, index }, 1, number("w" + std::to_string(index + 1))));
    }
    m_ranMs[{ 1, 0, 0, 1 }] = 400;
    StepSpec lasting = step(1, 3000);
    lasting.isLongRunning = true;
    m_state.apply(accept(2, { lasting }));
    m_state.apply(accept(3, { step(20) }));
    const auto assignments = plan();
    ASSERT_EQ(m_held.size(), 1U);
    EXPECT_EQ(m_held.front().worker, number("w2")) << "its run has executed for longest";
    EXPECT_EQ(assignments.size(), 4U);
    EXPECT_FALSE(workersOf(assignments).contains(number("w2")));
    m_state.apply(accept(4, { step(1, 10) }));
    EXPECT_FALSE(workersOf(plan()).contains(number("w2"))) << "2 of 4 cores are free, and 3 are needed";
}

// Guards against a step that waits for room on all workers, so that nothing else of its service starts.
TEST_F(SchedulerTest, RoomIsHeldOnAtMostHalfOfTheWorkers)
{
    m_state.apply(accept(1, { step(3) }));
    for (const std::uint32_t index : { 0, 1, 2 }) {
        m_state.apply(assign({ 1, 0, 0, index }, 1, number("w" + std::to_string(index + 1))));
    }
    StepSpec lasting = step(9, 4000);
    lasting.isLongRunning = true;
    m_state.apply(accept(2, { lasting }));
    m_state.apply(accept(3, { step(20) }));
    EXPECT_EQ(plan().size(), 6U) << "two workers with three free cores each";
    EXPECT_EQ(m_held.size(), 1U);
}

// Guards against room that is held for a task that fits into no worker beside its long-running tasks, or is allowed on
// none.
TEST_F(SchedulerTest, NoRoomIsHeldForWhatCantBePlaced)
{
    StepSpec lasting = step(3, 2000);
    lasting.isLongRunning = true;
    lasting.maxPerWorker = 1;
    m_state.apply(accept(1, { lasting }));
    applyPlan();
    StepSpec wide = step(1, 3000);
    wide.isLongRunning = true;
    StepSpec labelled = step(1);
    labelled.isLongRunning = true;
    labelled.requiredLabel = "a";
    m_state.apply(accept(2, { wide, labelled }));
    m_state.apply(accept(3, { step(20) }));
    EXPECT_EQ(plan().size(), 6U);
    EXPECT_TRUE(m_held.empty());
}

// Guards against suspects of a crash that start together again, so that the next crash doesn't tell them apart.
TEST_F(SchedulerTest, SuspectsOfACrashAreSpread)
{
    for (const JobId job : { 1, 2, 3 }) {
        m_state.apply(accept(job, { step(1) }));
        crashUnder({ job, 0, 0, 0 }, 1);
    }
    EXPECT_EQ(workersOf(plan()).size(), 3U);
    m_state.apply(assign({ 1, 0, 0, 0 }, 2, number("w1")));
    m_unprovenMs["w1"] = 500;
    EXPECT_FALSE(workersOf(plan()).contains(number("w1")));
    m_unusable = { "w2", "w3" };
    EXPECT_EQ(plan().size(), 2U) << "a task with one crash does not wait";
}

// Guards against suspects of a late crash that start beside each other, so that both are on the next worker that it
// takes down.
TEST_F(SchedulerTest, SuspectsAreSpreadForAsLongAsTheyRun)
{
    for (const JobId job : { 1, 2, 3 }) {
        m_state.apply(accept(job, { step(1) }));
    }
    crashUnder({ 1, 0, 0, 0 }, 1);
    crashUnder({ 2, 0, 0, 0 }, 1);
    crashUnder({ 3, 0, 0, 0 }, 2);
    m_state.apply(assign({ 1, 0, 0, 0 }, 2, number("w1")));
    const auto assignments = plan();
    EXPECT_EQ(workersOf(assignments).size(), 2U);
    EXPECT_FALSE(workersOf(assignments).contains(number("w1"))) << "its probation has ended";
    StepSpec lasting = step(1);
    lasting.isLongRunning = true;
    m_state.apply(accept(4, { lasting }));
    crashUnder({ 4, 0, 0, 0 }, 1);
    m_state.apply(assign({ 4, 0, 0, 0 }, 2, number("w2")));
    m_unusable = { "w1" };
    EXPECT_EQ(workerOf(plan(), { 3, 0, 0, 0 }), number("w2")) << "one that lasts and has proven itself is no neighbour";
}

// Guards against a task with two crashes that starts where another job's run is in its probation, or another's that
// starts beside it.
TEST_F(SchedulerTest, ATaskWithTwoCrashesStartsAlone)
{
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(accept(2, { step(2, 100) }));
    m_state.apply(accept(3, { step(12, 100) }));
    crashUnder({ 1, 0, 0, 0 }, 2);
    m_state.apply(assign({ 2, 0, 0, 0 }, 1, number("w1")));
    m_state.apply(assign({ 2, 0, 0, 1 }, 1, number("w2")));
    m_unprovenMs = { { "w1", 700 }, { "w2", 700 }, { "w3", 700 } };
    const auto together = plan();
    EXPECT_EQ(workerOf(together, { 1, 0, 0, 0 }), number("w3"));
    EXPECT_EQ(std::ranges::count(together, number("w3"), &Assignment::worker), 1);
    EXPECT_EQ(together.size(), 13U);
    m_state.apply(assign({ 1, 0, 0, 0 }, 3, number("w3")));
    EXPECT_FALSE(workersOf(plan()).contains(number("w3"))) << "a later plan";
    m_unusable = { "w1", "w2" };
    EXPECT_TRUE(plan().empty());
    m_unprovenMs.clear();
    EXPECT_EQ(plan().size(), 12U) << "its probation has ended";
}

// Guards against a task that is started again and again while the workers that it may have crashed are away, and
// against tasks that wait with it.
TEST_F(SchedulerTest, ATaskThatHasLostThreeRunsWaits)
{
    StepSpec lasting = step(1, 100);
    lasting.isLongRunning = true;
    StepSpec gang = step(2, 100);
    gang.isGang = true;
    m_state.apply(accept(1, { step(2, 100) }));
    m_state.apply(accept(2, { lasting }));
    m_state.apply(accept(3, { gang }));
    for (const JobId job : { 1, 2, 3 }) {
        crashUnder({ job, 0, 0, 0 }, lostRunsBeforePause);
    }
    const std::int64_t lostMs = m_state.lostRuns().at({ 1, 0, 0, 0 }).lastMs;
    const auto waiting = plan(lostMs);
    EXPECT_EQ(workerOf(waiting, { 1, 0, 0, 0 }), 0U);
    EXPECT_NE(workerOf(waiting, { 1, 0, 0, 1 }), 0U) << "the other task of its step";
    EXPECT_NE(workerOf(waiting, { 2, 0, 0, 0 }), 0U) << "long-running";
    EXPECT_EQ(workerOf(waiting, { 3, 0, 0, 1 }), 0U) << "a gang starts whole";
    const auto later = plan(lostMs + lostRunSpread.count());
    EXPECT_NE(workerOf(later, { 1, 0, 0, 0 }), 0U);
    EXPECT_NE(workerOf(later, { 3, 0, 0, 1 }), 0U);
    EXPECT_FALSE(isPaused(m_state, { 1, 0, 0, 0 }, lostMs - 3'600'000)) << "the time of day was set back";
}

// Guards against two runs of a task when the first one has failed, the next one starts elsewhere, and a worker that has
// started again carries out a delayed start of the first one.
TEST_F(SchedulerTest, ATaskWithADelayedStartWaitsUntilItCanNoLongerArrive)
{
    constexpr std::int64_t untilMs = 14'000;
    const TaskKey delayed { 1, 0, 0, 0 };
    const TaskKey lost { 2, 0, 0, 0 };
    const TaskKey lastingTask { 3, 0, 0, 0 };
    StepSpec lasting = step(1);
    lasting.isLongRunning = true;
    m_state.apply(accept(1, { step(2) }));
    m_state.apply(accept(2, { step(1) }));
    m_state.apply(accept(3, { lasting }));
    const WorkerNumber worker = m_state.findWorker("w1")->number;
    std::uint64_t end = 0;
    for (const TaskKey& key : { delayed, lost, lastingTask }) {
        m_state.apply(assign(key, 1, worker));
        m_state.apply(RecordUnansweredStart { "w1", key, { untilMs, false }, 0 });
        m_state.apply(RecordUnansweredStart { "w1", key, { untilMs, key != lost }, 0 });
        m_state.apply(ended(worker, ++end, key, 1, TaskEndReason::Failed));
    }
    const auto waiting = plan(untilMs - 1);
    EXPECT_EQ(workerOf(waiting, delayed), 0U);
    EXPECT_NE(workerOf(waiting, { 1, 0, 0, 1 }), 0U) << "the other task of its step";
    EXPECT_NE(workerOf(waiting, lost), 0U) << "its start was lost with the worker";
    EXPECT_NE(workerOf(waiting, lastingTask), 0U);
    EXPECT_NE(workerOf(plan(untilMs), delayed), 0U);
    EXPECT_FALSE(isPaused(m_state, delayed, untilMs - 3'600'000)) << "the time of day was set back";
}

// Guards against a task that starts once more after the crash for which its job is given up a little later.
TEST_F(SchedulerTest, ADeadlyTaskDoesNotStart)
{
    m_state.apply(accept(1, { step(1, 100) }));
    m_state.apply(accept(2, { step(1, 100) }));
    crashUnder({ 1, 0, 0, 0 }, maxCrashes);
    crashUnder({ 2, 0, 0, 0 }, maxCrashes - 1);
    ASSERT_TRUE(m_state.findJob(1)->isActive());
    const auto planned = plan(m_state.lostRuns().at({ 1, 0, 0, 0 }).lastMs + 3'600'000);
    EXPECT_EQ(workerOf(planned, { 1, 0, 0, 0 }), 0U);
    EXPECT_NE(workerOf(planned, { 2, 0, 0, 0 }), 0U);
}

// Guards against a task that waits for an empty worker while there is room, and against workers kept free for many
// such tasks.
TEST_F(SchedulerTest, OneWorkerIsKeptFreeForATaskThatMustStartAlone)
{
    m_state.apply(accept(1, { step(1) }));
    m_state.apply(accept(2, { step(3, 100) }));
    crashUnder({ 1, 0, 0, 0 }, 2);
    for (const std::uint32_t index : { 0, 1, 2 }) {
        m_state.apply(assign({ 2, 0, 0, index }, 1, number("w" + std::to_string(index + 1))));
    }
    m_unprovenMs = { { "w1", 700 }, { "w2", 300 }, { "w3", 700 } };
    m_state.apply(accept(3, { step(20, 100) }));
    const auto before = plan();
    EXPECT_EQ(workerOf(before, { 1, 0, 0, 0 }), 0U);
    EXPECT_EQ(before.size(), 20U);
    EXPECT_FALSE(workersOf(before).contains(number("w2")));
    m_unprovenMs = { { "w1", 700 }, { "w3", 700 } };
    EXPECT_EQ(workerOf(plan(), { 1, 0, 0, 0 }), number("w2")) << "long-running neighbours need not end";
    m_unprovenMs = { { "w1", 700 }, { "w2", 300 }, { "w3", 700 } };
    m_state.apply(accept(4, { step(1) }));
    crashUnder({ 4, 0, 0, 0 }, 2);
    EXPECT_NE(workerOf(plan(), { 4, 0, 0, 0 }), 0U) << "the second one doesn't wait";
}

// Guards against a limit per worker that is exceeded by a task that was placed alone.
TEST_F(SchedulerTest, ATaskThatStartsAloneCountsForTheLimitPerWorker)
{
    StepSpec limited = step(4, 100);
    limited.maxPerWorker = 1;
    m_state.apply(accept(1, { limited }));
    crashUnder({ 1, 0, 0, 3 }, 2);
    const auto assignments = plan();
    EXPECT_EQ(assignments.size(), 3U);
    EXPECT_EQ(workersOf(assignments).size(), 3U);
}

} // namespace
} // namespace crocuscove::jobs
