#pragma once

#include "crocuscove/jobs/configuration.h"
#include "crocuscove/jobs/crash.h"
#include "crocuscove/jobs/job.h"
#include "crocuscove/jobs/unanswered_starts.h"
#include "crocuscove/jobs/wave.h"
#include "crocuscove/jobs/worker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace crocuscove::jobs {

struct PutConfiguration {
    Configuration configuration;
};

/// Accepts a job. Replaced by AcceptJobAtUrl, and kept for logs of earlier versions.
struct AcceptJob {
    JobId job = 0;
    std::string queue;
    JobSpec spec;
    std::int64_t nowMs = 0;
};

/// Cancels a job that was accepted before. Replaced by CancelJob, and kept for logs of earlier versions.
struct CancelAcceptedJob {
    JobId job = 0;
    std::int64_t nowMs = 0;
};

/// Stores a worker's report. A newer incarnation replaces the previous one with the same id.
struct RecordWorker {
    WorkerReport report;
};

/// Removes a worker that left or whose lease has certainly expired, and makes its tasks wait for a new assignment.
struct RemoveWorker {
    WorkerNumber worker = 0;
};

/// Reserves capacity on a worker for one run of a task. It is committed before the worker is told to start the run.
struct Assignment {
    TaskKey task;
    std::uint32_t run = 0;
    WorkerNumber worker = 0;
};

/// Assignments that are applied atomically, such as those of a gang: if one is not possible, none is made.
struct AssignTasks {
    std::vector<Assignment> assignments;
};

/// Revokes an assignment that the worker has refused or can no longer start.
struct ReleaseTask {
    TaskKey task;
    std::uint32_t run = 0;
};

enum class TaskEndReason : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// The run was stopped because another task of its gang ended.
    GangBroken,
    /// The other tasks of the gang did not start in time.
    GangIncomplete,
};

std::string_view taskEndReasonName(TaskEndReason kind);

/// The end of one run of a task, as reported by its worker.
struct TaskEnd {
    /// Sequence number in the worker's list of ended runs.
    std::uint64_t number = 0;
    TaskKey task;
    std::uint32_t run = 0;
    TaskEndReason kind = TaskEndReason::Done;
    std::string checkpoint;
};

/// Records ended runs. It is committed before the worker is told that it may discard them.
struct RecordTaskEnds {
    WorkerNumber worker = 0;
    std::vector<TaskEnd> ends;
    std::int64_t nowMs = 0;
};

/// Removes jobs that finished before `finishedBeforeMs`, in Unix milliseconds.
struct PruneJobs {
    std::int64_t finishedBeforeMs = 0;
};

struct RecordWave {
    Wave wave;
};

struct RecordWaveStep {
    std::uint64_t wave = 0;
    std::string vm;
    WaveVmPhase phase = WaveVmPhase::Waiting;
};

/// Records the address of a control node.
struct RecordNode {
    std::string node;
    std::string address;
};

/// Records which leader sends an order for a VM. It is committed before the order is sent.
struct RecordVmOrder {
    std::string vm;
    /// Name of the leader that sends the order.
    std::string holder;
};

/// Records that an incarnation of a worker ended without notice. It is committed before the command that takes its
/// tasks from the worker.
struct RecordCrash {
    std::string worker;
    std::int64_t incarnation = 0;
    /// The runs that may have caused it. The crash of a worker whose crash was recorded as not confirmed counts for the
    /// runs that were recorded then.
    std::vector<CrashedRun> runs;
    /// Whether a later incarnation, or a later worker at its address, was seen. Until then the worker may only be
    /// silent, and nothing is counted.
    bool isConfirmed = false;
    std::int64_t nowMs = 0;
};

/// Records that a worker ended without notice and that its successor was seen, also if nothing ran there. RecordCrash
/// with `isConfirmed` told less of it, and is kept for logs of earlier versions.
struct RecordConfirmedCrash {
    /// Its runs are attributed nothing if it crashed with its rack.
    RecordCrash crash;
    std::string service;
    /// When the successor started, in Unix milliseconds; 0 if that isn't known.
    std::int64_t restartedMs = 0;
    bool isOfRack = false;
};

/// Cancels a job, also one that is accepted only later.
struct CancelJob {
    JobId job = 0;
    std::int64_t nowMs = 0;
};

/// Removes a worker whose process has ended after it said that it leaves, so that it can't come back.
struct RemoveLeftWorker {
    WorkerNumber worker = 0;
};

/// A start that got no answer, and may still be carried out.
struct UnsettledStart {
    TaskKey task;
    std::uint32_t run = 0;
};

/// Records that an incarnation of a worker has ended while starts may still be on their way to it, which a later
/// incarnation of the same id would carry out. Their tasks stay assigned, from its first report on to that incarnation,
/// until a stop there is confirmed. The worker's other tasks wait for a new assignment.
struct RecordUnsettledStarts {
    WorkerNumber worker = 0;
    std::vector<UnsettledStart> starts;
};

/// Removes a worker after a list of runs has shown that another incarnation of its id is there, whose start lies
/// earlier because its time of day was set back. Reports of that one are then accepted, and those of incarnations that
/// are known to be over are not.
struct RemoveReplacedWorker {
    WorkerNumber worker = 0;
    /// The one that is there.
    std::int64_t incarnation = 0;
};

/// Records a crash as RecordConfirmedCrash does, and leaves it to GiveUpDeadlyTask whether jobs end.
/// RecordConfirmedCrash ends them at once, and is kept for logs of earlier versions.
struct RecordReportedCrash {
    RecordConfirmedCrash crash;
};

/// Ends the job of a task that too many workers have crashed under, unless the crashes turn out to be parts of bursts
/// of restarts.
struct GiveUpDeadlyTask {
    TaskKey task;
    std::int64_t nowMs = 0;
};

/// Records that a worker is silent and may have crashed. RecordCrash without `isConfirmed` told less of it, and is kept
/// for logs of earlier versions.
struct RecordSuspectedCrash {
    RecordCrash crash;
    /// The worker fell silent with its rack.
    bool isOfRack = false;
};

/// Accepts a job of a queue that clients reached at `url`. A later configuration may give the queue another URL.
struct AcceptJobAtUrl {
    AcceptJob accepted;
    QueueUrl url;
};

/// Records that a start got no answer, and that a worker with this id may still carry it out for some time.
struct RecordUnansweredStart {
    /// Id of the worker.
    std::string worker;
    TaskKey task;
    UnansweredStart start;
    /// What ended before this Unix time, in milliseconds, is forgotten.
    std::int64_t forgetBeforeMs = 0;
};

using Command = std::variant<PutConfiguration, AcceptJob, CancelAcceptedJob, RecordWorker, RemoveWorker, AssignTasks,
    ReleaseTask, RecordTaskEnds, PruneJobs, RecordWave, RecordWaveStep, RecordNode, RecordVmOrder, RecordCrash,
    CancelJob, RemoveLeftWorker, RecordUnsettledStarts, RecordConfirmedCrash, RemoveReplacedWorker,
    RecordSuspectedCrash, RecordReportedCrash, GiveUpDeadlyTask, AcceptJobAtUrl, RecordUnansweredStart>;

CROCUSCOVE_FIELDS(PutConfiguration, v.configuration)
CROCUSCOVE_FIELDS(AcceptJob, v.job, v.queue, v.spec, v.nowMs)
CROCUSCOVE_FIELDS(CancelAcceptedJob, v.job, v.nowMs)
CROCUSCOVE_FIELDS(RecordWorker, v.report)
CROCUSCOVE_FIELDS(RemoveWorker, v.worker)
CROCUSCOVE_FIELDS(Assignment, v.task, v.run, v.worker)
CROCUSCOVE_FIELDS(AssignTasks, v.assignments)
CROCUSCOVE_FIELDS(ReleaseTask, v.task, v.run)
CROCUSCOVE_FIELDS(TaskEnd, v.number, v.task, v.run, v.kind, v.checkpoint)
CROCUSCOVE_FIELDS(RecordTaskEnds, v.worker, v.ends, v.nowMs)
CROCUSCOVE_FIELDS(PruneJobs, v.finishedBeforeMs)
CROCUSCOVE_FIELDS(RecordWave, v.wave)
CROCUSCOVE_FIELDS(RecordWaveStep, v.wave, v.vm, v.phase)
CROCUSCOVE_FIELDS(RecordNode, v.node, v.address)
CROCUSCOVE_FIELDS(RecordVmOrder, v.vm, v.holder)
CROCUSCOVE_FIELDS(RemoveLeftWorker, v.worker)
CROCUSCOVE_FIELDS(UnsettledStart, v.task, v.run)
CROCUSCOVE_FIELDS(RecordUnsettledStarts, v.worker, v.starts)
CROCUSCOVE_FIELDS(RemoveReplacedWorker, v.worker, v.incarnation)
CROCUSCOVE_FIELDS(CancelJob, v.job, v.nowMs)
CROCUSCOVE_FIELDS(RecordCrash, v.worker, v.incarnation, v.runs, v.isConfirmed, v.nowMs)
CROCUSCOVE_FIELDS(RecordConfirmedCrash, v.crash, v.service, v.restartedMs, v.isOfRack)
CROCUSCOVE_FIELDS(RecordSuspectedCrash, v.crash, v.isOfRack)
CROCUSCOVE_FIELDS(RecordReportedCrash, v.crash)
CROCUSCOVE_FIELDS(GiveUpDeadlyTask, v.task, v.nowMs)
CROCUSCOVE_FIELDS(AcceptJobAtUrl, v.accepted, v.url)
CROCUSCOVE_FIELDS(RecordUnansweredStart, v.worker, v.task, v.start, v.forgetBeforeMs)

} // namespace crocuscove::jobs
