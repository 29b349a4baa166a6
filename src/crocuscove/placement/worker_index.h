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

/// Free capacity of the workers, ordered so that a best fit is found without looking at every worker.
class WorkerIndex {
public:
    explicit WorkerIndex(const PlacementView& view);

    /// Returns the position of a worker in the view.
    [[nodiscard]] std::optional<std::size_t> find(const base::WorkerId& worker, std::size_t hint) const;
    [[nodiscard]] const state::Resources& free(std::size_t worker) const { return m_free[worker]; }
    /// Tells whether the worker may be given jobs in this round.
    [[nodiscard]] bool isOpen(std::size_t worker) const { return m_isOpen[worker]; }
    /// Tells whether a job was counted or placed on the worker.
    [[nodiscard]] bool isBusy(std::size_t worker) const { return m_isBusy[worker]; }
    /// Capacity of all workers that take work.
    [[nodiscard]] const state::Resources& total() const { return m_total; }

    /// Takes capacity of a running job. Only before `buildOrder`.
    void occupy(std::size_t worker, const state::Resources& used);
    void buildOrder();

    /// Returns the worker that keeps the least of the dominant resource after it took the job.
    [[nodiscard]] std::optional<std::size_t> bestFit(const state::Resources& need) const;
    /// Returns the worker that is large enough and has the largest part of the job's size free.
    [[nodiscard]] std::optional<std::size_t> closestToFit(const state::Resources& need) const;
    /// Also for a worker that is not open, for probes.
    void take(std::size_t worker, const state::Resources& need);
    /// Gives the worker no more jobs.
    void withhold(std::size_t worker);

private:
    /// Free accelerators and free cores.
    using GroupKey = std::pair<std::uint32_t, std::uint32_t>;
    /// Free memory and position.
    using Group = std::set<std::pair<std::uint64_t, std::size_t>>;

    void insert(std::size_t worker);
    void erase(std::size_t worker);

    const PlacementView& m_view;
    /// Filled by the first look-up without a correct hint.
    mutable std::unordered_map<std::string_view, std::size_t> m_positions;
    std::vector<state::Resources> m_free;
    std::vector<bool> m_isOpen;
    std::vector<bool> m_isBusy;
    state::Resources m_total;
    /// A worker has few processors and accelerators, so that there are far fewer groups than workers.
    std::map<GroupKey, Group> m_groups;
};

} // namespace crocuscove::placement
