#include "crocuscove/jobs/scheduler.h"

#include "crocuscove/jobs/job_rank.h"
#include "crocuscove/jobs/rack_crash.h"
#include "crocuscove/jobs/room_forecast.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace crocuscove::jobs {

namespace {

/// Cost of a worker outside the preferred rack of a task, in the unit of SchedulingView::penalty.
constexpr double otherRackPenalty = 1.0;

/// Share of a worker's processor that long-running tasks may use before another worker is preferred.
constexpr double maxLongRunningUtilisation = 0.5;

/// Cost of each run on a worker that is suspected of crashes, for another such run.
constexpr double suspectPenalty = 2.0;
/// Share of a service's workers, at least one worker, that may be kept free for tasks that must start alone.
constexpr double maxKeptShare = 0.25;
/// Tasks of one service that one plan places alone, since each looks at all workers.
constexpr std::size_t maxIsolatedPerPlan = 32;

/// Share of a service's workers, at least one worker, on which room may be held for long-running tasks.
constexpr double maxHeldShare = 0.5;
/// A run time below this, in milliseconds, is taken for an estimate that wasn't given.
constexpr std::int64_t shortestForecastMs = 100;

/// Runs that are suspected of crashes, on one worker: those in their probation, and all that don't last.
struct Suspects {
    std::uint32_t count = 0;
    /// The job whose run must be alone there, if one does.
    std::optional<JobId> isolatedJob;
};

struct Candidate {
    const Worker* worker = nullptr;
    Resources free;
    double penalty = 0;
    /// Thousandths of a core used by long-running tasks on the worker, including tasks that reserve no processor time.
    std::int64_t longRunningCpuMilli = 0;
    Suspects suspects;
    /// Room is held here for a long-running task.
    bool isHeld = false;
    /// Sorted by the expected rest; loaded when first needed.
    std::optional<std::vector<EndingRun>> endingRuns;
};

struct Waiting {
    const Job* job = nullptr;
    JobRank rank;
};

/// Returns whether some waiting task of the job fits into `free`.
bool hasFittingTask(const Job& job, const Resources& free)
{
    return std::ranges::any_of(job.occurrences, [&](const std::vector<StepProgress>& steps) {
        return std::ranges::any_of(steps, [&](const StepProgress& step) {
            const auto number = static_cast<std::size_t>(&step - steps.data());
            return step.waitingTasks > 0 && job.spec.steps[number].reservation().fitsInto(free);
        });
    });
}

std::int64_t longRunningCpu(const FleetState& state, WorkerNumber worker)
{
    std::int64_t cpu = 0;
    for (const TaskKey& key : state.tasksOf(worker)) {
        const StepSpec& step = state.findJob(key.job)->spec.steps[key.step];
        cpu += step.isLongRunning ? step.perTask.cpuMilli : 0;
    }
    return cpu;
}

std::vector<EndingRun> endingRuns(const SchedulingView& view, const Worker& worker)
{
    std::vector<EndingRun> result;
    for (const TaskKey& key : view.state.tasksOf(worker.number)) {
        const Job& job = *view.state.findJob(key.job);
        const StepSpec& spec = job.spec.steps[key.step];
        if (!job.isActive()) {
            result.push_back({ spec.reservation(), 0 });
        } else if (!spec.isLongRunning) {
            const std::int64_t expectedMs
                = std::max(shortestForecastMs, view.runTimes.expectedMs(job.queue, spec.estimateMs));
            result.push_back({ spec.reservation(), expectedRestMs(expectedMs, view.ranMs(worker, key)) });
        }
    }
    std::ranges::sort(result, {}, &EndingRun::restMs);
    return result;
}

/// Assigns tasks to the workers of one service.
class ServicePlanner {
public:
    ServicePlanner(const SchedulingView& view, std::vector<Candidate> candidates, std::size_t& budget)
        : m_view(view)
        , m_candidates(std::move(candidates))
        , m_budget(budget)
    {
        std::ranges::for_each(m_candidates,
            [this](const Candidate& candidate) { m_largestFree = componentwiseMax(m_largestFree, candidate.free); });
    }

    /// Returns an upper bound of the free resources of any worker, per resource.
    [[nodiscard]] const Resources& largestFree() const { return m_largestFree; }

    [[nodiscard]] const std::vector<HeldRoom>& heldRooms() const { return m_held; }

    /// Places the tasks of this service that must start alone, or keeps workers free for them: their runs end their
    /// probation before another task's turn could be missed. Tasks for which no further worker may be kept are placed
    /// like all others.
    void planIsolated(const std::vector<TaskKey>& tasks, std::vector<AssignTasks>& plan)
    {
        const auto wanted = std::max<std::size_t>(
            1, static_cast<std::size_t>(maxKeptShare * static_cast<double>(m_candidates.size())));
        const auto kept = static_cast<std::size_t>(std::ranges::count_if(
            m_candidates, [](const Candidate& candidate) { return candidate.suspects.isolatedJob.has_value(); }));
        std::size_t mayKeep = std::min({ wanted - std::min(wanted, kept), maxIsolatedPerPlan });
        for (const TaskKey& key : tasks) {
            if (mayKeep == 0 || m_budget == 0) {
                return;
            }
            const auto [candidate, unprovenMs] = selectIsolated(key);
            if (candidate == nullptr) {
                continue;
            }
            --mayKeep;
            candidate->suspects.isolatedJob = key.job;
            m_isolated[key] = unprovenMs > 0 ? 0 : candidate->worker->number;
            if (unprovenMs > 0) {
                continue;
            }
            const Job& job = *m_view.state.findJob(key.job);
            const StepSpec& spec = job.spec.steps[key.step];
            candidate->free -= spec.reservation();
            candidate->longRunningCpuMilli += spec.isLongRunning ? spec.perTask.cpuMilli : 0;
            ++candidate->suspects.count;
            --m_budget;
            plan.push_back({ { { key, job.find(key)->run + 1, candidate->worker->number } } });
        }
    }

    void planJob(const Job& job, std::vector<AssignTasks>& plan)
    {
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            if (job.spec.dueMs(occurrence) > m_view.nowMs) {
                continue;
            }
            for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
                if (job.occurrences[occurrence][step].waitingTasks > 0 && job.isStepReady(occurrence, step)) {
                    planStep(job, occurrence, step, plan);
                }
            }
        }
    }

private:
    void planStep(const Job& job, std::uint32_t occurrence, std::uint32_t step, std::vector<AssignTasks>& plan)
    {
        const StepSpec& spec = job.spec.steps[step];
        const StepProgress& progress = job.occurrences[occurrence][step];
        if (spec.isGang && (progress.waitingTasks != progress.tasks.size() || hasPausedTask(job, occurrence, step))) {
            return;
        }
        auto perWorker = countPerWorker(job, occurrence, step);
        const std::uint32_t lastRun = std::ranges::max_element(progress.tasks, {}, &Task::run)->run;
        std::vector<Assignment> chosen;
        std::string rack = spec.dataRack;
        Candidate* last = nullptr;
        for (std::uint32_t index = 0; index < progress.tasks.size() && chosen.size() < m_budget; ++index) {
            const Task& task = progress.tasks[index];
            const TaskKey key { job.id, occurrence, step, index };
            if (task.phase != TaskPhase::Waiting || m_isolated.contains(key)
                || isPaused(m_view.state, key, m_view.nowMs)) {
                continue;
            }
            const bool isSuspect = m_view.state.crashes().contains(key);
            if (isSuspect || !isStillBest(spec, last, perWorker)) {
                last = selectWorker(key, spec, perWorker, rack, isSuspect);
            }
            if (last == nullptr && spec.isLongRunning && !spec.isGang && holdRoom(key, spec, perWorker)) {
                continue;
            }
            if (last == nullptr) {
                break;
            }
            Candidate* candidate = last;
            if (isSuspect) {
                ++candidate->suspects.count;
                last = nullptr;
            }
            candidate->free -= spec.reservation();
            candidate->longRunningCpuMilli += spec.isLongRunning ? spec.perTask.cpuMilli : 0;
            ++perWorker[candidate->worker->number];
            if (spec.prefersOneRack && rack.empty()) {
                rack = rackOf(candidate->worker->report);
            }
            const std::uint32_t run = spec.isGang ? lastRun + 1 : task.run + 1;
            chosen.push_back({ key, run, candidate->worker->number });
        }
        addToPlan(spec, progress, chosen, plan);
    }

    [[nodiscard]] bool hasPausedTask(const Job& job, std::uint32_t occurrence, std::uint32_t step) const
    {
        const auto& tasks = job.occurrences[occurrence][step].tasks;
        return std::ranges::any_of(tasks, [&](const Task& task) {
            const auto index = static_cast<std::uint32_t>(&task - tasks.data());
            return isPaused(m_view.state, { job.id, occurrence, step, index }, m_view.nowMs);
        });
    }

    void addToPlan(const StepSpec& spec, const StepProgress& progress, const std::vector<Assignment>& chosen,
        std::vector<AssignTasks>& plan)
    {
        if (spec.isGang && chosen.size() < progress.tasks.size()) {
            std::ranges::for_each(chosen, [&](const Assignment& assignment) {
                const auto candidate = std::ranges::find_if(
                    m_candidates, [&](const Candidate& other) { return other.worker->number == assignment.worker; });
                candidate->free += spec.reservation();
                m_largestFree = componentwiseMax(m_largestFree, candidate->free);
            });
            return;
        }
        m_budget -= std::min(m_budget, chosen.size());
        if (spec.isGang) {
            plan.push_back({ chosen });
            return;
        }
        std::ranges::transform(chosen, std::back_inserter(plan),
            [](const Assignment& assignment) { return AssignTasks { { assignment } }; });
    }

    /// Packs long-running tasks onto few VMs, but only up to a share of each VM, since they slow each other down.
    static std::int64_t longRunningCost(const StepSpec& spec, const Candidate& candidate)
    {
        const double utilisation = static_cast<double>(candidate.longRunningCpuMilli + spec.perTask.cpuMilli)
            / static_cast<double>(std::max<std::int64_t>(1, candidate.worker->report.capacity.cpuMilli));
        if (utilisation > maxLongRunningUtilisation) {
            return 2;
        }
        return candidate.longRunningCpuMilli > 0 ? 0 : 1;
    }

    /// Returns whether the worker of the last task is still the best one. If another task fits it is, since it has less
    /// free capacity than before and all others are unchanged.
    static bool isStillBest(
        const StepSpec& spec, const Candidate* last, const std::map<WorkerNumber, std::uint32_t>& perWorker)
    {
        return last != nullptr && !spec.isLongRunning && spec.reservation().fitsInto(last->free)
            && (spec.maxPerWorker == 0 || perWorker.at(last->worker->number) < spec.maxPerWorker);
    }

    void loadLongRunningCpu()
    {
        if (!std::exchange(m_hasLongRunningCpu, true)) {
            std::ranges::for_each(m_candidates, [this](Candidate& candidate) {
                candidate.longRunningCpuMilli = longRunningCpu(m_view.state, candidate.worker->number);
            });
        }
    }

    /// Selects the fullest worker with enough free capacity (best fit), which leaves room for large tasks elsewhere and
    /// idle VMs that can be moved to other pools.
    Candidate* selectWorker(const TaskKey& key, const StepSpec& spec,
        const std::map<WorkerNumber, std::uint32_t>& perWorker, const std::string& rack, bool isSuspect)
    {
        const Resources required = spec.reservation();
        if (!required.fitsInto(m_largestFree)) {
            return nullptr;
        }
        if (spec.isLongRunning) {
            loadLongRunningCpu();
        }
        Resources largestFree;
        Candidate* best = nullptr;
        std::tuple<double, std::int64_t, std::int64_t> bestCost { std::numeric_limits<double>::max(), 0, 0 };
        for (Candidate& candidate : m_candidates) {
            const Worker& worker = *candidate.worker;
            largestFree = componentwiseMax(largestFree, candidate.free);
            if (!required.fitsInto(candidate.free) || !isAllowed(spec, candidate, perWorker)
                || isKeptForOther(candidate, key.job)) {
                continue;
            }
            const double distance = rack.empty() || worker.hasLabel(rack) ? 0 : otherRackPenalty;
            const double suspects = isSuspect ? suspectPenalty * candidate.suspects.count : 0;
            const std::tuple cost { candidate.penalty + distance + suspects,
                spec.isLongRunning ? longRunningCost(spec, candidate) : 0,
                spec.isLongRunning ? candidate.longRunningCpuMilli : candidate.free.cpuMilli };
            if (cost < bestCost) {
                best = &candidate;
                bestCost = cost;
            }
        }
        m_largestFree = largestFree;
        return best;
    }

    /// Holds room for a task on the worker where it is expected to fit first. Returns false if there is none, or room
    /// is held on too many already.
    bool holdRoom(const TaskKey& key, const StepSpec& spec, std::map<WorkerNumber, std::uint32_t>& perWorker)
    {
        const auto allowed = std::max<std::ptrdiff_t>(
            1, static_cast<std::ptrdiff_t>(maxHeldShare * static_cast<double>(m_candidates.size())));
        const bool mayHoldMore = std::ranges::count_if(m_candidates, &Candidate::isHeld) < allowed;
        Candidate* best = nullptr;
        std::tuple<std::int64_t, double> bestCost;
        for (Candidate& candidate : m_candidates) {
            if ((!mayHoldMore && !candidate.isHeld) || !isAllowed(spec, candidate, perWorker)
                || isKeptForOther(candidate, key.job)) {
                continue;
            }
            if (!candidate.endingRuns) {
                candidate.endingRuns = endingRuns(m_view, *candidate.worker);
            }
            const auto fitsInMs = forecastFit(spec.reservation(), candidate.free, *candidate.endingRuns);
            const std::tuple cost { fitsInMs.value_or(0), candidate.penalty };
            if (fitsInMs && (best == nullptr || cost < bestCost)) {
                best = &candidate;
                bestCost = cost;
            }
        }
        if (best == nullptr) {
            return false;
        }
        best->isHeld = true;
        best->free -= spec.reservation();
        ++perWorker[best->worker->number];
        m_held.push_back({ key, best->worker->number, std::get<0>(bestCost) });
        return true;
    }

    /// Returns whether a worker has the label that a step requires and may run another of its tasks.
    static bool isAllowed(
        const StepSpec& spec, const Candidate& candidate, const std::map<WorkerNumber, std::uint32_t>& perWorker)
    {
        const auto existing = perWorker.find(candidate.worker->number);
        const std::uint32_t count = existing == perWorker.end() ? 0 : existing->second;
        return isAllowedOn(*candidate.worker, spec, count);
    }

    static bool isKeptForOther(const Candidate& candidate, JobId job)
    {
        return candidate.suspects.isolatedJob && *candidate.suspects.isolatedJob != job;
    }

    /// Counts the tasks of a step on each worker, with those that were placed alone by this plan.
    [[nodiscard]] std::map<WorkerNumber, std::uint32_t> countPerWorker(
        const Job& job, std::uint32_t occurrence, std::uint32_t step) const
    {
        std::map<WorkerNumber, std::uint32_t> result;
        for (const Task& task : job.occurrences[occurrence][step].tasks) {
            if (task.phase == TaskPhase::Assigned) {
                ++result[task.worker];
            }
        }
        for (const auto& [key, worker] : m_isolated) {
            if (key.job == job.id && key.occurrence == occurrence && key.step == step && worker != 0) {
                ++result[worker];
            }
        }
        return result;
    }

    /// Returns how long it takes, in milliseconds, until no run of another job is in its probation on the worker.
    [[nodiscard]] std::int64_t unprovenMs(const Candidate& candidate, JobId job) const
    {
        std::int64_t longest = 0;
        for (const TaskKey& key : m_view.state.tasksOf(candidate.worker->number)) {
            longest = key.job == job ? longest : std::max(longest, m_view.unprovenMs(*candidate.worker, key));
        }
        return longest;
    }

    /// Selects the worker on which a task can start alone first, and returns when, in milliseconds from now.
    std::pair<Candidate*, std::int64_t> selectIsolated(const TaskKey& key)
    {
        const Job& job = *m_view.state.findJob(key.job);
        const StepSpec& spec = job.spec.steps[key.step];
        const auto perWorker = countPerWorker(job, key.occurrence, key.step);
        Candidate* best = nullptr;
        std::tuple<std::int64_t, double> bestCost;
        for (Candidate& candidate : m_candidates) {
            if (!spec.reservation().fitsInto(candidate.free) || isKeptForOther(candidate, key.job)
                || !isAllowed(spec, candidate, perWorker)) {
                continue;
            }
            const std::tuple cost { unprovenMs(candidate, key.job),
                candidate.penalty + suspectPenalty * candidate.suspects.count };
            if (best == nullptr || cost < bestCost) {
                best = &candidate;
                bestCost = cost;
            }
        }
        return { best, std::get<0>(bestCost) };
    }

    const SchedulingView& m_view;
    std::vector<Candidate> m_candidates;
    /// The workers of tasks that were placed alone; 0 for a task that waits for the worker that is kept free for it.
    std::map<TaskKey, WorkerNumber> m_isolated;
    std::vector<HeldRoom> m_held;
    /// Upper bound per resource: a task that does not fit into it fits no worker.
    Resources m_largestFree;
    bool m_hasLongRunningCpu = false;
    std::size_t& m_budget;
};

/// The jobs of one service in the order in which they are placed.
struct ServiceQueue {
    explicit ServiceQueue(ServicePlanner servicePlanner)
        : planner(std::move(servicePlanner))
    {
    }

    ServicePlanner planner;
    std::vector<Waiting> ranked;
    /// The first job that isn't planned yet. A job that the budget cut short is left to the next plan.
    std::size_t next = 0;
};

struct QueuedJob {
    const Job* job = nullptr;
    const Queue* queue = nullptr;
};

using JobsByService = std::map<std::string, std::vector<QueuedJob>>;

struct CrashView {
    std::map<WorkerNumber, Suspects> suspects;
    /// Tasks that may start now and must start alone, by service.
    std::map<std::string, std::vector<TaskKey>> isolatedByService;
};

/// Looks at the tasks with crashes on record only.
CrashView crashView(const SchedulingView& view)
{
    CrashView result;
    for (const auto& [key, crashes] : view.state.crashes()) {
        const Job* job = view.state.findJob(key.job);
        const Task* task = job == nullptr || !job->isActive() ? nullptr : job->find(key);
        const bool isIsolated = crashes.crashes >= isolationCrashes;
        if (task == nullptr) {
            continue;
        }
        const Worker* worker = task->phase == TaskPhase::Assigned ? view.state.findWorker(task->worker) : nullptr;
        const Queue* queue = view.state.findQueue(job->queue);
        if (worker != nullptr) {
            const bool isUnproven = view.unprovenMs(*worker, key) > 0;
            Suspects& suspects = result.suspects[worker->number];
            suspects.count += isUnproven || !job->spec.steps[key.step].isLongRunning ? 1 : 0;
            suspects.isolatedJob = isIsolated && isUnproven ? key.job : suspects.isolatedJob;
        } else if (isIsolated && task->phase == TaskPhase::Waiting && queue != nullptr
            && !job->spec.steps[key.step].isGang && job->isStepReady(key.occurrence, key.step)
            && !isPaused(view.state, key, view.nowMs) && job->spec.dueMs(key.occurrence) <= view.nowMs) {
            result.isolatedByService[queue->service].push_back(key);
        }
    }
    return result;
}

/// Returns the usable workers of the services that have waiting tasks.
std::map<std::string, std::vector<Candidate>> candidatesByService(
    const SchedulingView& view, const JobsByService& waiting, const CrashView& crashes)
{
    std::map<std::string, std::vector<Candidate>> result;
    if (waiting.empty()) {
        return result;
    }
    for (const auto& entry : view.state.workers()) {
        const Worker& worker = entry.second;
        if (!worker.report.isDraining && waiting.contains(worker.report.service) && view.isUsable(worker)) {
            const auto suspects = crashes.suspects.find(worker.number);
            Candidate& candidate = result[worker.report.service].emplace_back();
            candidate.worker = &worker;
            candidate.free = worker.free();
            candidate.penalty = view.penalty(worker);
            candidate.suspects = suspects == crashes.suspects.end() ? Suspects {} : suspects->second;
        }
    }
    return result;
}

JobsByService waitingJobsByService(const SchedulingView& view)
{
    JobsByService result;
    for (const auto& [queueName, jobs] : view.state.readyJobs()) {
        const Queue* queue = view.state.findQueue(queueName);
        if (queue != nullptr && !jobs.empty()) {
            std::ranges::transform(jobs, std::back_inserter(result[queue->service]), [&](JobId id) {
                return QueuedJob { &view.state.jobs().at(id), queue };
            });
        }
    }
    return result;
}

/// Returns the jobs with a task that fits into `free` or for which room may be held, the most urgent first.
std::vector<Waiting> rankJobs(const SchedulingView& view, const std::vector<QueuedJob>& jobs, const Resources& free)
{
    std::vector<Waiting> result;
    for (const auto& [job, queue] : jobs) {
        if (std::ranges::any_of(job->spec.steps, &StepSpec::isLongRunning) || hasFittingTask(*job, free)) {
            result.push_back({ job, rankOf(*job, *queue, view.runTimes, view.nowMs) });
        }
    }
    std::ranges::sort(result, {}, &Waiting::rank);
    return result;
}

} // namespace

// A step back of the time of day must not prolong the wait.
bool isPaused(const FleetState& state, const TaskKey& task, std::int64_t nowMs)
{
    const bool mayWait = !state.lostRuns().empty() || !state.unansweredStarts().empty();
    if (!mayWait || state.findJob(task.job)->spec.steps[task.step].isLongRunning) {
        return false;
    }
    if (state.isDeadly(task)) {
        return true;
    }
    const std::int64_t startMs = state.nextStartMs(task);
    return nowMs < startMs && startMs <= nowMs + lastConfirmationWait.count();
}

// The budget of a plan is shared, so that a service with a long backlog doesn't keep the others from starting anything:
// long-running tasks of all services come first, then each service has an equal share, then what is left goes round.
AssignmentPlan planAssignments(const SchedulingView& view, std::size_t maxTasks)
{
    AssignmentPlan plan;
    std::size_t budget = maxTasks;
    const JobsByService waitingJobs = waitingJobsByService(view);
    CrashView crashes = crashView(view);
    auto candidates = candidatesByService(view, waitingJobs, crashes);
    std::vector<ServiceQueue> queues;
    queues.reserve(candidates.size());
    const auto planWhile = [&](ServiceQueue& queue, const std::function<bool(const Waiting&)>& isWanted) {
        for (; budget > 0 && queue.next < queue.ranked.size() && isWanted(queue.ranked[queue.next]); ++queue.next) {
            queue.planner.planJob(*queue.ranked[queue.next].job, plan.commands);
        }
    };
    const auto isAny = [](const Waiting&) { return true; };
    for (auto& [service, workers] : candidates) {
        ServiceQueue& queue = queues.emplace_back(ServicePlanner(view, std::move(workers), budget));
        queue.planner.planIsolated(crashes.isolatedByService[service], plan.commands);
        queue.ranked = rankJobs(view, waitingJobs.at(service), queue.planner.largestFree());
        planWhile(queue, [](const Waiting& entry) { return entry.rank.urgency == Urgency::LongRunning; });
    }
    std::size_t unshared = std::exchange(budget, 0);
    for (std::size_t number = 0; number < queues.size(); ++number) {
        const std::size_t share = unshared / (queues.size() - number);
        budget = share;
        planWhile(queues[number], isAny);
        unshared -= share - budget;
    }
    budget = unshared;
    std::ranges::for_each(queues, [&](ServiceQueue& queue) {
        planWhile(queue, isAny);
        std::ranges::copy(queue.planner.heldRooms(), std::back_inserter(plan.held));
    });
    return plan;
}

} // namespace crocuscove::jobs
