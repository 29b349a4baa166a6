#include "crocuscove/jobs/fleet_state.h"

#include "crocuscove/base/codec.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace crocuscove::jobs {

namespace {

using SnapshotFields = std::tuple<Configuration, std::map<JobId, Job>, std::map<WorkerNumber, Worker>,
    std::map<std::uint64_t, Wave>, std::map<std::string, std::string>, std::map<std::string, Queue>,
    std::map<std::string, std::string>, WorkerNumber, std::map<JobId, std::int64_t>, std::map<TaskKey, TaskCrashes>,
    std::map<std::string, UnconfirmedCrash>, std::map<std::string, RemovedWorker>, std::uint64_t, std::set<TaskKey>,
    std::set<WorkerNumber>, std::map<TaskKey, CrashRecord>, RestartHistory, std::map<std::string, std::int64_t>,
    std::set<std::string>, std::map<TaskKey, LostRuns>, std::map<QueueUrl, std::set<JobId>>, UnansweredStarts>;

std::vector<std::vector<StepProgress>> initialProgress(const JobSpec& spec)
{
    std::vector<StepProgress> steps;
    std::ranges::transform(spec.steps, std::back_inserter(steps), [](const StepSpec& step) {
        StepProgress progress;
        progress.tasks.resize(step.taskCount);
        progress.waitingTasks = step.taskCount;
        return progress;
    });
    return { spec.occurrences(), steps };
}

} // namespace

void FleetState::apply(const Command& command)
{
    std::visit([this](const auto& typed) { applyCommand(typed); }, command);
    shrinkEndedJobs();
}

// Only after a command, which may hold references to the tasks of a job that it ends.
void FleetState::shrinkEndedJobs()
{
    for (const JobId id : std::exchange(m_jobsToShrink, {})) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && !found->second.isActive() && !found->second.hasAssignedTask()) {
            // An assignment would keep the memory.
            std::exchange(found->second.spec.payload, {});
            std::exchange(found->second.occurrences, {});
        }
    }
}

const std::set<TaskKey>& FleetState::tasksOf(WorkerNumber worker) const
{
    static const std::set<TaskKey> none;
    const auto tasks = m_tasksByWorker.find(worker);
    return tasks == m_tasksByWorker.end() ? none : tasks->second;
}

const Queue* FleetState::findQueue(const std::string& name) const
{
    const auto queue = m_queues.find(name);
    return queue == m_queues.end() ? nullptr : &queue->second;
}

bool FleetState::isAcceptedAt(const QueueUrl& url, JobId job) const
{
    const auto accepted = m_jobsByUrl.find(url);
    return accepted != m_jobsByUrl.end() && accepted->second.contains(job);
}

const Job* FleetState::findJob(JobId id) const
{
    const auto job = m_jobs.find(id);
    return job == m_jobs.end() ? nullptr : &job->second;
}

const Worker* FleetState::findWorker(WorkerNumber number) const
{
    const auto worker = m_workers.find(number);
    return worker == m_workers.end() ? nullptr : &worker->second;
}

const Worker* FleetState::findWorker(const std::string& id) const
{
    const auto number = m_workerById.find(id);
    return number == m_workerById.end() ? nullptr : findWorker(number->second);
}

const Worker* FleetState::findWorkerAt(const std::string& address) const
{
    const auto number = m_workerByAddress.find(address);
    return number == m_workerByAddress.end() ? nullptr : findWorker(number->second);
}

std::uint64_t FleetState::countActiveJobs(const Queue& queue, const std::function<bool(const Job&)>& predicate) const
{
    const auto accepted = m_jobsByUrl.find(queue.url());
    std::uint64_t count = 0;
    for (const auto& [name, jobs] : m_activeJobs) {
        const bool isOwn = name == queue.name;
        const bool isRemoved = !isOwn && !jobs.empty() && m_configuration.findQueue(name) == nullptr;
        if (!isOwn && (!isRemoved || accepted == m_jobsByUrl.end())) {
            continue;
        }
        count += static_cast<std::uint64_t>(std::ranges::count_if(jobs,
            [&, isOwn](JobId id) { return (isOwn || accepted->second.contains(id)) && predicate(m_jobs.at(id)); }));
    }
    return count;
}

std::uint64_t FleetState::countWaitingJobs(const Queue& queue) const
{
    return countActiveJobs(
        queue, [](const Job& job) { return job.phase == JobPhase::Queued && job.spec.repeatCount == 0; });
}

void FleetState::applyCommand(const PutConfiguration& command)
{
    if (command.configuration.version <= m_configuration.version) {
        return;
    }
    m_configuration = command.configuration;
    std::ranges::for_each(m_configuration.queues, [this](const Queue& queue) { m_queues[queue.name] = queue; });
    forgetRemovedQueues();
}

void FleetState::forgetRemovedQueues()
{
    std::set<std::string_view> configured;
    std::ranges::transform(m_configuration.queues, std::inserter(configured, configured.end()), &Queue::name);
    std::vector<std::string> removed;
    for (const auto& [name, queue] : m_queues) {
        if (!configured.contains(name) && !m_jobCounts.contains(name)) {
            removed.push_back(name);
        }
    }
    for (const std::string& name : removed) {
        m_queues.erase(name);
        m_activeJobs.erase(name);
        m_readyJobs.erase(name);
        m_readyLongRunningJobs.erase(name);
    }
}

void FleetState::applyCommand(const AcceptJob& command)
{
    const Queue* queue = findQueue(command.queue);
    acceptJob(command, queue == nullptr ? QueueUrl {} : queue->url());
}

void FleetState::applyCommand(const AcceptJobAtUrl& command) { acceptJob(command.accepted, command.url); }

void FleetState::acceptJob(const AcceptJob& command, const QueueUrl& url)
{
    // The queue may have been removed since the command was proposed.
    if (m_jobs.contains(command.job) || m_jobs.size() >= maxJobs || !m_queues.contains(command.queue)) {
        return;
    }
    ++m_jobCounts[command.queue];
    m_jobsByUrl[url].insert(command.job);
    Job job;
    job.id = command.job;
    job.queue = command.queue;
    job.spec = command.spec;
    job.acceptedMs = command.nowMs;
    job.occurrences = initialProgress(command.spec);
    m_activeJobs[job.queue].insert(job.id);
    Job& stored = m_jobs.emplace(command.job, std::move(job)).first->second;
    if (m_earlyCancels.erase(command.job) > 0) {
        finishJob(stored, JobPhase::Cancelled, command.nowMs);
        return;
    }
    updateReady(stored);
    finishIfDone(stored, command.nowMs);
}

void FleetState::applyCommand(const CancelAcceptedJob& command)
{
    const auto job = m_jobs.find(command.job);
    if (job != m_jobs.end() && job->second.isActive()) {
        finishJob(job->second, JobPhase::Cancelled, command.nowMs);
    }
}

// A job and its cancelling may take different ways, so that the outcome must not depend on which arrives first.
void FleetState::applyCommand(const CancelJob& command)
{
    if (m_jobs.contains(command.job)) {
        applyCommand(CancelAcceptedJob { command.job, command.nowMs });
        return;
    }
    m_earlyCancels.emplace(command.job, command.nowMs);
    if (m_earlyCancels.size() > maxEarlyCancels) {
        // The job of the latest cancelling is the likeliest to come.
        m_earlyCancels.erase(
            std::ranges::min_element(m_earlyCancels, {}, &std::map<JobId, std::int64_t>::value_type::second));
    }
}

// Only one process can use an address at a time, so a worker that started later at the same address replaces the
// earlier one.
void FleetState::applyCommand(const RecordWorker& command)
{
    const WorkerReport& report = command.report;
    if (isOfRemovedWorker(report)) {
        return;
    }
    settleUnconfirmedCrashes(report);
    const Worker* other = findWorkerAt(report.address);
    if (other != nullptr && other->report.id != report.id) {
        if (other->report.incarnation > report.incarnation) {
            return;
        }
        applyCommand(RemoveWorker { other->number });
    }
    std::vector<TaskKey> unsettled;
    bool hasPredecessor = false;
    const auto known = m_workerById.find(report.id);
    if (known != m_workerById.end()) {
        Worker& worker = m_workers.at(known->second);
        if (worker.report.incarnation > report.incarnation) {
            return;
        }
        if (worker.report.incarnation == report.incarnation) {
            const bool wasDraining = worker.report.isDraining;
            if (report.sequence > worker.report.sequence) {
                forgetAddress(worker);
                worker.report = report;
                m_workerByAddress[report.address] = worker.number;
            }
            worker.report.isDraining = worker.report.isDraining || wasDraining;
            return;
        }
        hasPredecessor = true;
        unsettled = detachUnsettled(worker.number);
        applyCommand(RemoveWorker { worker.number });
    }
    Worker worker;
    worker.number = ++m_lastWorker;
    worker.report = report;
    const auto removed = m_removedWorkers.find(report.id);
    if (removed != m_removedWorkers.end()) {
        const bool isSame = removed->second.incarnation == report.incarnation;
        hasPredecessor = hasPredecessor || !isSame || m_latestStarts.contains(report.id);
        worker.report.isDraining = report.isDraining || (isSame && removed->second.wasDraining);
        m_removalOrder.erase(removed->second.order);
        m_removedWorkers.erase(removed);
    }
    const auto latest = m_latestStarts.find(report.id);
    if (latest != m_latestStarts.end() && latest->second < report.incarnation) {
        m_latestStarts.erase(latest);
    }
    m_workerById[report.id] = worker.number;
    m_workerByAddress[report.address] = worker.number;
    const WorkerNumber number = worker.number;
    m_workers.emplace(number, std::move(worker));
    if (hasPredecessor) {
        m_successors.insert(number);
    }
    for (const TaskKey& key : unsettled) {
        Job& job = m_jobs.at(key.job);
        job.find(key)->worker = number;
        reserve(job, key, number);
    }
}

// The start of a run that reaches the later incarnation would take up capacity there.
std::vector<TaskKey> FleetState::detachUnsettled(WorkerNumber worker)
{
    std::vector<TaskKey> result;
    std::ranges::set_intersection(tasksOf(worker), m_unsettledStarts, std::back_inserter(result));
    std::ranges::for_each(result, [&](const TaskKey& key) { freeReservation(m_jobs.at(key.job), key, worker); });
    return result;
}

void FleetState::applyCommand(const RecordUnsettledStarts& command)
{
    std::set<TaskKey> unsettled;
    const std::set<TaskKey> tasks = tasksOf(command.worker);
    for (const UnsettledStart& start : command.starts) {
        if (tasks.contains(start.task) && m_jobs.at(start.task.job).find(start.task)->run == start.run) {
            unsettled.insert(start.task);
        }
    }
    for (const TaskKey& key : tasks) {
        if (!unsettled.contains(key)) {
            unassign(key);
        }
    }
    m_unsettledStarts.merge(unsettled);
}

void FleetState::applyCommand(const RecordUnansweredStart& command)
{
    m_unansweredStarts.forget(command.forgetBeforeMs);
    m_unansweredStarts.record(command.worker, command.task, command.start);
}

void FleetState::forgetAddress(const Worker& worker)
{
    const auto entry = m_workerByAddress.find(worker.report.address);
    if (entry != m_workerByAddress.end() && entry->second == worker.number) {
        m_workerByAddress.erase(entry);
    }
}

void FleetState::applyCommand(const RemoveWorker& command) { removeWorker(command.worker, false); }

void FleetState::applyCommand(const RemoveLeftWorker& command) { removeWorker(command.worker, true); }

void FleetState::applyCommand(const RemoveReplacedWorker& command)
{
    const Worker* worker = findWorker(command.worker);
    if (worker == nullptr) {
        return;
    }
    const std::string id = worker->report.id;
    const std::int64_t ended = worker->report.incarnation;
    removeWorker(command.worker, false);
    if (command.incarnation > 0 && command.incarnation < ended) {
        RemovedWorker& removed = m_removedWorkers.at(id);
        removed.incarnation = command.incarnation;
        removed.sequence = 0;
        removed.wasDraining = false;
        std::int64_t& latest = m_latestStarts[id];
        latest = std::max(latest, ended);
    }
}

void FleetState::removeWorker(WorkerNumber number, bool hasLeft)
{
    const auto worker = m_workers.find(number);
    if (worker == m_workers.end()) {
        return;
    }
    const std::set<TaskKey> tasks = tasksOf(number);
    std::ranges::for_each(tasks, [this](const TaskKey& key) { unassign(key); });
    m_tasksByWorker.erase(number);
    forgetAddress(worker->second);
    rememberRemoved(worker->second, hasLeft);
    m_workerById.erase(worker->second.report.id);
    m_successors.erase(number);
    m_workers.erase(worker);
}

// A worker that doesn't tell its incarnation can't be told from a later one.
void FleetState::rememberRemoved(const Worker& worker, bool hasLeft)
{
    const WorkerReport& report = worker.report;
    if (report.incarnation == 0) {
        return;
    }
    const RemovedWorker entry { report.incarnation, report.sequence, report.isDraining, hasLeft, ++m_lastRemoval };
    m_removedWorkers[report.id] = entry;
    m_removalOrder[entry.order] = report.id;
    if (m_removedWorkers.size() > maxRemovedWorkers) {
        m_removedWorkers.erase(m_removalOrder.begin()->second);
        m_latestStarts.erase(m_removalOrder.begin()->second);
        m_removalOrder.erase(m_removalOrder.begin());
    }
}

bool FleetState::isOfRemovedWorker(const WorkerReport& report) const
{
    const auto latest = m_latestStarts.find(report.id);
    const std::int64_t latestStart = latest == m_latestStarts.end() ? 0 : latest->second;
    if (const Worker* current = findWorker(report.id)) {
        // Whether an incarnation in between is over or began since, only a list of runs tells.
        return report.incarnation > current->report.incarnation && report.incarnation <= latestStart;
    }
    const auto removed = m_removedWorkers.find(report.id);
    if (removed == m_removedWorkers.end()) {
        return false;
    }
    const RemovedWorker& known = removed->second;
    if (latestStart != 0 && report.incarnation == latestStart) {
        return true;
    }
    // The report that was recorded last may have been sent again.
    const bool isOlder = known.hasLeft || report.sequence < known.sequence;
    return report.incarnation < known.incarnation || (report.incarnation == known.incarnation && isOlder);
}

bool FleetState::canAssign(const Assignment& assignment) const
{
    const Job* job = findJob(assignment.task.job);
    const Worker* worker = findWorker(assignment.worker);
    const Task* task = job == nullptr ? nullptr : job->find(assignment.task);
    if (task == nullptr || worker == nullptr || worker->report.isDraining || !job->isActive()) {
        return false;
    }
    return task->phase == TaskPhase::Waiting && assignment.run > task->run
        && job->isStepReady(assignment.task.occurrence, assignment.task.step)
        && job->spec.steps[assignment.task.step].reservation().fitsInto(worker->free());
}

// The assignments of one command are checked one by one, since each reduces the capacity left for the next.
void FleetState::applyCommand(const AssignTasks& command)
{
    std::vector<TaskKey> assigned;
    for (const Assignment& assignment : command.assignments) {
        if (!canAssign(assignment)) {
            std::ranges::for_each(assigned, [this](const TaskKey& key) { unassign(key); });
            return;
        }
        assign(assignment);
        assigned.push_back(assignment.task);
    }
}

void FleetState::assign(const Assignment& assignment)
{
    Job& job = m_jobs.at(assignment.task.job);
    Task& task = *job.find(assignment.task);
    task.phase = TaskPhase::Assigned;
    task.run = assignment.run;
    task.worker = assignment.worker;
    --job.occurrences[assignment.task.occurrence][assignment.task.step].waitingTasks;
    reserve(job, assignment.task, assignment.worker);
    job.phase = JobPhase::Running;
    updateReady(job);
}

void FleetState::reserve(const Job& job, const TaskKey& key, WorkerNumber number)
{
    Worker& worker = m_workers.at(number);
    worker.reserved += job.spec.steps[key.step].reservation();
    ++worker.assignedTasks;
    m_tasksByWorker[number].insert(key);
}

void FleetState::freeReservation(const Job& job, const TaskKey& key, WorkerNumber number)
{
    const auto worker = m_workers.find(number);
    if (worker != m_workers.end()) {
        worker->second.reserved -= job.spec.steps[key.step].reservation();
        --worker->second.assignedTasks;
    }
    const auto tasks = m_tasksByWorker.find(number);
    if (tasks != m_tasksByWorker.end()) {
        tasks->second.erase(key);
    }
}

void FleetState::unassign(const TaskKey& key)
{
    const auto found = m_jobs.find(key.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job& job = found->second;
    Task* task = job.find(key);
    if (task == nullptr || task->phase != TaskPhase::Assigned) {
        return;
    }
    freeReservation(job, key, task->worker);
    m_unsettledStarts.erase(key);
    task->phase = TaskPhase::Waiting;
    task->worker = 0;
    ++job.occurrences[key.occurrence][key.step].waitingTasks;
    updateReady(job);
    if (!job.isActive()) {
        m_jobsToShrink.push_back(job.id);
    }
}

void FleetState::applyCommand(const ReleaseTask& command)
{
    const Job* job = findJob(command.task.job);
    const Task* task = job == nullptr ? nullptr : job->find(command.task);
    if (task != nullptr && task->phase == TaskPhase::Assigned && task->run == command.run) {
        unassign(command.task);
    }
}

void FleetState::applyCommand(const RecordTaskEnds& command)
{
    const auto worker = m_workers.find(command.worker);
    if (worker == m_workers.end()) {
        return;
    }
    for (const TaskEnd& end : command.ends) {
        if (end.number > worker->second.lastRecordedEnd) {
            worker->second.lastRecordedEnd = end.number;
            endTask(worker->second, end, command.nowMs);
        }
    }
}

void FleetState::endTask(Worker& worker, const TaskEnd& end, std::int64_t nowMs)
{
    const auto found = m_jobs.find(end.task.job);
    Task* task = found == m_jobs.end() ? nullptr : found->second.find(end.task);
    if (task == nullptr || task->run != end.run) {
        return;
    }
    Job& job = found->second;
    const StepSpec& step = job.spec.steps[end.task.step];
    // The worker was unreachable until after its lease expired, but had completed the task; it must not run again.
    if (task->phase == TaskPhase::Waiting && end.kind == TaskEndReason::Done && !step.isLongRunning && !step.isGang) {
        completeTask(job, end.task, nowMs);
        return;
    }
    if (task->phase != TaskPhase::Assigned || task->worker != worker.number) {
        return;
    }
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
    }
    unassign(end.task);
    if (end.kind == TaskEndReason::Done && !step.isLongRunning) {
        completeTask(job, end.task, nowMs);
    } else if (end.kind == TaskEndReason::Failed && !step.isLongRunning) {
        failTask(job, end.task, nowMs);
    }
}

// The tasks of a gang complete together, so the completion of one completes all of them.
void FleetState::completeTask(Job& job, const TaskKey& key, std::int64_t nowMs)
{
    StepProgress& progress = job.occurrences[key.occurrence][key.step];
    const bool isGang = job.spec.steps[key.step].isGang;
    for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
        Task& task = progress.tasks[index];
        if ((index != key.index && !isGang) || task.phase == TaskPhase::Done) {
            continue;
        }
        unassign({ key.job, key.occurrence, key.step, index });
        forgetCrashes(TaskKey { key.job, key.occurrence, key.step, index });
        task.phase = TaskPhase::Done;
        task.checkpoint.clear();
        --progress.waitingTasks;
        ++progress.doneTasks;
    }
    updateReady(job);
    finishIfDone(job, nowMs);
}

void FleetState::failTask(Job& job, const TaskKey& key, std::int64_t nowMs)
{
    StepProgress& progress = job.occurrences[key.occurrence][key.step];
    Task& task = progress.tasks[key.index];
    ++task.failures;
    ++progress.gangFailures;
    const Queue* queue = findQueue(job.queue);
    const std::uint32_t failures = job.spec.steps[key.step].isGang ? progress.gangFailures : task.failures;
    if (job.isActive() && queue != nullptr && failures >= queue->maxAttempts) {
        finishJob(job, JobPhase::Failed, nowMs);
    }
}

void FleetState::finishIfDone(Job& job, std::int64_t nowMs)
{
    const bool isDone = job.isActive() && std::ranges::all_of(job.occurrences, [](const auto& steps) {
        return std::ranges::all_of(steps, [](const StepProgress& step) { return step.doneTasks == step.tasks.size(); });
    });
    if (isDone) {
        finishJob(job, JobPhase::Done, nowMs);
    }
}

void FleetState::finishJob(Job& job, JobPhase phase, std::int64_t nowMs)
{
    job.phase = phase;
    job.finishedMs = nowMs;
    m_activeJobs[job.queue].erase(job.id);
    m_jobsToShrink.push_back(job.id);
    updateReady(job);
    if (phase != JobPhase::Failed) {
        forgetCrashes(job.id);
    }
}

void FleetState::updateReady(Job& job)
{
    const bool hasReadyTask = job.isActive() && job.findReadyTask();
    if (hasReadyTask == job.hasReadyTask) {
        return;
    }
    job.hasReadyTask = hasReadyTask;
    const auto update = [&](std::map<std::string, std::set<JobId>>& index) {
        if (hasReadyTask) {
            index[job.queue].insert(job.id);
        } else {
            index[job.queue].erase(job.id);
        }
    };
    update(m_readyJobs);
    if (std::ranges::any_of(job.spec.steps, &StepSpec::isLongRunning)) {
        update(m_readyLongRunningJobs);
    }
}

// Jobs with running tasks are kept, because the end of those tasks frees their reservations.
void FleetState::applyCommand(const PruneJobs& command)
{
    std::set<JobId> busy;
    for (const auto& [worker, tasks] : m_tasksByWorker) {
        std::ranges::transform(tasks, std::inserter(busy, busy.end()), &TaskKey::job);
    }
    std::erase_if(m_jobs, [&](const auto& entry) {
        const Job& job = entry.second;
        const bool isOld = !job.isActive() && job.finishedMs < command.finishedBeforeMs && !busy.contains(job.id);
        if (isOld) {
            forgetCrashes(job.id);
            forgetUrl(job);
            --m_jobCounts[job.queue];
        }
        return isOld;
    });
    std::erase_if(m_jobCounts, [](const auto& count) { return count.second == 0; });
    forgetRemovedQueues();
    std::erase_if(m_jobsByUrl, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_earlyCancels, [&](const auto& cancel) { return cancel.second < command.finishedBeforeMs; });
    m_unansweredStarts.forget(command.finishedBeforeMs);
}

void FleetState::forgetUrl(const Job& job)
{
    const Queue* queue = findQueue(job.queue);
    const auto current = queue == nullptr ? m_jobsByUrl.end() : m_jobsByUrl.find(queue->url());
    if (current != m_jobsByUrl.end() && current->second.erase(job.id) > 0) {
        return;
    }
    // The queue has moved since.
    for (auto& [url, jobs] : m_jobsByUrl) {
        jobs.erase(job.id);
    }
}

void FleetState::applyCommand(const RecordWave& command) { m_waves.emplace(command.wave.id, command.wave); }

void FleetState::applyCommand(const RecordWaveStep& command)
{
    const auto wave = m_waves.find(command.wave);
    if (wave == m_waves.end()) {
        return;
    }
    const auto vm = wave->second.vms.find(command.vm);
    if (vm != wave->second.vms.end() && vm->second != WaveVmPhase::Done) {
        vm->second = command.phase;
    }
}

void FleetState::applyCommand(const RecordNode& command) { m_nodes[command.node] = command.address; }

void FleetState::applyCommand(const RecordVmOrder& command) { m_vmOrderHolders[command.vm] = command.holder; }

void FleetState::rebuildIndexes()
{
    m_workerById.clear();
    m_jobCounts.clear();
    m_workerByAddress.clear();
    m_unconfirmedByTask.clear();
    m_removalOrder.clear();
    m_activeJobs.clear();
    m_readyJobs.clear();
    m_readyLongRunningJobs.clear();
    m_tasksByWorker.clear();
    for (const auto& [number, worker] : m_workers) {
        m_workerById[worker.report.id] = number;
        m_workerByAddress[worker.report.address] = number;
    }
    for (const auto& [id, removed] : m_removedWorkers) {
        m_removalOrder[removed.order] = id;
    }
    for (const auto& [id, crash] : m_unconfirmedCrashes) {
        std::ranges::for_each(crash.runs, [this](const CrashedRun& run) { ++m_unconfirmedByTask[run.task]; });
    }
    for (auto& [id, job] : m_jobs) {
        ++m_jobCounts[job.queue];
        job.hasReadyTask = false;
        updateReady(job);
        if (job.isActive()) {
            m_activeJobs[job.queue].insert(id);
        } else {
            // An earlier version kept all of it.
            m_jobsToShrink.push_back(id);
        }
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            for (std::uint32_t step = 0; step < job.occurrences[occurrence].size(); ++step) {
                const auto& tasks = job.occurrences[occurrence][step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].phase == TaskPhase::Assigned) {
                        m_tasksByWorker[tasks[index].worker].insert({ id, occurrence, step, index });
                    }
                }
            }
        }
    }
}

std::string FleetState::encodeSnapshot() const
{
    return base::encode(std::tie(m_configuration, m_jobs, m_workers, m_waves, m_nodes, m_queues, m_vmOrderHolders,
        m_lastWorker, m_earlyCancels, m_crashes, m_unconfirmedCrashes, m_removedWorkers, m_lastRemoval,
        m_unsettledStarts, m_successors, m_crashRecords, m_restarts, m_latestStarts, m_silentWithRack, m_lostRuns,
        m_jobsByUrl, m_unansweredStarts));
}

// A snapshot of an earlier version ends before the crashes or later, and what it lacks is then empty.
void FleetState::restoreSnapshot(std::string_view bytes)
{
    std::tie(m_configuration, m_jobs, m_workers, m_waves, m_nodes, m_queues, m_vmOrderHolders, m_lastWorker,
        m_earlyCancels, m_crashes, m_unconfirmedCrashes, m_removedWorkers, m_lastRemoval, m_unsettledStarts,
        m_successors, m_crashRecords, m_restarts, m_latestStarts, m_silentWithRack, m_lostRuns, m_jobsByUrl,
        m_unansweredStarts)
        = base::decode<SnapshotFields>(bytes);
    rebuildIndexes();
    m_restarts.rebuildIndex();
    m_unansweredStarts.rebuildIndex();
    if (m_jobsByUrl.empty()) {
        // An earlier version kept no URLs.
        for (const auto& [id, job] : m_jobs) {
            const Queue* queue = findQueue(job.queue);
            m_jobsByUrl[queue == nullptr ? QueueUrl {} : queue->url()].insert(id);
        }
    }
    // An earlier version kept all queues.
    forgetRemovedQueues();
    // An earlier version kept the sums only.
    for (const auto& [key, crashes] : m_crashes) {
        const auto [record, isNew] = m_crashRecords.try_emplace(key);
        const std::uint32_t known = isNew ? std::min<std::uint32_t>(crashes.crashes, maxCrashesPerTask) : 0;
        for (std::uint32_t crash = 0; crash < known; ++crash) {
            record->second.counted.push_back({ crashes.lastRun, {}, 0, crash < crashes.attributed, false });
        }
    }
    shrinkEndedJobs();
}

std::string encodeCommands(const std::vector<Command>& commands) { return base::encode(commands); }

std::vector<Command> decodeCommands(std::string_view bytes) { return base::decode<std::vector<Command>>(bytes); }

} // namespace crocuscove::jobs
