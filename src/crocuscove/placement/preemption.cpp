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
        m_candidates[worker].isOpen = index.isOpen(worker);
        m_candidates[worker].expected = index.free(worker);
    }
    for (std::size_t position = 0; position < m_jobs.size(); ++position) {
        RunningJob& running = m_jobs[position];
        Candidate& candidate = m_candidates[running.worker];
        if (running.job->isStopping) {
            add(candidate.expected, running.job->size);
        } else {
            add(candidate.movable, running.job->size);
            running.next = std::exchange(candidate.first, position + 1);
        }
    }
}

std::vector<RunningJob*> Preemption::rankedJobs(const Candidate& candidate)
{
    std::vector<RunningJob*> jobs;
    for (std::size_t position = candidate.first; position != 0; position = m_jobs[position - 1].next) {
        if (!m_jobs[position - 1].isTaken) {
            jobs.push_back(&m_jobs[position - 1]);
        }
    }
    std::ranges::stable_sort(jobs, {}, [this](const RunningJob* running) {
        return std::pair(m_shares.team(m_shares.teamOf(*running->job)).weightedShare, running->job->record->changedAt);
    });
    return jobs;
}

std::optional<MadeRoom> Preemption::makeRoom(const state::Resources& need)
{
    const auto worker = choose(need);
    return worker ? std::optional(takeVictims(*worker, need)) : std::nullopt;
}

std::optional<std::size_t> Preemption::choose(const state::Resources& need) const
{
    std::optional<std::size_t> best;
    double least = 0.0;
    for (std::size_t worker = 0; worker < m_candidates.size(); ++worker) {
        const Candidate& candidate = m_candidates[worker];
        state::Resources reachable = candidate.expected;
        add(reachable, candidate.movable);
        if (!candidate.isOpen || !fits(need, reachable)) {
            continue;
        }
        state::Resources missing = need;
        subtract(missing, candidate.expected);
        const double cost = dominantShare(missing, m_total);
        if (!best || cost < least) {
            best = worker;
            least = cost;
        }
    }
    return best;
}

MadeRoom Preemption::takeVictims(std::size_t worker, const state::Resources& need)
{
    Candidate& candidate = m_candidates[worker];
    MadeRoom room { worker, {} };
    // Of the team furthest above its share, the job started most recently goes first.
    auto jobs = rankedJobs(candidate);
    std::vector<RunningJob*> victims;
    while (!fits(need, candidate.expected) && !jobs.empty()) {
        RunningJob* victim = jobs.back();
        jobs.pop_back();
        victim->isTaken = true;
        subtract(candidate.movable, victim->job->size);
        add(candidate.expected, victim->job->size);
        victims.push_back(victim);
    }
    // Keeps victims that turned out not to be needed.
    for (RunningJob* victim : victims) {
        state::Resources without = candidate.expected;
        subtract(without, victim->job->size);
        if (fits(need, without)) {
            candidate.expected = without;
            add(candidate.movable, victim->job->size);
            victim->isTaken = false;
        } else {
            room.victims.push_back(victim->job);
        }
    }
    subtract(candidate.expected, need);
    return room;
}

} // namespace crocuscove::placement
