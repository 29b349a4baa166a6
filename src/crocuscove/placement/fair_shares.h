#pragma once

#include "resources.h"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuscove::placement {

/// Resource usage and queued jobs of a team.
struct Team {
    std::uint32_t share = 1;
    std::optional<state::Resources> quota;
    state::Resources used;
    /// Dominant share of the capacity of all workers, divided by the team's weight.
    double weightedShare = 0.0;
    std::vector<const JobView*> urgent;
    std::vector<const JobView*> nonUrgent;
    /// The team starts no other jobs, so that its quota becomes free for its overdue job.
    bool isQuotaReserved = false;
};

/// Weighted dominant resource fairness (DRF) between teams.
class FairShares {
public:
    FairShares(const PlacementView& view, const state::Resources& total);

    /// Returns the index of a team. Adds the team if the view doesn't list it.
    std::size_t teamOf(const base::TeamId& team);
    std::size_t teamOf(const JobView& job);
    Team& team(std::size_t position) { return m_teams[position]; }
    [[nodiscard]] const Team& team(std::size_t position) const { return m_teams[position]; }
    [[nodiscard]] std::size_t size() const { return m_teams.size(); }

    void addUsage(std::size_t position, const state::Resources& size);
    /// Recomputes the weighted shares from the usage of the teams.
    void refresh();
    [[nodiscard]] bool isWithinQuota(std::size_t position, const state::Resources& size) const;
    /// Mean of the weighted shares of the teams that have usage or queued jobs.
    [[nodiscard]] double meanShare() const;

private:
    void refresh(Team& team) const;

    const PlacementView& m_view;
    /// No team is listed twice, so indices match those of the view.
    bool m_areTeamsUnique = true;
    state::Resources m_total;
    std::vector<Team> m_teams;
    std::unordered_map<base::TeamId, std::size_t> m_positions;
};

} // namespace crocuscove::placement
