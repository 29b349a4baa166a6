#include "steps.h"

#include <algorithm>
#include <tuple>

namespace crocuscove::maintenance {

namespace {

/// Numbers the failure domains of selected VMs, in the order of their names.
struct DomainIndex {
    /// Indexed by VM of the view. Only the entries of the selected VMs are valid.
    std::vector<std::size_t> dataCentreOf;
    std::vector<std::size_t> rackOf;
    std::size_t dataCentres = 0;
    std::size_t racks = 0;
};

DomainIndex indexDomains(const std::vector<MaintenanceVm>& view, const std::vector<std::size_t>& vms)
{
    DomainIndex domains;
    domains.dataCentreOf.resize(view.size());
    domains.rackOf.resize(view.size());
    std::map<base::DataCentreId, std::size_t> dataCentres;
    std::map<std::pair<base::DataCentreId, base::RackId>, std::size_t> racks;
    for (const std::size_t vm : vms) {
        const state::VmRecord& record = *view[vm].record;
        dataCentres.try_emplace(record.dataCentre, 0);
        racks.try_emplace({ record.dataCentre, record.rack }, 0);
    }
    std::ranges::for_each(dataCentres, [&](auto& entry) { entry.second = domains.dataCentres++; });
    std::ranges::for_each(racks, [&](auto& entry) { entry.second = domains.racks++; });
    for (const std::size_t vm : vms) {
        const state::VmRecord& record = *view[vm].record;
        domains.dataCentreOf[vm] = dataCentres.at(record.dataCentre);
        domains.rackOf[vm] = racks.at({ record.dataCentre, record.rack });
    }
    return domains;
}

/// Chooses the VMs of each pool that begin to drain: first in failure domains where the pool already has stops, then in
/// order of the oldest maintenance in the domain.
class DrainPlanner {
public:
    DrainPlanner(Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions)
        : m_fleet(fleet)
        , m_pauses(pauses)
        , m_actions(actions)
        , m_candidates(fleet.pools.size())
        , m_activeDataCentres(fleet.pools.size())
        , m_activeRacks(fleet.pools.size())
    {
    }

    void plan()
    {
        collectVms();
        std::vector<std::size_t> order;
        for (std::size_t pool = 0; pool < m_candidates.size(); ++pool) {
            if (!m_candidates[pool].empty()) {
                sortCandidates(pool);
                order.push_back(pool);
            }
        }
        std::ranges::stable_sort(order, {},
            [&](std::size_t pool) { return m_fleet.view.vms[m_candidates[pool].front()].record->lastMaintained; });
        std::ranges::for_each(order, [&](std::size_t pool) { planPool(pool); });
    }

private:
    /// Whether the VM may stop, apart from the limits of its pool and the fleet. The platform must list it as running,
    /// because the boot counter at the start of the drain is later compared to detect the reboot.
    [[nodiscard]] bool isCandidate(std::size_t vm) const
    {
        const MaintenanceVm& entry = m_fleet.view.vms[vm];
        const VmStatus status = m_fleet.statuses[vm];
        const bool isEligible = (status == VmStatus::InService && m_fleet.isDue(vm))
            || (status == VmStatus::Unhealthy && m_fleet.isOverdue(vm) && !entry.observed.isSuspect);
        return isEligible && entry.observed.platform == PlatformState::Running && !m_pauses.covers(*entry.record);
    }

    /// Whether the pool must first finish its stops in another data centre.
    [[nodiscard]] bool mustWaitForDataCentre(std::size_t pool, std::size_t vm) const
    {
        return m_fleet.pools[pool].isPerDataCentre && !m_activeDataCentres[pool].empty()
            && !m_activeDataCentres[pool].contains(m_domains.dataCentreOf[vm]);
    }

    void collectVms()
    {
        std::vector<std::size_t> running;
        std::vector<std::size_t> candidates;
        for (std::size_t vm = 0; vm < m_fleet.view.vms.size(); ++vm) {
            if (isInMaintenance(*m_fleet.view.vms[vm].record)) {
                running.push_back(vm);
            } else if (isCandidate(vm)) {
                candidates.push_back(vm);
            }
        }
        std::vector<std::size_t> affected = running;
        affected.insert(affected.end(), candidates.begin(), candidates.end());
        m_domains = indexDomains(m_fleet.view.vms, affected);
        m_running = static_cast<std::uint32_t>(running.size());
        for (const std::size_t vm : running) {
            m_activeDataCentres[m_fleet.poolOf[vm]].insert(m_domains.dataCentreOf[vm]);
            m_activeRacks[m_fleet.poolOf[vm]].insert(m_domains.rackOf[vm]);
        }
        m_dataCentreOldestMaintenance.assign(m_domains.dataCentres, base::WallTime::max());
        m_rackOldestMaintenance.assign(m_domains.racks, base::WallTime::max());
        for (const std::size_t vm : candidates) {
            const base::WallTime maintained = m_fleet.view.vms[vm].record->lastMaintained;
            m_candidates[m_fleet.poolOf[vm]].push_back(vm);
            base::WallTime& dataCentreOldestMaintenance = m_dataCentreOldestMaintenance[m_domains.dataCentreOf[vm]];
            base::WallTime& rackOldestMaintenance = m_rackOldestMaintenance[m_domains.rackOf[vm]];
            dataCentreOldestMaintenance = std::min(dataCentreOldestMaintenance, maintained);
            rackOldestMaintenance = std::min(rackOldestMaintenance, maintained);
        }
    }

    void sortCandidates(std::size_t pool)
    {
        std::ranges::sort(m_candidates[pool], {}, [&](std::size_t vm) {
            const std::size_t dataCentre = m_domains.dataCentreOf[vm];
            const std::size_t rack = m_domains.rackOf[vm];
            return std::tuple(!m_activeDataCentres[pool].contains(dataCentre),
                m_dataCentreOldestMaintenance[dataCentre], dataCentre, !m_activeRacks[pool].contains(rack),
                m_rackOldestMaintenance[rack], rack, m_fleet.view.vms[vm].record->lastMaintained, vm);
        });
    }

    [[nodiscard]] std::uint32_t fleetLimit() const
    {
        const double share = m_fleet.options.maxRunningShare * static_cast<double>(m_fleet.view.vms.size());
        return std::max(m_fleet.options.minRunningStops, static_cast<std::uint32_t>(share));
    }

    void planPool(std::size_t index)
    {
        PoolBudget& pool = m_fleet.pools[index];
        for (const std::size_t vm : m_candidates[index]) {
            const bool isInService = m_fleet.statuses[vm] == VmStatus::InService;
            const bool isWithinBudget
                = isInService ? pool.allowsStop() : pool.inService >= pool.onProbation + pool.required;
            if (m_running >= fleetLimit() || !isWithinBudget || mustWaitForDataCentre(index, vm)) {
                return;
            }
            pool.inService -= isInService ? 1 : 0;
            ++m_running;
            m_activeDataCentres[index].insert(m_domains.dataCentreOf[vm]);
            m_fleet.statuses[vm] = VmStatus::Stopped;
            m_actions.push_back(makeAction(m_fleet.view.vms[vm], MaintenanceActionKind::BeginDrain,
                m_fleet.isOverdue(vm) ? MaintenanceReason::Overdue : MaintenanceReason::Due,
                state::VmReason::Maintenance));
        }
    }

    Fleet& m_fleet;
    const PauseScopes& m_pauses;
    std::vector<MaintenanceAction>& m_actions;
    DomainIndex m_domains;
    std::vector<base::WallTime> m_dataCentreOldestMaintenance;
    std::vector<base::WallTime> m_rackOldestMaintenance;
    std::vector<std::vector<std::size_t>> m_candidates;
    std::vector<std::set<std::size_t>> m_activeDataCentres;
    std::vector<std::set<std::size_t>> m_activeRacks;
    std::uint32_t m_running = 0;
};

} // namespace

void planDrains(Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions)
{
    if (!pauses.isFleetPaused) {
        DrainPlanner(fleet, pauses, actions).plan();
    }
}

} // namespace crocuscove::maintenance
