#pragma once

#include "fleet.h"

#include <set>

namespace crocuscove::maintenance {

/// Where planned stops must wait.
struct PauseScopes {
    bool isFleetPaused = false;
    /// A pause for want of knowledge. Running drains wait instead of being abandoned.
    bool isBlind = false;
    /// Most of the fleet is silent, so that silence says nothing about a single VM.
    bool isMostlySilent = false;
    std::set<base::PoolId> pools;
    std::set<base::DataCentreId> dataCentres;

    /// Whether stops of the VM wait, apart from its pool's budget.
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
