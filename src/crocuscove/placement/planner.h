#pragma once

#include "fair_shares.h"
#include "nearest_miss.h"
#include "preemption.h"
#include "worker_index.h"

#include <array>
#include <cstdint>
#include <vector>

namespace crocuscove::placement {

/// Sizes that fit on no worker in this round. Free capacity only shrinks within a round, so anything as large can be
/// passed over without a search.
class KnownMisfits {
public:
    KnownMisfits();

    [[nodiscard]] bool contains(const state::Resources& need) const;
    void add(const state::Resources& need);

private:
    static constexpr std::size_t maxAccelerators = 16;
    static constexpr std::size_t maxCores = 128;

    /// Smallest memory that fits nowhere, by accelerators and cores. Larger numbers share the last entry.
    std::array<std::array<std::uint64_t, maxCores + 1>, maxAccelerators + 1> m_memory;
};

/// One round of placement.
class Planner {
public:
    Planner(const PlacementView& view, const PlacementOptions& options, base::WallTime now);

    PlacementPlan plan();

private:
    using TeamJobs = std::vector<const JobView*> Team::*;

    void readJobs();
    [[nodiscard]] bool isObserved() const;
    bool reject(const JobView& job);
    void queue(const JobView& job);

    /// Starts patient jobs that have waited too long, or keeps workers free for them.
    void serveOverdue();
    [[nodiscard]] std::vector<const JobView*> overdueJobs();
    void reserve(const JobView& job);

    /// Starts jobs by weighted dominant resource fairness. Returns the jobs that fit on no worker, at most `keep`.
    std::vector<const JobView*> fill(TeamJobs jobs, StartReason reason, std::size_t keep);
    /// Gives each idle probing worker one idempotent patient job.
    void serveProbes();
    const JobView* findProbe(const state::Resources& free, std::size_t& team);
    void preemptFor(const std::vector<const JobView*>& urgent);

    bool start(const JobView& job, std::size_t team, StartReason reason);
    void assign(const JobView& job, std::size_t team, std::size_t worker, StartReason reason);
    [[nodiscard]] std::size_t positionOf(const JobView& job) const
    {
        return static_cast<std::size_t>(&job - m_view.jobs.data());
    }
    [[nodiscard]] bool isStarted(const JobView& job) const { return m_isStarted[positionOf(job)]; }
    [[nodiscard]] bool isFull() const { return m_plan.starts.size() >= m_options.maxStarts; }

    const PlacementView& m_view;
    const PlacementOptions& m_options;
    base::WallTime m_now;
    WorkerIndex m_index;
    FairShares m_shares;
    std::vector<state::Resources> m_capacities;
    KnownMisfits m_misfits;
    /// Running jobs that are being checkpointed or may be.
    std::vector<RunningJob> m_movable;
    /// Whether the job at this position of the view was started in this round.
    std::vector<bool> m_isStarted;
    bool m_mayReject = false;
    PlacementPlan m_plan;
};

} // namespace crocuscove::placement
