#include "planner.h"

#include "pressure.h"

#include <limits>

namespace crocuscove::placement {

namespace {

/// Failed worker searches after which `Planner::fill` tries no further job of a team.
constexpr std::size_t maxFailedSearchesPerTeam = 32;
/// Jobs of one team that are considered for one probe.
constexpr std::size_t maxProbeCandidates = 8;

bool isWaiting(const JobView& job)
{
    return job.record->state == state::JobState::Queued && !job.record->isCancelRequested && !job.startingOn;
}

} // namespace

UnplaceableSizes::UnplaceableSizes()
{
    for (auto& row : m_memory) {
        row.fill(std::numeric_limits<std::uint64_t>::max());
    }
}

bool UnplaceableSizes::contains(const state::Resources& need) const
{
    const auto accelerators = std::min<std::size_t>(need.accelerators, maxAccelerators);
    const auto cores = std::min<std::size_t>(need.cores, maxCores);
    return m_memory[accelerators][cores] <= need.memoryMb;
}

void UnplaceableSizes::add(const state::Resources& need)
{
    // A size beyond the table is not recorded, since smaller sizes share its entry.
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
    classifyJobs();
    m_index.buildOrder();
    m_shares.refresh();
    relievePressure(m_view, m_options, m_index, m_plan);
    startOverdueJobs();
    preemptForUrgent(fill(&Team::urgent, StartReason::Urgent, m_options.maxPreemptionSearches));
    startProbes();
    fill(&Team::nonUrgent, StartReason::FairShare, 0);
    return std::move(m_plan);
}

void Planner::classifyJobs()
{
    for (const JobView& job : m_view.jobs) {
        const bool isRunning = job.record->state == state::JobState::Running;
        if (isRunning || job.startingOn) {
            if (const auto worker = m_index.find(isRunning ? job.record->worker : *job.startingOn, job.workerHint)) {
                m_index.occupy(*worker, job.size);
                if (isRunning && (job.isStopping || mayPreempt(job, m_options))) {
                    m_preemptible.push_back({ .job = &job, .worker = *worker });
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
        std::ranges::stable_sort(m_shares.team(team).nonUrgent, {}, submittedAt);
    }
}

void Planner::queue(const JobView& job)
{
    Team& team = m_shares.team(m_shares.teamOf(job));
    (job.record->spec.isUrgent ? team.urgent : team.nonUrgent).push_back(&job);
}

bool Planner::isObserved() const
{
    const auto observed = m_now - m_view.observingSince;
    const bool areAllKnown = std::ranges::all_of(m_view.workers, &WorkerView::isObserved);
    return observed >= (areAllKnown ? m_options.minObservationTime : m_options.missingReportsTimeout);
}

bool Planner::reject(const JobView& job)
{
    if (m_plan.rejects.size() >= m_options.maxRejects) {
        return false;
    }
    const Team& team = m_shares.team(m_shares.teamOf(job));
    if (const auto shortage = team.quota ? largestShortage(job.size, *team.quota) : std::nullopt) {
        m_plan.rejects.push_back({ job.record->spec.job, RejectReason::LargerThanQuota, *shortage });
        return true;
    }
    const auto isCovered = [&](const state::Resources& capacity) { return fits(job.size, capacity); };
    if (!m_mayReject || std::ranges::any_of(m_capacities, isCovered)) {
        return false;
    }
    const auto shortage = smallestShortage(job.size, m_view.workers);
    if (shortage) {
        m_plan.rejects.push_back({ job.record->spec.job, RejectReason::LargerThanEveryWorker, *shortage });
    }
    return shortage.has_value();
}

std::vector<const JobView*> Planner::overdueJobs()
{
    const double mean = m_shares.meanShare();
    std::vector<const JobView*> overdue;
    for (std::size_t position = 0; position < m_shares.size(); ++position) {
        const Team& team = m_shares.team(position);
        const auto bound = team.weightedShare <= mean ? m_options.overdueTimeout : m_options.starvationTimeout;
        const auto entry = std::ranges::find_if(
            team.nonUrgent, [&](const JobView* job) { return m_now - job->record->changedAt >= bound; });
        if (entry != team.nonUrgent.end()) {
            overdue.push_back(*entry);
        }
    }
    std::ranges::stable_sort(overdue, {}, [](const JobView* job) { return job->record->changedAt; });
    return overdue;
}

void Planner::startOverdueJobs()
{
    const std::size_t limit = std::clamp<std::size_t>(m_view.workers.size() / 50, 1, m_options.maxReservations);
    std::size_t served = 0;
    for (const JobView* job : overdueJobs()) {
        if (served == limit) {
            break;
        }
        const std::size_t team = m_shares.teamOf(*job);
        if (!m_shares.isWithinQuota(team, job->size)) {
            m_shares.team(team).isQuotaReserved = true;
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
        m_index.markUnschedulable(*worker);
    }
}

std::vector<const JobView*> Planner::fill(TeamJobs jobs, StartReason reason, std::size_t maxReturned)
{
    struct Cursor {
        std::size_t next = 0;
        std::size_t failedSearches = 0;
    };
    std::vector<Cursor> cursors(m_shares.size());
    std::vector<const JobView*> unplaced;
    std::set<std::pair<double, std::size_t>> order;
    for (std::size_t team = 0; team < m_shares.size(); ++team) {
        if (!(m_shares.team(team).*jobs).empty() && !m_shares.team(team).isQuotaReserved) {
            order.emplace(m_shares.team(team).weightedShare, team);
        }
    }
    // Starts the team's next job that fits the free capacity and the quota.
    const auto startNext = [&](std::size_t team) {
        const auto& waiting = m_shares.team(team).*jobs;
        for (Cursor& cursor = cursors[team];
             cursor.next < waiting.size() && cursor.failedSearches < maxFailedSearchesPerTeam;) {
            const JobView& job = *waiting[cursor.next++];
            if (isStarted(job) || !m_shares.isWithinQuota(team, job.size)) {
                continue;
            }
            const bool isUnplaceable = m_unplaceableSizes.contains(job.size);
            if (!isUnplaceable && start(job, team, reason)) {
                return true;
            }
            cursor.failedSearches += isUnplaceable ? 0 : 1;
            if (unplaced.size() < maxReturned) {
                unplaced.push_back(&job);
            }
        }
        return false;
    };
    while (!order.empty() && !isStartLimitReached()) {
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
        const std::size_t count
            = candidate.isQuotaReserved ? 0 : std::min(candidate.nonUrgent.size(), maxProbeCandidates);
        const auto end = candidate.nonUrgent.begin() + static_cast<std::ptrdiff_t>(count);
        const auto found = std::find_if(candidate.nonUrgent.begin(), end, [&](const JobView* job) {
            return !isStarted(*job) && job->record->spec.isIdempotent && fits(job->size, free)
                && m_shares.isWithinQuota(team, job->size);
        });
        if (found != end) {
            return *found;
        }
    }
    return nullptr;
}

void Planner::startProbes()
{
    std::size_t probes = 0;
    for (std::size_t worker = 0; worker < m_view.workers.size() && probes < m_options.maxProbes; ++worker) {
        const WorkerView& entry = m_view.workers[worker];
        const bool isReady = entry.health == WorkerHealth::Probing && entry.acceptsJobs && entry.isObserved;
        if (!isReady || m_index.isBusy(worker) || isStartLimitReached()) {
            continue;
        }
        ++probes;
        std::size_t team = 0;
        if (const JobView* job = findProbe(m_index.free(worker), team)) {
            assign(*job, team, worker, StartReason::Probe);
        }
    }
}

void Planner::preemptForUrgent(const std::vector<const JobView*>& urgent)
{
    if (urgent.empty()) {
        return;
    }
    Preemption preemption(m_view, std::move(m_preemptible), m_index, m_shares);
    for (const JobView* job : urgent) {
        const std::size_t team = m_shares.teamOf(*job);
        const auto selection
            = m_shares.isWithinQuota(team, job->size) ? preemption.selectVictims(job->size) : std::nullopt;
        if (!selection) {
            continue;
        }
        m_shares.addUsage(team, job->size);
        m_index.markUnschedulable(selection->worker);
        for (const JobView* victim : selection->victims) {
            m_plan.preempts.push_back({ victim->record->spec.job, victim->record->worker, victim->record->token,
                PreemptMethod::Checkpoint, PreemptReason::UrgentWork, job->record->spec.job });
        }
    }
}

bool Planner::start(const JobView& job, std::size_t team, StartReason reason)
{
    if (isStarted(job) || isStartLimitReached()) {
        return false;
    }
    const auto worker = m_index.bestFit(job.size);
    if (!worker) {
        m_unplaceableSizes.add(job.size);
        return false;
    }
    assign(job, team, *worker, reason);
    return true;
}

void Planner::assign(const JobView& job, std::size_t team, std::size_t worker, StartReason reason)
{
    m_isStarted[positionOf(job)] = true;
    m_index.allocate(worker, job.size);
    m_shares.addUsage(team, job.size);
    const WorkerView& chosen = m_view.workers[worker];
    m_plan.starts.push_back({ job.record->spec.job, chosen.worker, chosen.incarnation, reason });
}

} // namespace crocuscove::placement
