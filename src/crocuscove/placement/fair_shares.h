#pragma once

#include "resources.h"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuscove::placement {

/// What a team uses and what it waits for.
struct Team {
    std::uint32_t share = 1;
    std::optional<state::Resources> quota;
    state::Resources used;
    /// Dominant share of all workers, divided by the team's weight.
    double weightedShare = 0.0;
    std::vector<const JobView*> urgent;
    std::vector<const JobView*> patient;
    /// The team's quota is being kept free for its oldest job.
    bool isHeld = false;
};

/// Weighted dominant resource fairness over teams.
class FairShares {
public:
    FairShares(const PlacementView& view, const state::Resources& total);

    /// Returns the position of a team, and adds a team that the view doesn't list.
    std::size_t teamOf(const base::TeamId& team);
    std::size_t teamOf(const JobView& job);
    Team& team(std::size_t position) { return m_teams[position]; }
    [[nodiscard]] const Team& team(std::size_t position) const { return m_teams[position]; }
    [[nodiscard]] std::size_t size() const { return m_teams.size(); }

    void use(std::size_t position, const state::Resources& size);
    /// Computes the weighted shares from what the teams use.
    void refresh();
    [[nodiscard]] bool isWithinQuota(std::size_t position, const state::Resources& size) const;
    /// Mean of the weighted shares of the teams that use or want something.
    [[nodiscard]] double meanShare() const;

private:
    void refresh(Team& team) const;

    const PlacementView& m_view;
    /// No team is listed twice, so that positions are those of the view.
    bool m_isUnique = true;
    state::Resources m_total;
    std::vector<Team> m_teams;
    std::unordered_map<base::TeamId, std::size_t> m_positions;
};

} // namespace crocuscove::placement
