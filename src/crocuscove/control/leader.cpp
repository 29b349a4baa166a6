#include "leader.h"

#include "platform/task_name.h"
#include "run_names.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace crocuscove::control {

namespace {

/// Changes within this time are planned together.
constexpr base::Milliseconds planDelay { 5 };
/// Share of the time that plans may take.
constexpr double maxPlanShare = 0.1;
/// Tasks that become due by time alone, and workers that become usable, are found at this interval.
constexpr base::Milliseconds tickInterval { 100 };
constexpr base::Milliseconds forgetInterval { 5'000 };
/// Assignments of one plan, so that one entry of the log stays small.
constexpr std::size_t maxTasksPerPlan = 400;
/// Share of the descriptors for idle connections to workers. The rest is left for a renewal with each worker, callers,
/// our own nodes and files.
constexpr double idleConnectionShare = 0.4;
/// Penalty of a worker all of whose last runs failed; above that of a distant rack.
constexpr double failurePenalty = 4.0;
/// Penalty of a worker whose VM is still to be maintained, so that tasks aren't interrupted twice.
constexpr double duePenalty = 0.5;

/// The last contact with a worker that is gone is remembered for this long, so that the crash of a rack is known also
/// when its workers come back one after the other.
constexpr base::Milliseconds pastContactAge { 60'000 };
constexpr std::size_t maxPastContacts = 2'000;

http::HttpClientOptions workerClientOptions(std::size_t maxDescriptors)
{
    http::HttpClientOptions options;
    options.maxIdlePerEndpoint = 6;
    options.maxIdleConnections = static_cast<std::size_t>(static_cast<double>(maxDescriptors) * idleConnectionShare);
    options.connectTimeout = base::Milliseconds(500);
    options.maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    return options;
}

bool changesWorkers(const jobs::Command& command)
{
    return std::holds_alternative<jobs::RecordWorker>(command) || std::holds_alternative<jobs::RemoveWorker>(command)
        || std::holds_alternative<jobs::RemoveLeftWorker>(command)
        || std::holds_alternative<jobs::RemoveReplacedWorker>(command);
}

std::optional<jobs::WorkerNumber> removedWorker(const jobs::Command& command)
{
    if (const auto* removal = std::get_if<jobs::RemoveWorker>(&command)) {
        return removal->worker;
    }
    if (const auto* removal = std::get_if<jobs::RemoveLeftWorker>(&command)) {
        return removal->worker;
    }
    if (const auto* removal = std::get_if<jobs::RemoveReplacedWorker>(&command)) {
        return removal->worker;
    }
    return std::nullopt;
}

std::int64_t unixNow() { return base::wallNow().time_since_epoch().count(); }

} // namespace

Leader::Leader(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, process::Metrics& metrics,
    Cluster& cluster)
    : m_loop(loop)
    , m_options(options)
    , m_log(log)
    , m_metrics(metrics)
    , m_cluster(cluster)
    , m_client(loop, workerClientOptions(options.maxDescriptors))
    , m_workTimes(log, metrics)
    , m_fleet(
          loop, options, log, cluster, m_runTimes, m_workTimes,
          [this](jobs::WorkerNumber number) -> WorkerSession* {
              const auto session = m_sessions.find(number);
              return session == m_sessions.end() ? nullptr : session->second.get();
          },
          [this](const std::string& workerId) {
              const jobs::Worker* worker = m_cluster.state().findWorker(workerId);
              return worker != nullptr
                  && std::ranges::any_of(m_heldRooms, [&](const auto& room) { return room.second == worker->number; });
          })
    , m_planPacer(planDelay, maxPlanShare)
    , m_queueHeads(log, metrics)
{
    m_workTimes.measure(Work::FollowLog, [this] { syncSessions({}); });
    m_tickDueAt = base::monotonicNow() + tickInterval;
    m_forgetAt = base::monotonicNow() + forgetInterval;
    m_tickTimer = loop.runEvery(tickInterval, [this] { tick(); });
}

Leader::~Leader() { *m_isAlive = false; }

void Leader::tick()
{
    const auto now = base::monotonicNow();
    m_workTimes.recordDelay(std::exchange(m_tickDueAt, now + tickInterval), now);
    schedulePlan();
    m_workTimes.measure(Work::GiveUpTasks, [&] { giveUpDeadlyTasks(now); });
    m_workTimes.measure(Work::Pacing, [&] { m_pacer.adjust(m_cluster.state(), m_sessions, now); });
    if (m_cluster.hasLeadership(now)) {
        m_workTimes.measure(Work::QueueHeads, [&] { m_queueHeads.report(schedulingView(now), now); });
    }
    if (now >= m_forgetAt) {
        m_forgetAt = now + forgetInterval;
        m_workTimes.measure(Work::ForgetJobs, [this] { forgetJobs(); });
    }
}

void Leader::proposeCommand(jobs::Command command, std::function<void(bool)> callback)
{
    m_cluster.propose(std::move(command), [callback = std::move(callback)](ProposalOutcome outcome) {
        if (callback) {
            callback(outcome == ProposalOutcome::Applied);
        }
    });
}

SessionHooks Leader::sessionHooks()
{
    SessionHooks hooks;
    hooks.propose = [this](jobs::Command command, std::function<void(bool)> callback) {
        proposeCommand(std::move(command), std::move(callback));
    };
    hooks.onRunTime = [this](const jobs::TaskKey& key, std::int64_t runMs) {
        const jobs::Job* job = m_cluster.state().findJob(key.job);
        if (job != nullptr) {
            m_runTimes.add(job->queue, runMs);
        }
    };
    hooks.onOrder = [this](std::string_view outcome, base::MonotonicTime sentAt) {
        const std::chrono::duration<double> waited = base::monotonicNow() - sentAt;
        m_metrics.count("task_start", std::string(outcome));
        m_metrics.observe("task_start", waited.count());
    };
    hooks.isReserved = [this](const std::string& workerId) { return m_fleet.isReserved(workerId); };
    hooks.onCrash = [this](jobs::RecordCrash crash, std::int64_t restartedMs) {
        const jobs::Worker* worker = m_cluster.state().findWorker(crash.worker);
        const std::string service = worker == nullptr ? std::string() : worker->report.service;
        proposeCrash(std::move(crash), service, restartedMs);
    };
    hooks.mayOrder = [this] { return m_cluster.hasLeadership(base::monotonicNow()); };
    return hooks;
}

// Numbers rise, and each worker has a session, so that only sessions of workers that were replaced, which no command
// names, have to be looked for.
void Leader::syncSessions(const std::vector<jobs::Command>& commands)
{
    const auto& workers = m_cluster.state().workers();
    for (const jobs::Command& command : commands) {
        if (const auto number = removedWorker(command); number && !workers.contains(*number)) {
            endSession(m_sessions.find(*number));
        }
    }
    for (auto worker = workers.upper_bound(m_lastWorker); worker != workers.end(); ++worker) {
        m_lastWorker = worker->first;
        m_sessions.emplace(m_lastWorker,
            std::make_unique<WorkerSession>(m_loop, m_client, m_options, m_log, m_cluster.state(), worker->second,
                m_cluster.servingTerm(), sessionHooks()));
    }
    for (auto session = m_sessions.begin(); session != m_sessions.end() && m_sessions.size() > workers.size();) {
        const auto current = session++;
        if (!workers.contains(current->first)) {
            endSession(current);
        }
    }
}

void Leader::endSession(std::map<jobs::WorkerNumber, std::unique_ptr<WorkerSession>>::iterator session)
{
    if (session == m_sessions.end()) {
        return;
    }
    rememberContact(*session->second);
    m_loggedCrashes.erase({ session->first, false });
    m_loggedCrashes.erase({ session->first, true });
    m_sessions.erase(session);
}

/// A job that ended otherwise than as done leaves tasks that must be stopped.
void Leader::collectTasksOfEndedJob(jobs::JobId id, std::set<jobs::WorkerNumber>& changed) const
{
    const jobs::Job* job = m_cluster.state().findJob(id);
    if (job == nullptr || job->isActive()) {
        return;
    }
    for (const auto& steps : job->occurrences) {
        for (const auto& step : steps) {
            std::ranges::for_each(step.tasks, [&](const jobs::Task& task) {
                if (task.phase == jobs::TaskPhase::Assigned) {
                    changed.insert(task.worker);
                }
            });
        }
    }
}

void Leader::collectChanged(const jobs::Command& command, std::set<jobs::WorkerNumber>& changed)
{
    std::visit(
        [&](const auto& typed) {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, jobs::AssignTasks>) {
                std::ranges::for_each(
                    typed.assignments, [&](const jobs::Assignment& item) { changed.insert(item.worker); });
            } else if constexpr (std::is_same_v<Type, jobs::RecordTaskEnds>) {
                changed.insert(typed.worker);
                std::ranges::for_each(typed.ends, [&](const jobs::TaskEnd& end) {
                    m_metrics.count("task_ended", std::string(jobs::taskEndReasonName(end.kind)));
                    collectTasksOfEndedJob(end.task.job, changed);
                });
            } else if constexpr (std::is_same_v<Type,
                                     jobs::CancelJob> || std::is_same_v<Type, jobs::CancelAcceptedJob>) {
                collectTasksOfEndedJob(typed.job, changed);
            } else if constexpr (std::is_same_v<Type, jobs::RecordConfirmedCrash>) {
                onCrashApplied(typed.crash, changed);
            } else if constexpr (std::is_same_v<Type, jobs::RecordReportedCrash>) {
                onCrashApplied(typed.crash.crash, changed);
            } else if constexpr (std::is_same_v<Type, jobs::GiveUpDeadlyTask>) {
                onGiveUpApplied(typed, changed);
            } else if constexpr (std::is_same_v<Type, jobs::RecordSuspectedCrash>) {
                logPausedTasks(typed.crash);
            } else if constexpr (std::is_same_v<Type, jobs::AcceptJob>) {
                onAcceptApplied(typed.job);
            } else if constexpr (std::is_same_v<Type, jobs::AcceptJobAtUrl>) {
                onAcceptApplied(typed.accepted.job);
            } else if constexpr (std::is_same_v<Type, jobs::PruneJobs>) {
                m_runTimes.keepOnly([state = &m_cluster.state()](
                                        const std::string& queue) { return state->findQueue(queue) != nullptr; });
            } else if constexpr (std::is_same_v<Type, jobs::RecordWorker>) {
                const jobs::Worker* worker = m_cluster.state().findWorker(typed.report.id);
                if (worker != nullptr) {
                    changed.insert(worker->number);
                }
            } else if constexpr (std::is_same_v<Type, jobs::RecordUnsettledStarts>) {
                changed.insert(typed.worker);
            }
        },
        command);
}

void Leader::onAcceptApplied(jobs::JobId id)
{
    if (const jobs::Job* job = m_cluster.state().findJob(id)) {
        m_fleet.addArrival(*job);
    }
}

void Leader::recordCrashBefore(const jobs::WorkerReport& report)
{
    const jobs::FleetState& state = m_cluster.state();
    const std::set<const jobs::Worker*> known { state.findWorker(report.id), state.findWorkerAt(report.address) };
    for (const jobs::Worker* worker : known) {
        const bool isReplaced = worker != nullptr && worker->report.incarnation < report.incarnation;
        const auto session = isReplaced ? m_sessions.find(worker->number) : m_sessions.end();
        if (session == m_sessions.end()) {
            continue;
        }
        if (worker->report.id == report.id) {
            session->second->noteLaterIncarnation(report.incarnation);
        } else if (auto crash = session->second->crash(true)) {
            proposeCrash(std::move(*crash), worker->report.service, report.incarnation);
        }
    }
    for (const auto& [worker, crash] : state.unconfirmedCrashes()) {
        if ((worker == report.id || crash.address == report.address) && crash.incarnation < report.incarnation) {
            // The service of a worker that was removed isn't known; mostly what comes to its place is of the same pool.
            proposeCrash(
                { worker, crash.incarnation, crash.runs, true, unixNow() }, report.service, report.incarnation);
        }
    }
}

void Leader::proposeCrash(jobs::RecordCrash crash, const std::string& service, std::int64_t restartedMs)
{
    const jobs::FleetState& state = m_cluster.state();
    const jobs::Worker* worker = state.findWorker(crash.worker);
    const bool isPresent = worker != nullptr && worker->report.incarnation == crash.incarnation;
    const auto session = isPresent ? m_sessions.find(worker->number) : m_sessions.end();
    const bool isRack = session != m_sessions.end() && isRackCrash(*session->second);
    const auto hasCrashes = [&](const jobs::CrashedRun& run) { return state.crashes().contains(run.task); };
    const bool wasLogged = isPresent && !m_loggedCrashes.emplace(worker->number, crash.isConfirmed).second;
    if (!wasLogged && isRack && std::ranges::none_of(crash.runs, hasCrashes)) {
        m_metrics.count("worker_crash", "rack");
        m_log.warning("rack_crash",
            { { "worker", crash.worker }, { "incarnation", crash.incarnation },
                { "rack", jobs::rackOf(worker->report) }, { "confirmed", crash.isConfirmed },
                { "restarted_ms", restartedMs }, { "tasks", runNames(crash.runs) } });
    } else if (!wasLogged) {
        logCrash({ crash, service, restartedMs, isRack });
    }
    if (crash.isConfirmed) {
        proposeCommand(jobs::RecordReportedCrash { { std::move(crash), service, restartedMs, isRack } }, nullptr);
        return;
    }
    if (!crash.runs.empty()) {
        proposeCommand(jobs::RecordSuspectedCrash { std::move(crash), isRack }, nullptr);
    }
}

bool Leader::isRackCrash(const WorkerSession& session) const
{
    const std::optional<jobs::WorkerContact> crashed = session.contact();
    if (!crashed) {
        return false;
    }
    std::vector<jobs::WorkerContact> others;
    const auto isBeside = [&](const std::string& service, const std::string& rack) {
        return rack == crashed->rack && service == crashed->service;
    };
    for (const PastContact& past : m_pastContacts) {
        if (isBeside(past.contact.service, past.contact.rack)) {
            others.push_back(past.contact);
        }
    }
    for (const auto& [number, other] : m_sessions) {
        auto contact = isBeside(other->service(), other->rack()) ? other->contact() : std::nullopt;
        if (contact) {
            others.push_back(std::move(*contact));
        }
    }
    return jobs::isRackCrash(*crashed, others);
}

void Leader::rememberContact(const WorkerSession& session)
{
    const auto now = base::monotonicNow();
    while (!m_pastContacts.empty() && m_pastContacts.front().endedAt + pastContactAge < now) {
        m_pastContacts.pop_front();
    }
    auto contact = session.contact();
    if (!contact) {
        return;
    }
    m_pastContacts.push_back({ std::move(*contact), now });
    if (m_pastContacts.size() > maxPastContacts) {
        m_pastContacts.pop_front();
    }
}

void Leader::logCrash(const jobs::RecordConfirmedCrash& record)
{
    const jobs::RecordCrash& crash = record.crash;
    const bool isAttributed = !record.isOfRack && std::ranges::any_of(crash.runs, &jobs::CrashedRun::isAttributed);
    m_log.warning("worker_crash",
        { { "worker", crash.worker }, { "service", record.service }, { "incarnation", crash.incarnation },
            { "confirmed", crash.isConfirmed }, { "restarted_ms", record.restartedMs },
            { "with_rack", record.isOfRack }, { "suspects", crash.runs.size() }, { "tasks", runNames(crash.runs) },
            { "attributed", isAttributed } });
    if (crash.isConfirmed) {
        m_metrics.count("worker_crash", isAttributed ? "attributed" : "several-suspects");
    }
}

void Leader::onCrashApplied(const jobs::RecordCrash& crash, std::set<jobs::WorkerNumber>& changed)
{
    for (const jobs::CrashedRun& run : crash.runs) {
        logExcusedCrashes(run.task);
        // A command of an earlier version may have ended the job.
        collectTasksOfEndedJob(run.task.job, changed);
    }
    logPausedTasks(crash);
}

void Leader::onGiveUpApplied(const jobs::GiveUpDeadlyTask& command, std::set<jobs::WorkerNumber>& changed)
{
    const jobs::FleetState& state = m_cluster.state();
    const jobs::Job* job = state.findJob(command.task.job);
    if (job == nullptr || job->isActive()) {
        logExcusedCrashes(command.task);
        return;
    }
    const auto crashes = state.crashes().find(command.task);
    if (crashes == state.crashes().end() || job->finishedMs != command.nowMs) {
        return;
    }
    m_metrics.count("job_given_up", "worker-crashes");
    m_log.warning("job_given_up",
        { { "task", platform::taskName(command.task) }, { "run", crashes->second.lastRun },
            { "crashes", crashes->second.crashes }, { "attributed", crashes->second.attributed } });
    collectTasksOfEndedJob(command.task.job, changed);
}

void Leader::logExcusedCrashes(const jobs::TaskKey& task)
{
    const std::uint32_t excused = m_cluster.state().excusedCrashes(task);
    if (excused == 0) {
        return;
    }
    m_metrics.count("worker_crash", "restart-burst");
    m_log.info("crashes_excused",
        { { "task", platform::taskName(task) }, { "crashes", excused }, { "reason", "restart-burst" } });
}

// Repeated until it is applied: the proposal of a leader that loses its office may be lost.
void Leader::giveUpDeadlyTasks(base::MonotonicTime now)
{
    if (m_isGivingUp || !m_cluster.hasLeadership(now)) {
        return;
    }
    const std::int64_t nowMs = unixNow();
    const std::vector<jobs::TaskKey> tasks = m_cluster.state().tasksToGiveUp(nowMs);
    m_isGivingUp = !tasks.empty();
    for (const jobs::TaskKey& task : tasks) {
        const bool isLast = task == tasks.back();
        proposeCommand(jobs::GiveUpDeadlyTask { task, nowMs }, [this, isLast, alive = m_isAlive](bool) {
            if (*alive && isLast) {
                m_isGivingUp = false;
            }
        });
    }
}

void Leader::logPausedTasks(const jobs::RecordCrash& crash)
{
    const jobs::FleetState& state = m_cluster.state();
    for (const jobs::CrashedRun& run : crash.runs) {
        const auto lost = state.lostRuns().find(run.task);
        if (lost == state.lostRuns().end() || !jobs::isPaused(state, run.task, unixNow())) {
            continue;
        }
        m_metrics.count("task_paused", crash.isConfirmed ? "crashed" : "silent");
        m_log.info("task_paused",
            { { "task", platform::taskName(run.task) }, { "run", run.run }, { "worker", crash.worker },
                { "lost_runs", lost->second.runs }, { "start_ms", state.nextStartMs(run.task) } });
    }
}

void Leader::onApplied(const std::vector<jobs::Command>& commands)
{
    m_workTimes.measure(Work::FollowLog, [&] { followLog(commands); });
    schedulePlan();
}

void Leader::followLog(const std::vector<jobs::Command>& commands)
{
    // No commands stand for a snapshot that was installed.
    if (commands.empty() || std::ranges::any_of(commands, changesWorkers)) {
        syncSessions(commands);
    }
    std::set<jobs::WorkerNumber> changed;
    std::ranges::for_each(commands, [&](const jobs::Command& command) { collectChanged(command, changed); });
    std::ranges::for_each(changed, [this](jobs::WorkerNumber worker) {
        const auto session = m_sessions.find(worker);
        if (session != m_sessions.end()) {
            session->second->update();
        }
    });
}

std::uint64_t Leader::countWaitingJobs(const jobs::Queue& queue) const
{
    return m_cluster.state().countActiveJobs(
        queue, [this](const jobs::Job& job) { return job.spec.repeatCount == 0 && !hasStarted(job); });
}

bool Leader::hasStarted(const jobs::Job& job) const
{
    if (job.phase == jobs::JobPhase::Queued) {
        return false;
    }
    for (std::uint32_t step = 0; step < job.occurrences.front().size(); ++step) {
        const auto& tasks = job.occurrences.front()[step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const jobs::Task& task = tasks[index];
            const auto session = m_sessions.find(task.worker);
            const bool runsNow = task.phase == jobs::TaskPhase::Assigned && session != m_sessions.end()
                && session->second->hasStarted({ job.id, 0, step, index });
            if (runsNow || task.phase == jobs::TaskPhase::Done || task.failures > 0 || !task.checkpoint.empty()) {
                return true;
            }
        }
    }
    return false;
}

void Leader::checkLeave(jobs::WorkerNumber worker)
{
    const auto session = m_sessions.find(worker);
    if (session != m_sessions.end()) {
        session->second->checkLeave();
    }
}

void Leader::askHolder(jobs::WorkerNumber worker, std::function<void(AddressHolder)> callback) const
{
    const auto session = m_sessions.find(worker);
    if (session == m_sessions.end()) {
        callback(AddressHolder::Unknown);
        return;
    }
    session->second->askHolder(std::move(callback));
}

std::optional<base::Milliseconds> Leader::reportAge(jobs::WorkerNumber worker, std::int64_t clockMs) const
{
    const auto session = m_sessions.find(worker);
    return session == m_sessions.end() ? std::nullopt : session->second->clock().age(clockMs, base::monotonicNow());
}

void Leader::schedulePlan()
{
    if (m_isPlanWanted) {
        return;
    }
    m_isPlanWanted = true;
    const base::MonotonicTime earliest = base::monotonicNow() + planDelay;
    m_planTimer = m_loop.runAt(std::max(earliest, m_planPacer.nextAt()), [this] {
        m_isPlanWanted = false;
        const auto begin = base::monotonicNow();
        m_workTimes.measure(Work::Plan, [this] { plan(); });
        m_planPacer.record(begin, base::monotonicNow());
    });
}

jobs::SchedulingView Leader::schedulingView(base::MonotonicTime now) const
{
    return {
        .state = m_cluster.state(),
        .runTimes = m_runTimes,
        .nowMs = unixNow(),
        .isUsable =
            [this, now](const jobs::Worker& worker) {
                const auto session = m_sessions.find(worker.number);
                return session != m_sessions.end() && session->second->isUsable(now)
                    && !m_fleet.isReserved(worker.report.id);
            },
        .penalty =
            [this](const jobs::Worker& worker) {
                const WorkerHealth& health = m_sessions.at(worker.number)->health();
                const double due = m_fleet.isDue(worker.report.id) ? duePenalty : 0;
                return failurePenalty * health.failureShare + health.unanswered + due;
            },
        .unprovenMs =
            [this, now](const jobs::Worker& worker, const jobs::TaskKey& task) {
                const auto session = m_sessions.find(worker.number);
                return session == m_sessions.end() ? jobs::crashProbation.count()
                                                   : session->second->unprovenMs(task, now);
            },
        .ranMs =
            [this, now](const jobs::Worker& worker, const jobs::TaskKey& task) {
                const auto session = m_sessions.find(worker.number);
                return session == m_sessions.end() ? std::int64_t { 0 } : session->second->ranMs(task, now);
            },
    };
}

void Leader::recordHeldRooms(const std::vector<jobs::HeldRoom>& held)
{
    std::map<jobs::TaskKey, jobs::WorkerNumber> rooms;
    for (const jobs::HeldRoom& room : held) {
        rooms[room.task] = room.worker;
        const auto known = m_heldRooms.find(room.task);
        if (known == m_heldRooms.end() || known->second != room.worker) {
            m_log.info("room_held",
                { { "task", platform::taskName(room.task) },
                    { "worker", m_cluster.state().findWorker(room.worker)->report.id },
                    { "expected_ms", room.expectedMs } });
        }
    }
    m_heldRooms = std::move(rooms);
    m_metrics.setGauge("held_rooms", static_cast<double>(m_heldRooms.size()));
}

// One plan at a time: the next one is made from the state that the one before has changed.
void Leader::plan()
{
    const auto now = base::monotonicNow();
    if (m_isPlanning || !m_cluster.hasLeadership(now)) {
        return;
    }
    jobs::AssignmentPlan plan = jobs::planAssignments(schedulingView(now), maxTasksPerPlan);
    recordHeldRooms(plan.held);
    std::vector<jobs::AssignTasks>& assignments = plan.commands;
    if (assignments.empty()) {
        return;
    }
    m_isPlanning = true;
    const auto finish = [this, alive = m_isAlive](ProposalOutcome) {
        if (*alive) {
            m_isPlanning = false;
            schedulePlan();
        }
    };
    for (std::size_t item = 0; item < assignments.size(); ++item) {
        const bool isLast = item + 1 == assignments.size();
        m_cluster.propose(
            std::move(assignments[item]), isLast ? std::function<void(ProposalOutcome)>(finish) : nullptr);
    }
}

void Leader::forgetJobs()
{
    const std::int64_t before = unixNow() - m_options.keepFinishedJobs.count();
    const bool hasOld = std::ranges::any_of(m_cluster.state().jobs(),
        [&](const auto& entry) { return !entry.second.isActive() && entry.second.finishedMs < before; });
    const bool hasOldCancel = std::ranges::any_of(
        m_cluster.state().earlyCancels(), [&](const auto& cancel) { return cancel.second < before; });
    if (hasOld || hasOldCancel) {
        proposeCommand(jobs::PruneJobs { before }, nullptr);
    }
}

} // namespace crocuscove::control
