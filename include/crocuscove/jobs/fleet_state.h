#pragma once

#include "crocuscove/jobs/command.h"
#include "crocuscove/jobs/restart_history.h"
#include "crocuscove/jobs/unanswered_starts.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::jobs {

/// Limits that bound the size of the replicated state.
inline constexpr std::size_t maxJobs = 200'000;
inline constexpr std::size_t maxTasksPerJob = 20'000;
/// Cancelled jobs that have not been accepted yet; beyond that the oldest is forgotten.
inline constexpr std::size_t maxEarlyCancels = 10'000;
/// Removed workers that are remembered; the one removed first is forgotten first.
inline constexpr std::size_t maxRemovedWorkers = 4'096;

/// Replicated state machine of jobs, workers, configuration and maintenance waves. It changes only by applying
/// committed commands, and deterministically, so that all nodes reach the same state.
class FleetState {
public:
    /// Applies a committed command. A command that is no longer valid in the current state has no effect. Of a job that
    /// has ended, its payload and its tasks are forgotten once none of them is assigned.
    void apply(const Command& command);

    [[nodiscard]] const Configuration& configuration() const { return m_configuration; }
    [[nodiscard]] const std::map<JobId, Job>& jobs() const { return m_jobs; }
    [[nodiscard]] const std::map<WorkerNumber, Worker>& workers() const { return m_workers; }
    [[nodiscard]] const std::map<std::uint64_t, Wave>& waves() const { return m_waves; }
    /// Jobs that were cancelled before they were accepted, with the time of the cancelling in Unix milliseconds.
    [[nodiscard]] const std::map<JobId, std::int64_t>& earlyCancels() const { return m_earlyCancels; }
    /// Addresses of the control nodes by node id.
    [[nodiscard]] const std::map<std::string, std::string>& nodes() const { return m_nodes; }
    /// The leader that sent the last order for each VM, by VM id.
    [[nodiscard]] const std::map<std::string, std::string>& vmOrderHolders() const { return m_vmOrderHolders; }
    /// Jobs that are neither done, failed nor cancelled, by queue.
    [[nodiscard]] const std::map<std::string, std::set<JobId>>& activeJobs() const { return m_activeJobs; }
    /// Active jobs with a waiting task whose dependencies are done, by queue. Due times are not considered.
    [[nodiscard]] const std::map<std::string, std::set<JobId>>& readyJobs() const { return m_readyJobs; }
    /// Those of readyJobs() that have a long-running step, by queue. They are few where the others may be many.
    [[nodiscard]] const std::map<std::string, std::set<JobId>>& readyLongRunningJobs() const
    {
        return m_readyLongRunningJobs;
    }
    /// The tasks assigned to each worker.
    [[nodiscard]] const std::set<TaskKey>& tasksOf(WorkerNumber worker) const;
    /// Crashes of workers that stand against tasks. Those of a job that was given up stay until it is pruned.
    [[nodiscard]] const std::map<TaskKey, TaskCrashes>& crashes() const { return m_crashes; }
    /// Tells whether so many crashes stand against a task that it is given up, unless it is long-running.
    [[nodiscard]] bool isDeadly(const TaskKey& key) const;
    /// Returns a deadly task of each job that is to be given up now.
    [[nodiscard]] std::vector<TaskKey> tasksToGiveUp(std::int64_t nowMs) const;
    /// Runs that were lost with their workers, of tasks that aren't done.
    [[nodiscard]] const std::map<TaskKey, LostRuns>& lostRuns() const { return m_lostRuns; }
    /// Returns when a task may start again after it has lost runs, or while a delayed start of it may be carried out,
    /// in Unix milliseconds; 0 for at once.
    [[nodiscard]] std::int64_t nextStartMs(const TaskKey& key) const;
    /// Returns how many crashes under a task were forgotten as parts of bursts of restarts.
    [[nodiscard]] std::uint32_t excusedCrashes(const TaskKey& key) const;
    /// Workers that were removed because they were silent, by worker id.
    [[nodiscard]] const std::map<std::string, UnconfirmedCrash>& unconfirmedCrashes() const
    {
        return m_unconfirmedCrashes;
    }

    /// Assigned tasks that must not be started, but stopped on their worker: a start that was sent to an earlier
    /// incarnation of its id may still be carried out there.
    [[nodiscard]] const std::set<TaskKey>& unsettledStarts() const { return m_unsettledStarts; }
    /// Starts that got no answer and may still be carried out.
    [[nodiscard]] const UnansweredStarts& unansweredStarts() const { return m_unansweredStarts; }
    /// Tells whether an earlier incarnation of the worker's id was known, so that orders for it may have reached this
    /// one.
    [[nodiscard]] bool hasPredecessor(WorkerNumber worker) const { return m_successors.contains(worker); }
    /// Tells whether the start of a worker lies earlier than that of an incarnation before it, so that it tells nothing
    /// about the worker's age.
    [[nodiscard]] bool hasEarlierStart(const Worker& worker) const { return m_latestStarts.contains(worker.report.id); }

    /// Returns the last definition of a queue that is in the configuration or has jobs, or a null pointer.
    [[nodiscard]] const Queue* findQueue(const std::string& name) const;
    /// Tells whether a job was accepted at a URL, by whichever queue was there at the time.
    [[nodiscard]] bool isAcceptedAt(const QueueUrl& url, JobId job) const;
    /// Tells whether jobs that were accepted at a URL are known. Those that ended are forgotten after some time.
    [[nodiscard]] bool hasJobsAt(const QueueUrl& url) const { return m_jobsByUrl.contains(url); }
    [[nodiscard]] const Job* findJob(JobId id) const;
    [[nodiscard]] const Worker* findWorker(WorkerNumber number) const;
    /// Returns the current incarnation of a worker id, or a null pointer.
    [[nodiscard]] const Worker* findWorker(const std::string& id) const;
    /// Returns the worker at an address, or a null pointer.
    [[nodiscard]] const Worker* findWorkerAt(const std::string& address) const;
    /// Tells whether a report is, or may be, a delayed one of a removed worker, which changes nothing.
    [[nodiscard]] bool isOfRemovedWorker(const WorkerReport& report) const;
    /// Counts the active jobs of a queue in the configuration for which `predicate` holds. Jobs of a queue that was
    /// removed count for the one that has the URL now.
    [[nodiscard]] std::uint64_t countActiveJobs(
        const Queue& queue, const std::function<bool(const Job&)>& predicate) const;
    /// Counts those that have no due time and no started task.
    [[nodiscard]] std::uint64_t countWaitingJobs(const Queue& queue) const;

    [[nodiscard]] std::string encodeSnapshot() const;
    /// Replaces the state. Throws base::Error on a malformed snapshot.
    void restoreSnapshot(std::string_view bytes);

private:
    void applyCommand(const PutConfiguration& command);
    void applyCommand(const AcceptJob& command);
    void applyCommand(const CancelAcceptedJob& command);
    void applyCommand(const RecordWorker& command);
    void applyCommand(const RemoveWorker& command);
    void applyCommand(const AssignTasks& command);
    void applyCommand(const ReleaseTask& command);
    void applyCommand(const RecordTaskEnds& command);
    void applyCommand(const PruneJobs& command);
    void applyCommand(const RecordWave& command);
    void applyCommand(const RecordWaveStep& command);
    void applyCommand(const RecordNode& command);
    void applyCommand(const RecordVmOrder& command);
    void applyCommand(const RecordCrash& command);
    void applyCommand(const CancelJob& command);
    void applyCommand(const RemoveLeftWorker& command);
    void applyCommand(const RecordUnsettledStarts& command);
    void applyCommand(const RecordConfirmedCrash& command);
    void applyCommand(const RemoveReplacedWorker& command);
    void applyCommand(const RecordSuspectedCrash& command);
    void applyCommand(const RecordReportedCrash& command);
    void applyCommand(const GiveUpDeadlyTask& command);
    void applyCommand(const AcceptJobAtUrl& command);
    void applyCommand(const RecordUnansweredStart& command);

    void acceptJob(const AcceptJob& command, const QueueUrl& url);
    /// Forgets at which URL a job was accepted.
    void forgetUrl(const Job& job);
    /// Forgets the queues that are neither in the configuration nor have jobs.
    void forgetRemovedQueues();
    void removeWorker(WorkerNumber number, bool hasLeft);

    void rememberRemoved(const Worker& worker, bool hasLeft);
    void forgetAddress(const Worker& worker);
    [[nodiscard]] bool canAssign(const Assignment& assignment) const;
    void assign(const Assignment& assignment);
    void endTask(Worker& worker, const TaskEnd& end, std::int64_t nowMs);
    void completeTask(Job& job, const TaskKey& key, std::int64_t nowMs);
    void failTask(Job& job, const TaskKey& key, std::int64_t nowMs);
    /// Returns an assigned task to the waiting phase and frees its reservation.
    void unassign(const TaskKey& key);
    void reserve(const Job& job, const TaskKey& key, WorkerNumber worker);
    /// Takes the tasks with unsettled starts from a worker that is about to be removed, and returns them.
    std::vector<TaskKey> detachUnsettled(WorkerNumber worker);
    void freeReservation(const Job& job, const TaskKey& key, WorkerNumber worker);
    /// Returns the runs of the command that are assigned to the worker and have not been counted yet.
    [[nodiscard]] std::vector<CrashedRun> uncountedRuns(const RecordCrash& command) const;
    void recordUnconfirmedCrash(const RecordCrash& command, bool isOfRack);
    /// Returns the runs that a confirmed crash counts against, and forgets that it was unconfirmed.
    std::vector<CrashedRun> takeConfirmedRuns(const RecordCrash& command);
    /// Forgets the unconfirmed crashes that a report refutes or has overtaken: those of the worker, or of another one
    /// at its address.
    void settleUnconfirmedCrashes(const WorkerReport& report);
    void forgetUnconfirmedCrash(const std::string& worker);
    void noteLostRun(const TaskKey& key, std::uint32_t run, std::int64_t nowMs);
    void takeBackLostRun(const TaskKey& key);
    /// Counts a crash against the tasks that ran on the worker, and returns it for each of them.
    std::vector<std::pair<TaskKey, CountedCrash>> countCrashes(const RecordConfirmedCrash& command);
    void countCrash(const TaskKey& key, const CountedCrash& crash, std::int64_t nowMs);
    /// Tells whether a task exists that isn't done, of a job that hasn't ended.
    [[nodiscard]] bool isOpen(const TaskKey& key) const;
    /// Tells whether crashes may end the job of a task.
    [[nodiscard]] bool mayBeGivenUp(const TaskKey& key) const;
    /// Tells whether the worker restarted in a burst, which has a cause outside the tasks.
    [[nodiscard]] bool isInBurst(const Job& job, const CountedCrash& crash, const BurstSize& least = burstSize) const;
    /// Forgets the crashes of a task that were parts of bursts. Those of runs that began apart from others are taken
    /// back as lost runs too, and a smaller burst is enough for them.
    void excuseCrashes(const Job& job, const TaskKey& key);
    /// Counts other workers that restarted together with that of a crash and whose crash was attributed to tasks of the
    /// job.
    [[nodiscard]] std::size_t countAttributedBeside(JobId job, const CountedCrash& crash) const;
    [[nodiscard]] std::size_t countWorkers(const std::string& service) const;
    /// Updates m_crashes after a change of the task's record.
    void updateCrashes(const TaskKey& key);
    void forgetCrashes(const TaskKey& key);
    void forgetCrashes(JobId job);
    void finishJob(Job& job, JobPhase phase, std::int64_t nowMs);
    /// Forgets what no one asks of jobs that have ended, once none of their tasks is assigned.
    void shrinkEndedJobs();
    void finishIfDone(Job& job, std::int64_t nowMs);
    /// Updates the index of ready jobs after a change of the job's tasks or phase.
    void updateReady(Job& job);
    void rebuildIndexes();

    Configuration m_configuration;
    std::map<JobId, Job> m_jobs;
    std::map<WorkerNumber, Worker> m_workers;
    std::map<std::uint64_t, Wave> m_waves;
    std::map<std::string, std::string> m_nodes;
    /// The last definition of each queue, since jobs outlive a queue that is removed.
    std::map<std::string, Queue> m_queues;
    /// The jobs that were accepted at each URL, since a queue may move or be removed before its jobs end.
    std::map<QueueUrl, std::set<JobId>> m_jobsByUrl;
    std::map<std::string, std::string> m_vmOrderHolders;
    WorkerNumber m_lastWorker = 0;
    std::map<JobId, std::int64_t> m_earlyCancels;
    /// The sums of m_crashRecords, where a crash stands against a task.
    std::map<TaskKey, TaskCrashes> m_crashes;
    std::map<TaskKey, CrashRecord> m_crashRecords;
    RestartHistory m_restarts;
    std::map<std::string, UnconfirmedCrash> m_unconfirmedCrashes;
    /// Workers of m_unconfirmedCrashes that fell silent with their rack.
    std::set<std::string> m_silentWithRack;
    std::map<TaskKey, LostRuns> m_lostRuns;
    /// By worker id.
    std::map<std::string, RemovedWorker> m_removedWorkers;
    std::uint64_t m_lastRemoval = 0;
    std::set<TaskKey> m_unsettledStarts;
    UnansweredStarts m_unansweredStarts;
    /// Workers for which hasPredecessor() holds.
    std::set<WorkerNumber> m_successors;
    /// The latest start of an incarnation that is over, by worker id, where the one that was seen last started earlier.
    std::map<std::string, std::int64_t> m_latestStarts;
    // Indexes derived from the members above; not part of a snapshot.
    /// The number of unconfirmed crashes of workers under each task.
    std::map<TaskKey, std::uint32_t> m_unconfirmedByTask;
    std::map<std::string, WorkerNumber> m_workerById;
    /// The number of jobs of each queue, ended ones included.
    std::map<std::string, std::size_t> m_jobCounts;
    std::map<std::string, std::set<JobId>> m_activeJobs;
    std::map<std::string, std::set<JobId>> m_readyJobs;
    std::map<std::string, std::set<JobId>> m_readyLongRunningJobs;
    std::map<WorkerNumber, std::set<TaskKey>> m_tasksByWorker;
    /// Ids by RemovedWorker::order.
    std::map<std::uint64_t, std::string> m_removalOrder;
    std::map<std::string, WorkerNumber> m_workerByAddress;
    /// Jobs that shrinkEndedJobs() looks at after the command in progress. Empty between commands.
    std::vector<JobId> m_jobsToShrink;
};

/// Encodes commands that are committed as one log entry.
std::string encodeCommands(const std::vector<Command>& commands);

/// Throws base::Error on malformed bytes.
std::vector<Command> decodeCommands(std::string_view bytes);

} // namespace crocuscove::jobs
