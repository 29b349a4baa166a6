#pragma once

#include "resources.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuscove::placement {

/// Index of the workers by free capacity, which finds a best fit without a scan of all workers.
class WorkerIndex {
public:
    explicit WorkerIndex(const PlacementView& view);

    /// Returns the index of a worker in the view.
    [[nodiscard]] std::optional<std::size_t> find(const base::WorkerId& worker, std::size_t hint) const;
    [[nodiscard]] const state::Resources& free(std::size_t worker) const { return m_free[worker]; }
    /// Returns whether jobs may be placed on the worker in this round.
    [[nodiscard]] bool isSchedulable(std::size_t worker) const { return m_isSchedulable[worker]; }
    /// Returns whether the worker runs a job or received one in this round.
    [[nodiscard]] bool isBusy(std::size_t worker) const { return m_isBusy[worker]; }
    /// Total capacity of the workers that accept jobs.
    [[nodiscard]] const state::Resources& total() const { return m_total; }

    /// Subtracts the capacity of a running job. Must be called before `buildOrder`.
    void occupy(std::size_t worker, const state::Resources& used);
    void buildOrder();

    /// Returns the worker with the least left of the job's dominant resource after placement (best fit).
    [[nodiscard]] std::optional<std::size_t> bestFit(const state::Resources& need) const;
    /// Returns the worker that is large enough in total and lacks the smallest share of the job's size.
    [[nodiscard]] std::optional<std::size_t> closestToFit(const state::Resources& need) const;
    /// Subtracts the capacity of a placed job. Also accepts an unschedulable worker, which probes use.
    void allocate(std::size_t worker, const state::Resources& need);
    /// Excludes the worker from further placement in this round.
    void markUnschedulable(std::size_t worker);

private:
    /// Free accelerators and free cores.
    using GroupKey = std::pair<std::uint32_t, std::uint32_t>;
    /// Free memory and index of the worker.
    using Group = std::set<std::pair<std::uint64_t, std::size_t>>;

    void insert(std::size_t worker);
    void erase(std::size_t worker);

    const PlacementView& m_view;
    /// Filled by the first look-up without a correct hint.
    mutable std::unordered_map<std::string_view, std::size_t> m_positions;
    std::vector<state::Resources> m_free;
    std::vector<bool> m_isSchedulable;
    std::vector<bool> m_isBusy;
    state::Resources m_total;
    /// Workers have few distinct core and accelerator counts, so there are far fewer groups than workers.
    std::map<GroupKey, Group> m_groups;
};

} // namespace crocuscove::placement
