#pragma once

#include "fair_shares.h"
#include "worker_index.h"

namespace crocuscove::placement {

/// A running job that is being checkpointed or may be checkpointed.
struct RunningJob {
    const JobView* job = nullptr;
    std::size_t worker = 0;
    /// One-based index of the next job of the same worker, 0 for none.
    std::size_t next = 0;
    /// Selected for preemption in this round.
    bool isVictim = false;
};

/// Returns whether the job may be checkpointed in favour of urgent jobs.
bool mayPreempt(const JobView& job, const PlacementOptions& options);

/// Worker and jobs to preempt for one urgent job.
struct VictimSelection {
    std::size_t worker = 0;
    /// Jobs to checkpoint. Empty if checkpoints already in progress free enough capacity.
    std::vector<const JobView*> victims;
};

/// Selects running jobs whose preemption frees capacity for urgent jobs.
class Preemption {
public:
    /// `index` holds the free capacity after all urgent jobs that fit were placed.
    Preemption(const PlacementView& view, std::vector<RunningJob> jobs, const WorkerIndex& index, FairShares& shares);

    /// Reserves capacity for a job on the worker that has to free the least.
    std::optional<VictimSelection> selectVictims(const state::Resources& need);

private:
    struct Candidate {
        /// Free capacity plus that of jobs being checkpointed, minus reserved capacity.
        state::Resources expectedFree;
        /// Capacity of the jobs that may be checkpointed.
        state::Resources preemptible;
        /// One-based index of the worker's first job, 0 for none.
        std::size_t first = 0;
        bool isSchedulable = false;
    };

    /// Returns the worker's jobs that may be checkpointed. The last one is preempted first.
    std::vector<RunningJob*> rankedJobs(const Candidate& candidate);
    [[nodiscard]] std::optional<std::size_t> chooseWorker(const state::Resources& need) const;
    VictimSelection takeVictims(std::size_t worker, const state::Resources& need);

    std::vector<RunningJob> m_jobs;
    FairShares& m_shares;
    state::Resources m_total;
    std::vector<Candidate> m_candidates;
};

} // namespace crocuscove::placement
