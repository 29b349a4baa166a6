#include "job_controller.h"

#include "crocuscove/placement/first_fit.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace crocuscove::server {

namespace {

using Json = nlohmann::ordered_json;

constexpr base::Milliseconds renewInterval { 1000 };
constexpr base::Milliseconds commandTimeout { 5000 };
/// A worker that this leader has not heard yet may still run its jobs for the rest of its lease.
constexpr base::Milliseconds firstReportGrace { 12'000 };
constexpr std::size_t maxPlacementsPerTick = 1000;

const state::JobRecord* findJob(const state::State& state, const base::JobId& job)
{
    const auto entry = state.jobs().find(job);
    return entry == state.jobs().end() ? nullptr : &entry->second;
}

bool isHeldBy(const state::JobRecord& job, const WorkerReport& report)
{
    return job.state == state::JobState::Running && job.worker == report.worker
        && job.workerIncarnation == report.incarnation;
}

state::Resources subtract(state::Resources from, const state::Resources& used)
{
    from.cores -= std::min(from.cores, used.cores);
    from.memoryMb -= std::min(from.memoryMb, used.memoryMb);
    from.accelerators -= std::min(from.accelerators, used.accelerators);
    return from;
}

} // namespace

JobController::JobController(const base::Log& log, Replica& replica)
    : m_log(log)
    , m_replica(replica)
{
}

void JobController::beginLeading(base::MonotonicTime now)
{
    m_table.clear();
    m_pending.clear();
    m_leaseGraceEnd = now + firstReportGrace;
}

Json JobController::report(const WorkerReport& report)
{
    if (!m_table.report(base::monotonicNow(), report)) {
        return { { "error", "stale-incarnation" } };
    }
    for (const TaskReport& task : report.tasks) {
        const auto* job = findJob(m_replica.state(), task.job);
        if (job != nullptr && isHeldBy(*job, report) && job->token == task.token) {
            finishTask(*job, task);
        }
    }
    return answer(report);
}

void JobController::finishTask(const state::JobRecord& job, const TaskReport& task)
{
    using state::JobState;
    switch (task.state) {
    case TaskState::Running:
        break;
    case TaskState::Done:
        propose(task.job, state::FinishJob { task.job, task.token, JobState::Done, false, "" });
        break;
    case TaskState::Failed:
        propose(task.job,
            state::FinishJob {
                task.job, task.token, JobState::Failed, false, "the task failed on " + job.worker.text() });
        break;
    case TaskState::Checkpointed: {
        const auto outcome = job.isCancelRequested ? JobState::Cancelled : JobState::Queued;
        propose(task.job, state::FinishJob { task.job, task.token, outcome, true, "checkpointed" });
        break;
    }
    }
}

Json JobController::answer(const WorkerReport& report) const
{
    Json start = Json::array();
    Json stop = Json::array();
    const auto isReported = [&](const state::JobRecord& job) {
        return std::ranges::any_of(
            report.tasks, [&](const TaskReport& task) { return task.job == job.spec.job && task.token == job.token; });
    };
    for (const auto& [id, job] : m_replica.state().jobs()) {
        if (isHeldBy(job, report) && !isReported(job)) {
            start.push_back({ { "job", id.text() }, { "token", job.token }, { "checkpoint", job.hasCheckpoint } });
        }
    }
    const bool isDrainingVm = isDraining(report.vm);
    for (const TaskReport& task : report.tasks) {
        const auto* job = findJob(m_replica.state(), task.job);
        const bool isCurrent = job != nullptr && isHeldBy(*job, report) && job->token == task.token;
        if (!isCurrent || job->isCancelRequested) {
            stop.push_back({ { "job", task.job.text() }, { "token", task.token }, { "how", "stop" } });
        } else if (isDrainingVm && job->spec.isIdempotent) {
            stop.push_back({ { "job", task.job.text() }, { "token", task.token }, { "how", "checkpoint" } });
        }
    }
    const bool mayStop = (isDrainingVm || report.isLeaving) && report.tasks.empty() && start.empty();
    return { { "renewWithinMs", renewInterval.count() }, { "start", start }, { "stop", stop },
        { "drain", isDrainingVm }, { "mayStop", mayStop } };
}

bool JobController::isDraining(const base::VmId& vm) const
{
    const auto entry = m_replica.state().vms().find(vm);
    return entry != m_replica.state().vms().end() && entry->second.phase != state::VmPhase::Serving;
}

void JobController::tick(base::MonotonicTime now)
{
    m_table.expire(now);
    expireLeases(now);
    place(now);
}

void JobController::expireLeases(base::MonotonicTime now)
{
    for (const auto& [id, job] : m_replica.state().jobs()) {
        if (job.state != state::JobState::Running) {
            continue;
        }
        const auto worker = m_table.workers().find(job.worker);
        const bool isSilent = worker == m_table.workers().end() && m_leaseGraceEnd <= now;
        const bool hasRestarted
            = worker != m_table.workers().end() && worker->second.report.incarnation != job.workerIncarnation;
        if (isSilent || hasRestarted) {
            m_log.warning("job_lease_expired",
                { { "job", id.text() }, { "worker", job.worker.text() }, { "token", job.token },
                    { "reason", isSilent ? "worker-silent" : "worker-restarted" } });
            propose(id, state::ExpireLease { id, job.token });
        }
    }
}

void JobController::place(base::MonotonicTime)
{
    std::vector<const state::JobRecord*> queued;
    std::map<base::WorkerId, state::Resources> used;
    for (const auto& [id, job] : m_replica.state().jobs()) {
        if (job.state == state::JobState::Queued && !m_pending.contains(id) && queued.size() < maxPlacementsPerTick) {
            queued.push_back(&job);
        } else if (job.state == state::JobState::Running) {
            auto& sum = used[job.worker];
            sum.cores += job.spec.declared.cores;
            sum.memoryMb += job.spec.declared.memoryMb;
            sum.accelerators += job.spec.declared.accelerators;
        }
    }
    if (queued.empty()) {
        return;
    }
    std::vector<placement::FreeWorker> free;
    for (const auto& [id, worker] : m_table.workers()) {
        if (!worker.report.isLeaving && !isDraining(worker.report.vm)) {
            free.push_back({ id, worker.report.incarnation, subtract(worker.report.capacity, used[id]) });
        }
    }
    for (const placement::Assignment& assignment : placement::placeFirstFit(queued, std::move(free))) {
        m_log.info("job_placed",
            { { "job", assignment.job.text() }, { "worker", assignment.worker.text() }, { "reason", "first-fit" } });
        propose(assignment.job, state::StartJob { assignment.job, assignment.worker, assignment.workerIncarnation });
    }
}

void JobController::propose(const base::JobId& job, const state::Command& command)
{
    if (!m_pending.insert(job).second) {
        return;
    }
    m_replica.propose(
        command, base::monotonicNow() + commandTimeout, [this, job](const ProposalResult&) { m_pending.erase(job); });
}

} // namespace crocuscove::server
