#include "preemption.h"

namespace crocuscove::placement {

bool mayPreempt(const JobView& job, const PlacementOptions& options)
{
    const state::JobRecord& record = *job.record;
    return record.spec.isIdempotent && !record.spec.isUrgent && !record.isCancelRequested
        && record.starts < options.maxStartsBeforeProtection;
}

Preemption::Preemption(
    const PlacementView& view, std::vector<RunningJob> jobs, const WorkerIndex& index, FairShares& shares)
    : m_jobs(std::move(jobs))
    , m_shares(shares)
    , m_total(index.total())
    , m_candidates(view.workers.size())
{
    for (std::size_t worker = 0; worker < m_candidates.size(); ++worker) {
        m_candidates[worker].isSchedulable = index.isSchedulable(worker);
        m_candidates[worker].expectedFree = index.free(worker);
    }
    for (std::size_t position = 0; position < m_jobs.size(); ++position) {
        RunningJob& running = m_jobs[position];
        Candidate& candidate = m_candidates[running.worker];
        if (running.job->isStopping) {
            add(candidate.expectedFree, running.job->size);
        } else {
            add(candidate.preemptible, running.job->size);
            running.next = std::exchange(candidate.first, position + 1);
        }
    }
}

std::vector<RunningJob*> Preemption::rankedJobs(const Candidate& candidate)
{
    std::vector<RunningJob*> jobs;
    for (std::size_t position = candidate.first; position != 0; position = m_jobs[position - 1].next) {
        if (!m_jobs[position - 1].isVictim) {
            jobs.push_back(&m_jobs[position - 1]);
        }
    }
    std::ranges::stable_sort(jobs, {}, [this](const RunningJob* running) {
        return std::pair(m_shares.team(m_shares.teamOf(*running->job)).weightedShare, running->job->record->changedAt);
    });
    return jobs;
}

std::optional<VictimSelection> Preemption::selectVictims(const state::Resources& need)
{
    const auto worker = chooseWorker(need);
    return worker ? std::optional(takeVictims(*worker, need)) : std::nullopt;
}

std::optional<std::size_t> Preemption::chooseWorker(const state::Resources& need) const
{
    std::optional<std::size_t> best;
    double least = 0.0;
    for (std::size_t worker = 0; worker < m_candidates.size(); ++worker) {
        const Candidate& candidate = m_candidates[worker];
        state::Resources reachable = candidate.expectedFree;
        add(reachable, candidate.preemptible);
        if (!candidate.isSchedulable || !fits(need, reachable)) {
            continue;
        }
        state::Resources missing = need;
        subtract(missing, candidate.expectedFree);
        const double cost = dominantShare(missing, m_total);
        if (!best || cost < least) {
            best = worker;
            least = cost;
        }
    }
    return best;
}

VictimSelection Preemption::takeVictims(std::size_t worker, const state::Resources& need)
{
    Candidate& candidate = m_candidates[worker];
    VictimSelection selection { worker, {} };
    // Preempts the most recently started job of the team with the largest weighted share first.
    auto jobs = rankedJobs(candidate);
    std::vector<RunningJob*> victims;
    while (!fits(need, candidate.expectedFree) && !jobs.empty()) {
        RunningJob* victim = jobs.back();
        jobs.pop_back();
        victim->isVictim = true;
        subtract(candidate.preemptible, victim->job->size);
        add(candidate.expectedFree, victim->job->size);
        victims.push_back(victim);
    }
    // Spares victims whose capacity turned out not to be needed.
    for (RunningJob* victim : victims) {
        state::Resources without = candidate.expectedFree;
        subtract(without, victim->job->size);
        if (fits(need, without)) {
            candidate.expectedFree = without;
            add(candidate.preemptible, victim->job->size);
            victim->isVictim = false;
        } else {
            selection.victims.push_back(victim->job);
        }
    }
    subtract(candidate.expectedFree, need);
    return selection;
}

} // namespace crocuscove::placement
