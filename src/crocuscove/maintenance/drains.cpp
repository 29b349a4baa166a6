#include "steps.h"

#include <algorithm>
#include <tuple>

namespace crocuscove::maintenance {

namespace {

/// Failure domains of some VMs as numbers, in the order of their names.
struct Domains {
    /// For each VM of the view. Only those of the given VMs are set.
    std::vector<std::size_t> dataCentreOf;
    std::vector<std::size_t> rackOf;
    std::size_t dataCentres = 0;
    std::size_t racks = 0;
};

Domains numberDomains(const std::vector<MaintenanceVm>& view, const std::vector<std::size_t>& vms)
{
    Domains domains;
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

/// Chooses the drains of each pool: first where the pool already has stops, then by the age of the domain.
class Wave {
public:
    Wave(Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions)
        : m_fleet(fleet)
        , m_pauses(pauses)
        , m_actions(actions)
        , m_candidates(fleet.pools.size())
        , m_openDataCentres(fleet.pools.size())
        , m_openRacks(fleet.pools.size())
    {
    }

    void plan()
    {
        survey();
        std::vector<std::size_t> order;
        for (std::size_t pool = 0; pool < m_candidates.size(); ++pool) {
            if (!m_candidates[pool].empty()) {
                sortCandidates(pool);
                order.push_back(pool);
            }
        }
        std::ranges::stable_sort(order, {},
            [&](std::size_t pool) { return m_fleet.view.vms[m_candidates[pool].front()].record->lastMaintained; });
        std::ranges::for_each(order, [&](std::size_t pool) { drainPool(pool); });
    }

private:
    /// Whether the VM may stop as far as itself is concerned. The platform must list it as running, because the boot
    /// counter at the drain shows later whether it rebooted.
    [[nodiscard]] bool isCandidate(std::size_t vm) const
    {
        const MaintenanceVm& entry = m_fleet.view.vms[vm];
        const Standing standing = m_fleet.standings[vm];
        const bool isEligible = (standing == Standing::InService && m_fleet.isDue(vm))
            || (standing == Standing::Unwell && m_fleet.isOverdue(vm) && !entry.observed.isSuspect);
        return isEligible && entry.observed.platform == PlatformState::Running && !m_pauses.covers(*entry.record);
    }

    /// Whether the pool already has stops in another data centre and must finish those first.
    [[nodiscard]] bool mustWaitForDataCentre(std::size_t pool, std::size_t vm) const
    {
        return m_fleet.pools[pool].isPerDataCentre && !m_openDataCentres[pool].empty()
            && !m_openDataCentres[pool].contains(m_domains.dataCentreOf[vm]);
    }

    void survey()
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
        std::vector<std::size_t> concerned = running;
        concerned.insert(concerned.end(), candidates.begin(), candidates.end());
        m_domains = numberDomains(m_fleet.view.vms, concerned);
        m_running = static_cast<std::uint32_t>(running.size());
        for (const std::size_t vm : running) {
            m_openDataCentres[m_fleet.poolOf[vm]].insert(m_domains.dataCentreOf[vm]);
            m_openRacks[m_fleet.poolOf[vm]].insert(m_domains.rackOf[vm]);
        }
        m_dataCentreAge.assign(m_domains.dataCentres, base::WallTime::max());
        m_rackAge.assign(m_domains.racks, base::WallTime::max());
        for (const std::size_t vm : candidates) {
            const base::WallTime maintained = m_fleet.view.vms[vm].record->lastMaintained;
            m_candidates[m_fleet.poolOf[vm]].push_back(vm);
            base::WallTime& dataCentreAge = m_dataCentreAge[m_domains.dataCentreOf[vm]];
            base::WallTime& rackAge = m_rackAge[m_domains.rackOf[vm]];
            dataCentreAge = std::min(dataCentreAge, maintained);
            rackAge = std::min(rackAge, maintained);
        }
    }

    void sortCandidates(std::size_t pool)
    {
        std::ranges::sort(m_candidates[pool], {}, [&](std::size_t vm) {
            const std::size_t dataCentre = m_domains.dataCentreOf[vm];
            const std::size_t rack = m_domains.rackOf[vm];
            return std::tuple(!m_openDataCentres[pool].contains(dataCentre), m_dataCentreAge[dataCentre], dataCentre,
                !m_openRacks[pool].contains(rack), m_rackAge[rack], rack, m_fleet.view.vms[vm].record->lastMaintained,
                vm);
        });
    }

    [[nodiscard]] std::uint32_t fleetLimit() const
    {
        const double share = m_fleet.options.maxRunningShare * static_cast<double>(m_fleet.view.vms.size());
        return std::max(m_fleet.options.minRunningStops, static_cast<std::uint32_t>(share));
    }

    void drainPool(std::size_t index)
    {
        PoolLedger& pool = m_fleet.pools[index];
        for (const std::size_t vm : m_candidates[index]) {
            const bool isInService = m_fleet.standings[vm] == Standing::InService;
            const bool isWithinBudget
                = isInService ? pool.allowsStop() : pool.inService >= pool.repaired + pool.required;
            if (m_running >= fleetLimit() || !isWithinBudget || mustWaitForDataCentre(index, vm)) {
                return;
            }
            pool.inService -= isInService ? 1 : 0;
            ++m_running;
            m_openDataCentres[index].insert(m_domains.dataCentreOf[vm]);
            m_fleet.standings[vm] = Standing::Stopped;
            m_actions.push_back(makeAction(m_fleet.view.vms[vm], MaintenanceActionKind::BeginDrain,
                m_fleet.isOverdue(vm) ? MaintenanceReason::Overdue : MaintenanceReason::Due,
                state::VmReason::Maintenance));
        }
    }

    Fleet& m_fleet;
    const PauseScopes& m_pauses;
    std::vector<MaintenanceAction>& m_actions;
    Domains m_domains;
    std::vector<base::WallTime> m_dataCentreAge;
    std::vector<base::WallTime> m_rackAge;
    std::vector<std::vector<std::size_t>> m_candidates;
    std::vector<std::set<std::size_t>> m_openDataCentres;
    std::vector<std::set<std::size_t>> m_openRacks;
    std::uint32_t m_running = 0;
};

} // namespace

void planDrains(Fleet& fleet, const PauseScopes& pauses, std::vector<MaintenanceAction>& actions)
{
    if (!pauses.isFleetPaused) {
        Wave(fleet, pauses, actions).plan();
    }
}

} // namespace crocuscove::maintenance
