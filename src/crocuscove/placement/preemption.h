#pragma once

#include "fair_shares.h"
#include "worker_index.h"

namespace crocuscove::placement {

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
    Preemption(
        const PlacementView& view, const PlacementOptions& options, const WorkerIndex& index, FairShares& shares);

    /// Earmarks room for a job on the worker that gives up the least.
    std::optional<MadeRoom> makeRoom(const state::Resources& need);

private:
    struct Candidate {
        /// Free capacity plus that of jobs which are being checkpointed, less what is earmarked.
        state::Resources expected;
        /// Capacity of the jobs that may be checkpointed.
        state::Resources movable;
        std::vector<const JobView*> jobs;
        bool isOpen = false;
    };

    [[nodiscard]] bool mayPreempt(const JobView& job) const;
    [[nodiscard]] std::optional<std::size_t> choose(const state::Resources& need) const;
    MadeRoom takeVictims(std::size_t worker, const state::Resources& need);

    const PlacementOptions& m_options;
    FairShares& m_shares;
    state::Resources m_total;
    std::vector<Candidate> m_candidates;
};

} // namespace crocuscove::placement
