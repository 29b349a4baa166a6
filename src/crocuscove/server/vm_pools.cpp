#include "vm_pools.h"

namespace crocuscove::server {

namespace {

std::optional<base::PoolId> poolFor(const VmPoolsView& view, const base::VmId& vm)
{
    const auto announced = view.announcedPools.find(vm);
    if (announced != view.announcedPools.end()) {
        return announced->second;
    }
    return view.hasHeardAll ? view.sparePool : std::nullopt;
}

} // namespace

std::vector<state::AssignVm> planVmPools(const VmPoolsView& view)
{
    std::vector<state::AssignVm> assignments;
    for (const auto& [id, record] : view.vms) {
        if (record.phase != state::VmPhase::Serving || view.documentPools.contains(record.pool)) {
            continue;
        }
        if (const auto pool = poolFor(view, id)) {
            assignments.push_back({ id, record.pool, *pool });
        }
    }
    return assignments;
}

} // namespace crocuscove::server
