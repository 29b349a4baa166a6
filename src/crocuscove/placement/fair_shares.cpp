#include "fair_shares.h"

namespace crocuscove::placement {

FairShares::FairShares(const PlacementView& view, const state::Resources& total)
    : m_view(view)
    , m_total(total)
{
    for (const TeamView& entry : view.teams) {
        Team& added = m_teams[teamOf(entry.team)];
        added.share = std::max(entry.share, 1U);
        if (entry.quota) {
            added.quota = state::Resources { entry.quota->cores, entry.quota->memoryMb, entry.quota->accelerators };
        }
    }
    m_areTeamsUnique = m_teams.size() == view.teams.size();
}

std::size_t FairShares::teamOf(const base::TeamId& team)
{
    const auto [entry, isNew] = m_positions.try_emplace(team, m_teams.size());
    if (isNew) {
        m_teams.emplace_back();
    }
    return entry->second;
}

std::size_t FairShares::teamOf(const JobView& job)
{
    const base::TeamId& team = job.record->spec.team;
    const bool isHintRight = job.teamHint < m_view.teams.size() && m_view.teams[job.teamHint].team == team;
    return isHintRight && m_areTeamsUnique ? job.teamHint : teamOf(team);
}

void FairShares::addUsage(std::size_t position, const state::Resources& size)
{
    add(m_teams[position].used, size);
    refresh(m_teams[position]);
}

void FairShares::refresh()
{
    std::ranges::for_each(m_teams, [this](Team& team) { refresh(team); });
}

void FairShares::refresh(Team& team) const { team.weightedShare = dominantShare(team.used, m_total) / team.share; }

bool FairShares::isWithinQuota(std::size_t position, const state::Resources& size) const
{
    const Team& team = m_teams[position];
    if (!team.quota) {
        return true;
    }
    state::Resources sum = team.used;
    add(sum, size);
    return fits(sum, *team.quota);
}

double FairShares::meanShare() const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const Team& team : m_teams) {
        const bool isActive = team.weightedShare > 0.0 || !team.urgent.empty() || !team.nonUrgent.empty();
        sum += team.weightedShare;
        count += isActive ? 1 : 0;
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

} // namespace crocuscove::placement
