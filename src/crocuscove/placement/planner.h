#pragma once

#include "fair_shares.h"
#include "preemption.h"
#include "resource_shortage.h"
#include "worker_index.h"

#include <array>
#include <cstdint>
#include <vector>

namespace crocuscove::placement {

/// Sizes that fit on no worker in this round. Free capacity only shrinks within a round, so any job of at least such a
/// size is skipped without a search.
class UnplaceableSizes {
public:
    UnplaceableSizes();

    [[nodiscard]] bool contains(const state::Resources& need) const;
    void add(const state::Resources& need);

private:
    static constexpr std::size_t maxAccelerators = 16;
    static constexpr std::size_t maxCores = 128;

    /// Smallest memory that fits on no worker, by accelerators and cores. Larger counts share the last entry.
    std::array<std::array<std::uint64_t, maxCores + 1>, maxAccelerators + 1> m_memory;
};

/// Computes the plan of one placement round.
class Planner {
public:
    Planner(const PlacementView& view, const PlacementOptions& options, base::WallTime now);

    PlacementPlan plan();

private:
    using TeamJobs = std::vector<const JobView*> Team::*;

    void classifyJobs();
    [[nodiscard]] bool isObserved() const;
    bool reject(const JobView& job);
    void queue(const JobView& job);

    /// Starts non-urgent jobs that have waited too long, or reserves workers for them.
    void startOverdueJobs();
    [[nodiscard]] std::vector<const JobView*> overdueJobs();
    void reserve(const JobView& job);

    /// Starts jobs by weighted dominant resource fairness. Returns the jobs that fit on no worker, at most
    /// `maxReturned`.
    std::vector<const JobView*> fill(TeamJobs jobs, StartReason reason, std::size_t maxReturned);
    /// Starts one idempotent non-urgent job on each idle probing worker.
    void startProbes();
    const JobView* findProbe(const state::Resources& free, std::size_t& team);
    void preemptForUrgent(const std::vector<const JobView*>& urgent);

    bool start(const JobView& job, std::size_t team, StartReason reason);
    void assign(const JobView& job, std::size_t team, std::size_t worker, StartReason reason);
    [[nodiscard]] std::size_t positionOf(const JobView& job) const
    {
        return static_cast<std::size_t>(&job - m_view.jobs.data());
    }
    [[nodiscard]] bool isStarted(const JobView& job) const { return m_isStarted[positionOf(job)]; }
    [[nodiscard]] bool isStartLimitReached() const { return m_plan.starts.size() >= m_options.maxStarts; }

    const PlacementView& m_view;
    const PlacementOptions& m_options;
    base::WallTime m_now;
    WorkerIndex m_index;
    FairShares m_shares;
    std::vector<state::Resources> m_capacities;
    UnplaceableSizes m_unplaceableSizes;
    /// Running jobs that are being checkpointed or may be checkpointed.
    std::vector<RunningJob> m_preemptible;
    /// Whether the job at this index of the view was started in this round.
    std::vector<bool> m_isStarted;
    bool m_mayReject = false;
    PlacementPlan m_plan;
};

} // namespace crocuscove::placement
