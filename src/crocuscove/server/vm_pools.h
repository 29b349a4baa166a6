#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/state/command.h"
#include "crocuscove/state/records.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocuscove::server {

/// Input of planVmPools().
struct VmPoolsView {
    const std::map<base::VmId, state::VmRecord>& vms;
    /// Pools of the documents in force.
    std::set<base::PoolId> documentPools {};
    /// Empty without a fleet document.
    std::optional<base::PoolId> sparePool {};
    /// Pool of the service whose backend server announces itself on the VM.
    std::map<base::VmId, base::PoolId> announcedPools {};
    /// Whether every running backend server had the time to announce itself to this leader.
    bool hasHeardAll = false;
};

/// Assigns the serving VMs whose pool belongs to no document, such as those registered before there was a document or
/// before their backend servers announced themselves. A VM joins the pool of the service that runs on it, or else the
/// spare pool.
std::vector<state::AssignVm> planVmPools(const VmPoolsView& view);

} // namespace crocuscove::server
