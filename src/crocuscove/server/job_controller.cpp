#include "job_controller.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

using Json = nlohmann::ordered_json;

constexpr base::Milliseconds renewInterval { 1000 };
constexpr base::Milliseconds commandTimeout { 5000 };
/// A new leader waits this long for a worker's first report before it expires the worker's leases. Until then the
/// worker may still hold a valid lease from the previous leader.
constexpr base::Milliseconds leaseGracePeriod { 12'000 };
/// Total number of starts after which an idempotent job that keeps failing is no longer retried.
constexpr std::uint32_t maxStartsOfFailedJob = 5;

const state::JobRecord* findJob(const state::State& state, const base::JobId& job)
{
    const auto entry = state.jobs().find(job);
    return entry == state.jobs().end() ? nullptr : &entry->second;
}

bool isRunningOn(const state::JobRecord& job, const WorkerReport& report)
{
    return job.state == state::JobState::Running && job.worker == report.worker
        && job.workerIncarnation == report.incarnation;
}

std::string describeRejection(const placement::RejectAction& reject)
{
    const auto where = reject.shortage.worker.empty() ? "the quota" : "worker " + reject.shortage.worker.text();
    return fmt::format("{}: nearest miss is {} of {}, {} needed, {} available",
        placement::rejectReasonName(reject.reason), placement::resourceKindName(reject.shortage.resource), where,
        reject.shortage.needed, reject.shortage.available);
}

} // namespace

JobController::JobController(const base::Log& log, Replica& replica)
    : m_log(log)
    , m_replica(replica)
{
}

void JobController::beginLeading(base::MonotonicTime now)
{
    m_workerTable.clear();
    m_pendingCommands.clear();
    m_instructions.clear();
    m_health = {};
    m_learnedSizes = {};
    m_leaseGraceEnd = now + leaseGracePeriod;
    m_observingSince = base::wallNow();
}

Json JobController::handleReport(const WorkerReport& report)
{
    if (!m_workerTable.report(base::monotonicNow(), report)) {
        return { { "error", "stale-incarnation" } };
    }
    for (const TaskReport& task : report.tasks) {
        const auto* job = findJob(m_replica.state(), task.job);
        if (job != nullptr && isRunningOn(*job, report) && job->token == task.token) {
            applyTaskReport(*job, task);
        }
    }
    return buildResponse(report);
}

void JobController::applyTaskReport(const state::JobRecord& job, const TaskReport& task)
{
    using state::JobState;
    switch (task.state) {
    case TaskState::Running:
        break;
    case TaskState::Done:
        proposeFinish(job, task, JobState::Done, "");
        break;
    case TaskState::Failed: {
        const bool isBlamed = placement::isBlamed(m_health, task.job, {});
        const bool mayRetry
            = job.spec.isIdempotent && !job.isCancelRequested && !isBlamed && job.starts < maxStartsOfFailedJob;
        const auto outcome = job.isCancelRequested ? JobState::Cancelled : JobState::Failed;
        proposeFinish(job, task, mayRetry ? JobState::Queued : outcome, "the task failed on " + job.worker.text());
        break;
    }
    case TaskState::Checkpointed:
        proposeFinish(job, task, job.isCancelRequested ? JobState::Cancelled : JobState::Queued, "checkpointed");
        break;
    }
}

void JobController::proposeFinish(
    const state::JobRecord& job, const TaskReport& task, state::JobState outcome, const std::string& reason)
{
    if (m_pendingCommands.contains(task.job)) {
        return;
    }
    recordTaskOutcome(job, task, task.state == TaskState::Failed && !job.isCancelRequested);
    m_instructions.erase(task.job);
    const bool hasCheckpoint = task.state == TaskState::Checkpointed;
    propose(task.job, state::FinishJob { task.job, task.token, outcome, hasCheckpoint, reason });
}

void JobController::recordTaskOutcome(const state::JobRecord& job, const TaskReport& task, bool hasFailed)
{
    const auto now = base::wallNow();
    if (task.state == TaskState::Checkpointed || job.isCancelRequested) {
        return;
    }
    placement::recordOutcome(m_health, { job.worker, task.job, hasFailed }, {}, now);
    if (!hasFailed) {
        const auto runTime = std::max(base::Milliseconds(0), m_replica.state().now() - job.changedAt);
        placement::recordSample(m_learnedSizes, job.spec, { task.usage, runTime }, {}, now);
    }
}

Json JobController::buildResponse(const WorkerReport& report)
{
    rebuildJobIndex();
    Json start = Json::array();
    Json stop = Json::array();
    const auto isReported = [&](const state::JobRecord& job) {
        return std::ranges::any_of(
            report.tasks, [&](const TaskReport& task) { return task.job == job.spec.job && task.token == job.token; });
    };
    std::ranges::for_each(m_runningByWorker[report.worker], [&](const state::JobRecord* job) {
        if (isRunningOn(*job, report) && !isReported(*job)) {
            start.push_back(
                { { "job", job->spec.job.text() }, { "token", job->token }, { "checkpoint", job->hasCheckpoint } });
        }
    });
    const bool isDrainingVm = isDraining(report.vm);
    for (const TaskReport& task : report.tasks) {
        const auto action = stopInstruction(report, task, isDrainingVm);
        if (!action.empty()) {
            stop.push_back({ { "job", task.job.text() }, { "token", task.token }, { "how", action } });
        }
    }
    const bool mayStop = (isDrainingVm || report.isLeaving) && report.tasks.empty() && start.empty();
    return { { "renewWithinMs", renewInterval.count() }, { "start", start }, { "stop", stop },
        { "drain", isDrainingVm }, { "mayStop", mayStop } };
}

std::string JobController::stopInstruction(const WorkerReport& report, const TaskReport& task, bool isDraining) const
{
    const auto* job = findJob(m_replica.state(), task.job);
    const bool isCurrent = job != nullptr && isRunningOn(*job, report) && job->token == task.token;
    if (!isCurrent || job->isCancelRequested) {
        return "stop";
    }
    if (isDraining && job->spec.isIdempotent) {
        return "checkpoint";
    }
    const auto instruction = m_instructions.find(task.job);
    return instruction != m_instructions.end() && instruction->second.token == task.token ? instruction->second.action
                                                                                          : "";
}

bool JobController::isDraining(const base::VmId& vm) const
{
    const auto entry = m_replica.state().vms().find(vm);
    return entry != m_replica.state().vms().end() && entry->second.phase != state::VmPhase::Serving;
}

void JobController::tick(base::MonotonicTime now)
{
    m_workerTable.expire(now);
    rebuildJobIndex();
    expireLeases(now);
    runPlacement();
}

// The index holds pointers into the replicated state, so it is rebuilt after every applied log entry.
void JobController::rebuildJobIndex()
{
    if (m_jobIndexEntry == m_replica.appliedIndex()) {
        return;
    }
    m_jobIndexEntry = m_replica.appliedIndex();
    m_runningByWorker.clear();
    m_queuedJobs.clear();
    for (const auto& [id, job] : m_replica.state().jobs()) {
        if (job.state == state::JobState::Running) {
            m_runningByWorker[job.worker].push_back(&job);
        } else if (job.state == state::JobState::Queued) {
            m_queuedJobs.push_back(&job);
        }
    }
    std::ranges::stable_sort(m_queuedJobs, {}, [](const state::JobRecord* job) { return job->submittedAt; });
}

void JobController::expireLeases(base::MonotonicTime now)
{
    for (const auto& [id, jobs] : m_runningByWorker) {
        const auto worker = m_workerTable.workers().find(id);
        const bool isKnown = worker != m_workerTable.workers().end();
        for (const state::JobRecord* job : jobs) {
            const bool isSilent = !isKnown && m_leaseGraceEnd <= now;
            const bool hasRestarted = isKnown && worker->second.report.incarnation != job->workerIncarnation;
            if ((isSilent || hasRestarted) && !m_pendingCommands.contains(job->spec.job)) {
                m_log.warning("job_lease_expired",
                    { { "job", job->spec.job.text() }, { "worker", id.text() }, { "token", job->token },
                        { "reason", isSilent ? "worker-silent" : "worker-restarted" } });
                propose(job->spec.job, state::ExpireLease { job->spec.job, job->token });
            }
        }
    }
}

std::vector<placement::WorkerView> JobController::workerViews() const
{
    std::vector<placement::WorkerView> views;
    std::ranges::transform(m_workerTable.workers(), std::back_inserter(views), [this](const auto& entry) {
        const WorkerReport& report = entry.second.report;
        placement::WorkerView view;
        view.worker = entry.first;
        view.incarnation = report.incarnation;
        view.vm = report.vm;
        view.rack = report.rack;
        view.dataCentre = report.dataCentre;
        view.capacity = report.capacity;
        std::ranges::for_each(report.tasks, [&](const TaskReport& task) {
            view.used.cores += task.usage.cores;
            view.used.memoryMb += task.usage.memoryMb;
            view.used.accelerators += task.usage.accelerators;
        });
        view.acceptsJobs = !report.isLeaving && !isDraining(report.vm);
        view.health = placement::healthOf(m_health, entry.first);
        return view;
    });
    return views;
}

std::vector<placement::TeamView> JobController::teamViews() const
{
    std::map<base::TeamId, placement::TeamView> teams;
    for (const auto& [service, record] : m_replica.state().documents()) {
        const auto* document = m_replica.state().serviceDocument(service);
        if (document != nullptr && document->jobs) {
            teams.insert_or_assign(
                document->team, placement::TeamView { document->team, document->jobs->share, document->jobs->quota });
        }
    }
    std::vector<placement::TeamView> views;
    std::ranges::transform(teams, std::back_inserter(views), [](const auto& entry) { return entry.second; });
    return views;
}

placement::PlacementView JobController::buildPlacementView() const
{
    placement::PlacementView view;
    view.workers = workerViews();
    view.teams = teamViews();
    view.observingSince = m_observingSince;
    std::vector<state::Resources> capacities;
    std::ranges::transform(view.workers, std::back_inserter(capacities), &placement::WorkerView::capacity);
    const auto byCores = [](const state::Resources& left, const state::Resources& right) {
        return std::tie(left.cores, left.memoryMb, left.accelerators)
            < std::tie(right.cores, right.memoryMb, right.accelerators);
    };
    std::ranges::sort(capacities, byCores);
    capacities.erase(std::unique(capacities.begin(), capacities.end()), capacities.end());
    const auto add = [&](const state::JobRecord* job) {
        placement::JobView entry;
        entry.record = job;
        entry.size = placement::learnedSize(m_learnedSizes, job->spec, capacities, {});
        const auto pending = m_pendingCommands.find(job->spec.job);
        if (pending != m_pendingCommands.end() && job->state == state::JobState::Queued && !pending->second.empty()) {
            entry.startingOn = pending->second;
        }
        const auto instruction = m_instructions.find(job->spec.job);
        entry.isStopping = instruction != m_instructions.end() && instruction->second.action == "checkpoint";
        entry.isThrottled = instruction != m_instructions.end() && instruction->second.action == "throttle";
        view.jobs.push_back(entry);
    };
    std::ranges::for_each(m_runningByWorker, [&](const auto& entry) { std::ranges::for_each(entry.second, add); });
    std::ranges::for_each(m_queuedJobs, add);
    return view;
}

void JobController::updateHealth(const std::vector<placement::WorkerView>& workers)
{
    for (const placement::HealthChange& change : placement::updateHealth(m_health, workers, {}, base::wallNow())) {
        m_log.warning("worker_health_changed",
            { { "worker", change.worker.text() }, { "health", placement::workerHealthName(change.health) },
                { "reason", placement::healthReasonName(change.reason) } });
    }
}

void JobController::runPlacement()
{
    std::erase_if(m_instructions, [&](const auto& entry) {
        const auto* job = findJob(m_replica.state(), entry.first);
        return job == nullptr || job->state != state::JobState::Running || job->token != entry.second.token;
    });
    auto view = buildPlacementView();
    updateHealth(view.workers);
    if (view.jobs.empty()) {
        return;
    }
    std::ranges::for_each(view.workers,
        [&](placement::WorkerView& worker) { worker.health = placement::healthOf(m_health, worker.worker); });
    executePlan(placement::planPlacement(view, {}, base::wallNow()));
}

void JobController::executePlan(const placement::PlacementPlan& plan)
{
    for (const placement::StartAction& start : plan.starts) {
        if (m_pendingCommands.contains(start.job)) {
            continue;
        }
        m_log.info("job_placed",
            { { "job", start.job.text() }, { "worker", start.worker.text() },
                { "reason", placement::startReasonName(start.reason) } });
        propose(start.job, state::StartJob { start.job, start.worker, start.incarnation });
    }
    for (const placement::PreemptAction& preempt : plan.preempts) {
        m_log.info("job_preempted",
            { { "job", preempt.job.text() }, { "worker", preempt.worker.text() }, { "for_job", preempt.forJob.text() },
                { "reason", placement::preemptReasonName(preempt.reason) } });
        m_instructions.insert_or_assign(preempt.job, Instruction { preempt.token, "checkpoint" });
    }
    for (const placement::ThrottleAction& throttle : plan.throttles) {
        m_log.info("job_throttled",
            { { "job", throttle.job.text() }, { "worker", throttle.worker.text() },
                { "reason", placement::throttleReasonName(throttle.reason) } });
        m_instructions.insert_or_assign(throttle.job, Instruction { throttle.token, "throttle" });
    }
    for (const placement::RejectAction& reject : plan.rejects) {
        const auto reason = describeRejection(reject);
        m_log.info("job_rejected", { { "job", reject.job.text() }, { "reason", reason } });
        propose(reject.job, state::RejectJob { reject.job, reason });
    }
}

void JobController::propose(const base::JobId& job, const state::Command& command)
{
    const auto* start = std::get_if<state::StartJob>(&command);
    if (!m_pendingCommands.emplace(job, start == nullptr ? base::WorkerId() : start->worker).second) {
        return;
    }
    m_replica.propose(command, base::monotonicNow() + commandTimeout,
        [this, job](const ProposalResult&) { m_pendingCommands.erase(job); });
}

} // namespace crocuscove::server
