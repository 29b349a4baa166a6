#pragma once

#include "fair_shares.h"
#include "worker_index.h"

namespace crocuscove::placement {

/// A running job that is being checkpointed, or may be.
struct RunningJob {
    const JobView* job = nullptr;
    std::size_t worker = 0;
    /// Position after that of the next job of the same worker, 0 for none.
    std::size_t next = 0;
    /// Chosen as a victim in this round.
    bool isTaken = false;
};

/// Tells whether the job may be checkpointed for urgent work.
bool mayPreempt(const JobView& job, const PlacementOptions& options);

/// Room made for one urgent job.
struct MadeRoom {
    std::size_t worker = 0;
    /// Jobs to checkpoint. Empty when the room is already being made.
    std::vector<const JobView*> victims;
};

/// Finds running jobs whose checkpoint makes room for urgent jobs.
class Preemption {
public:
    /// `index` holds the free capacity after the urgent jobs that fit were placed.
    Preemption(const PlacementView& view, std::vector<RunningJob> jobs, const WorkerIndex& index, FairShares& shares);

    /// Earmarks room for a job on the worker that gives up the least.
    std::optional<MadeRoom> makeRoom(const state::Resources& need);

private:
    struct Candidate {
        /// Free capacity plus that of jobs which are being checkpointed, less what is earmarked.
        state::Resources expected;
        /// Capacity of the jobs that may be checkpointed.
        state::Resources movable;
        /// Position after that of the worker's first job, 0 for none.
        std::size_t first = 0;
        bool isOpen = false;
    };

    /// Jobs of the worker that may be checkpointed, the last one first to go.
    std::vector<RunningJob*> rankedJobs(const Candidate& candidate);
    [[nodiscard]] std::optional<std::size_t> choose(const state::Resources& need) const;
    MadeRoom takeVictims(std::size_t worker, const state::Resources& need);

    std::vector<RunningJob> m_jobs;
    FairShares& m_shares;
    state::Resources m_total;
    std::vector<Candidate> m_candidates;
};

} // namespace crocuscove::placement
