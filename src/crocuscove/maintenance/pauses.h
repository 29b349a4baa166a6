#pragma once

#include "fleet.h"

#include <set>

namespace crocuscove::maintenance {

/// Scopes in which planned stops are paused.
struct PauseScopes {
    bool isFleetPaused = false;
    /// The fleet is paused because observations are missing. Running drains wait instead of being cancelled.
    bool lacksObservations = false;
    /// Most serving VMs lack a fresh observation, so a missing announcement is no evidence that a single VM is lost.
    bool isMostlyUnobserved = false;
    std::set<base::PoolId> pools;
    std::set<base::DataCentreId> dataCentres;

    /// Whether a pause applies to the VM. The budget of its pool is not considered.
    [[nodiscard]] bool covers(const state::VmRecord& record) const
    {
        return isFleetPaused || pools.contains(record.pool) || dataCentres.contains(record.dataCentre);
    }
};

struct Pauses {
    std::vector<MaintenancePause> list;
    PauseScopes scopes;
};

Pauses findPauses(const Fleet& fleet);

} // namespace crocuscove::maintenance
