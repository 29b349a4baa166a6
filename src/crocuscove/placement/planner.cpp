#include "planner.h"

#include "pressure.h"

#include <limits>

namespace crocuscove::placement {

namespace {

/// Searches of one team in one round that may find no worker.
constexpr std::size_t maxMissesPerTeam = 32;
/// Jobs of one team that are looked at for one probe.
constexpr std::size_t maxProbeCandidates = 8;

bool isWaiting(const JobView& job)
{
    return job.record->state == state::JobState::Queued && !job.record->isCancelRequested && !job.startingOn;
}

} // namespace

KnownMisfits::KnownMisfits()
{
    for (auto& row : m_memory) {
        row.fill(std::numeric_limits<std::uint64_t>::max());
    }
}

bool KnownMisfits::contains(const state::Resources& need) const
{
    const auto accelerators = std::min<std::size_t>(need.accelerators, maxAccelerators);
    const auto cores = std::min<std::size_t>(need.cores, maxCores);
    return m_memory[accelerators][cores] <= need.memoryMb;
}

void KnownMisfits::add(const state::Resources& need)
{
    // A size beyond the table could not be told from smaller ones that share its entry.
    for (std::size_t row = need.accelerators; row <= maxAccelerators && need.accelerators < maxAccelerators; ++row) {
        for (std::size_t cores = need.cores; cores <= maxCores && need.cores < maxCores; ++cores) {
            m_memory[row][cores] = std::min(m_memory[row][cores], need.memoryMb);
        }
    }
}

Planner::Planner(const PlacementView& view, const PlacementOptions& options, base::WallTime now)
    : m_view(view)
    , m_options(options)
    , m_now(now)
    , m_index(view)
    , m_shares(view, m_index.total())
    , m_capacities(distinctCapacities(view.workers))
    , m_isStarted(view.jobs.size())
{
}

PlacementPlan Planner::plan()
{
    m_mayReject = isObserved();
    readJobs();
    m_index.buildOrder();
    m_shares.refresh();
    relievePressure(m_view, m_options, m_index, m_plan);
    serveOverdue();
    preemptFor(fill(&Team::urgent, StartReason::Urgent, m_options.maxPreemptionSearches));
    serveProbes();
    fill(&Team::patient, StartReason::FairShare, 0);
    return std::move(m_plan);
}

void Planner::readJobs()
{
    for (const JobView& job : m_view.jobs) {
        const bool isRunning = job.record->state == state::JobState::Running;
        if (isRunning || job.startingOn) {
            if (const auto worker = m_index.find(isRunning ? job.record->worker : *job.startingOn, job.workerHint)) {
                m_index.occupy(*worker, job.size);
                if (isRunning && (job.isStopping || mayPreempt(job, m_options))) {
                    m_movable.push_back({ .job = &job, .worker = *worker });
                }
            }
            add(m_shares.team(m_shares.teamOf(job)).used, job.size);
        } else if (isWaiting(job) && !reject(job)) {
            queue(job);
        }
    }
    const auto submittedAt = [](const JobView* job) { return job->record->submittedAt; };
    for (std::size_t team = 0; team < m_shares.size(); ++team) {
        std::ranges::stable_sort(m_shares.team(team).urgent, {}, submittedAt);
        std::ranges::stable_sort(m_shares.team(team).patient, {}, submittedAt);
    }
}

void Planner::queue(const JobView& job)
{
    Team& team = m_shares.team(m_shares.teamOf(job));
    (job.record->spec.isUrgent ? team.urgent : team.patient).push_back(&job);
}

bool Planner::isObserved() const
{
    const auto observed = m_now - m_view.observingSince;
    const bool areAllKnown = std::ranges::all_of(m_view.workers, &WorkerView::isObserved);
    return observed >= (areAllKnown ? m_options.observationBound : m_options.unobservedBound);
}

bool Planner::reject(const JobView& job)
{
    if (m_plan.rejects.size() >= m_options.maxRejects) {
        return false;
    }
    const Team& team = m_shares.team(m_shares.teamOf(job));
    if (const auto miss = team.quota ? missOf(job.size, *team.quota) : std::nullopt) {
        m_plan.rejects.push_back({ job.record->spec.job, RejectReason::LargerThanQuota, *miss });
        return true;
    }
    const auto isCovered = [&](const state::Resources& capacity) { return fits(job.size, capacity); };
    if (!m_mayReject || std::ranges::any_of(m_capacities, isCovered)) {
        return false;
    }
    const auto miss = nearestMiss(job.size, m_view.workers);
    if (miss) {
        m_plan.rejects.push_back({ job.record->spec.job, RejectReason::LargerThanEveryWorker, *miss });
    }
    return miss.has_value();
}

std::vector<const JobView*> Planner::overdueJobs()
{
    const double mean = m_shares.meanShare();
    std::vector<const JobView*> overdue;
    for (std::size_t position = 0; position < m_shares.size(); ++position) {
        const Team& team = m_shares.team(position);
        const auto bound = team.weightedShare <= mean ? m_options.overdueBound : m_options.starvationBound;
        const auto entry = std::ranges::find_if(
            team.patient, [&](const JobView* job) { return m_now - job->record->changedAt >= bound; });
        if (entry != team.patient.end()) {
            overdue.push_back(*entry);
        }
    }
    std::ranges::stable_sort(overdue, {}, [](const JobView* job) { return job->record->changedAt; });
    return overdue;
}

void Planner::serveOverdue()
{
    const std::size_t limit = std::clamp<std::size_t>(m_view.workers.size() / 50, 1, m_options.maxReservations);
    std::size_t served = 0;
    for (const JobView* job : overdueJobs()) {
        if (served == limit) {
            break;
        }
        const std::size_t team = m_shares.teamOf(*job);
        if (!m_shares.isWithinQuota(team, job->size)) {
            m_shares.team(team).isHeld = true;
            continue;
        }
        ++served;
        if (!start(*job, team, StartReason::Overdue)) {
            reserve(*job);
        }
    }
}

void Planner::reserve(const JobView& job)
{
    if (const auto worker = m_index.closestToFit(job.size)) {
        m_index.withhold(*worker);
    }
}

std::vector<const JobView*> Planner::fill(TeamJobs jobs, StartReason reason, std::size_t keep)
{
    struct Cursor {
        std::size_t next = 0;
        std::size_t misses = 0;
    };
    std::vector<Cursor> cursors(m_shares.size());
    std::vector<const JobView*> unplaced;
    std::set<std::pair<double, std::size_t>> order;
    for (std::size_t team = 0; team < m_shares.size(); ++team) {
        if (!(m_shares.team(team).*jobs).empty() && !m_shares.team(team).isHeld) {
            order.emplace(m_shares.team(team).weightedShare, team);
        }
    }
    // Starts the next job of the team that the free capacity and the quota admit.
    const auto startNext = [&](std::size_t team) {
        const auto& waiting = m_shares.team(team).*jobs;
        for (Cursor& cursor = cursors[team]; cursor.next < waiting.size() && cursor.misses < maxMissesPerTeam;) {
            const JobView& job = *waiting[cursor.next++];
            if (isStarted(job) || !m_shares.isWithinQuota(team, job.size)) {
                continue;
            }
            const bool isKnown = m_misfits.contains(job.size);
            if (!isKnown && start(job, team, reason)) {
                return true;
            }
            cursor.misses += isKnown ? 0 : 1;
            if (unplaced.size() < keep) {
                unplaced.push_back(&job);
            }
        }
        return false;
    };
    while (!order.empty() && !isFull()) {
        const std::size_t team = order.begin()->second;
        order.erase(order.begin());
        if (startNext(team)) {
            order.emplace(m_shares.team(team).weightedShare, team);
        }
    }
    return unplaced;
}

const JobView* Planner::findProbe(const state::Resources& free, std::size_t& team)
{
    for (team = 0; team < m_shares.size(); ++team) {
        const Team& candidate = m_shares.team(team);
        const std::size_t count = candidate.isHeld ? 0 : std::min(candidate.patient.size(), maxProbeCandidates);
        const auto end = candidate.patient.begin() + static_cast<std::ptrdiff_t>(count);
        const auto found = std::find_if(candidate.patient.begin(), end, [&](const JobView* job) {
            return !isStarted(*job) && job->record->spec.isIdempotent && fits(job->size, free)
                && m_shares.isWithinQuota(team, job->size);
        });
        if (found != end) {
            return *found;
        }
    }
    return nullptr;
}

void Planner::serveProbes()
{
    std::size_t probes = 0;
    for (std::size_t worker = 0; worker < m_view.workers.size() && probes < m_options.maxProbes; ++worker) {
        const WorkerView& entry = m_view.workers[worker];
        const bool isReady = entry.health == WorkerHealth::Probing && entry.takesWork && entry.isObserved;
        if (!isReady || m_index.isBusy(worker) || isFull()) {
            continue;
        }
        ++probes;
        std::size_t team = 0;
        if (const JobView* job = findProbe(m_index.free(worker), team)) {
            assign(*job, team, worker, StartReason::Probe);
        }
    }
}

void Planner::preemptFor(const std::vector<const JobView*>& urgent)
{
    if (urgent.empty()) {
        return;
    }
    Preemption preemption(m_view, std::move(m_movable), m_index, m_shares);
    for (const JobView* job : urgent) {
        const std::size_t team = m_shares.teamOf(*job);
        const auto room = m_shares.isWithinQuota(team, job->size) ? preemption.makeRoom(job->size) : std::nullopt;
        if (!room) {
            continue;
        }
        m_shares.use(team, job->size);
        m_index.withhold(room->worker);
        for (const JobView* victim : room->victims) {
            m_plan.preempts.push_back({ victim->record->spec.job, victim->record->worker, victim->record->token,
                PreemptHow::Checkpoint, PreemptReason::UrgentWork, job->record->spec.job });
        }
    }
}

bool Planner::start(const JobView& job, std::size_t team, StartReason reason)
{
    if (isStarted(job) || isFull()) {
        return false;
    }
    const auto worker = m_index.bestFit(job.size);
    if (!worker) {
        m_misfits.add(job.size);
        return false;
    }
    assign(job, team, *worker, reason);
    return true;
}

void Planner::assign(const JobView& job, std::size_t team, std::size_t worker, StartReason reason)
{
    m_isStarted[positionOf(job)] = true;
    m_index.take(worker, job.size);
    m_shares.use(team, job.size);
    const WorkerView& chosen = m_view.workers[worker];
    m_plan.starts.push_back({ job.record->spec.job, chosen.worker, chosen.incarnation, reason });
}

} // namespace crocuscove::placement
