#include "preemption.h"

namespace crocuscove::placement {

Preemption::Preemption(
    const PlacementView& view, const PlacementOptions& options, const WorkerIndex& index, FairShares& shares)
    : m_options(options)
    , m_shares(shares)
    , m_total(index.total())
    , m_candidates(view.workers.size())
{
    for (std::size_t worker = 0; worker < m_candidates.size(); ++worker) {
        m_candidates[worker].isOpen = index.isOpen(worker);
        m_candidates[worker].expected = index.free(worker);
    }
    for (const JobView& job : view.jobs) {
        if (job.record->state != state::JobState::Running) {
            continue;
        }
        const auto worker = index.find(job.record->worker);
        if (!worker || !m_candidates[*worker].isOpen) {
            continue;
        }
        Candidate& candidate = m_candidates[*worker];
        if (job.isStopping) {
            add(candidate.expected, job.size);
        } else if (mayPreempt(job)) {
            add(candidate.movable, job.size);
            candidate.jobs.push_back(&job);
        }
    }
}

bool Preemption::mayPreempt(const JobView& job) const
{
    const state::JobRecord& record = *job.record;
    return record.spec.isIdempotent && !record.spec.isUrgent && !record.isCancelRequested
        && record.starts < m_options.maxStartsBeforeProtection;
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
    const auto rank = [this](const JobView* job) {
        return std::pair(m_shares.team(m_shares.teamOf(job->record->spec.team)).weightedShare, job->record->changedAt);
    };
    // The last one goes first: of the team furthest above its share, the job started most recently.
    std::ranges::stable_sort(candidate.jobs, {}, rank);
    while (!fits(need, candidate.expected) && !candidate.jobs.empty()) {
        const JobView* victim = candidate.jobs.back();
        candidate.jobs.pop_back();
        subtract(candidate.movable, victim->size);
        add(candidate.expected, victim->size);
        room.victims.push_back(victim);
    }
    // Keeps victims that turned out not to be needed.
    std::erase_if(room.victims, [&](const JobView* victim) {
        state::Resources without = candidate.expected;
        subtract(without, victim->size);
        const bool isNeeded = !fits(need, without);
        if (!isNeeded) {
            candidate.expected = without;
            add(candidate.movable, victim->size);
            candidate.jobs.push_back(victim);
        }
        return !isNeeded;
    });
    subtract(candidate.expected, need);
    return room;
}

} // namespace crocuscove::placement
