#include "steps.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::maintenance {

namespace {

/// Returns the time that the due VMs of a pool take, or nothing when the pool allows no stop.
std::optional<base::Milliseconds> remainingTime(const Fleet& fleet, const PoolBudget& pool)
{
    if (!pool.hasMaintenanceHeadroom()) {
        return std::nullopt;
    }
    const double rounds = std::ceil(static_cast<double>(pool.due) / pool.concurrentStops());
    return std::chrono::duration_cast<base::Milliseconds>(fleet.options.expectedStopDuration * rounds);
}

} // namespace

MaintenanceProgress measureProgress(const Fleet& fleet)
{
    MaintenanceProgress progress;
    for (std::size_t vm = 0; vm < fleet.view.vms.size(); ++vm) {
        if (fleet.statuses[vm] == VmStatus::Lost) {
            ++progress.lost;
            continue;
        }
        const bool isRunning = isInMaintenance(*fleet.view.vms[vm].record);
        progress.running += isRunning ? 1 : 0;
        ++(isRunning || fleet.isDue(vm) ? progress.remaining : progress.done);
        progress.overdue += fleet.isOverdue(vm) ? 1 : 0;
    }
    base::Milliseconds longest { 0 };
    for (const PoolBudget& pool : fleet.pools) {
        const auto time = pool.due == 0 ? base::Milliseconds(0) : remainingTime(fleet, pool);
        if (!time) {
            return progress;
        }
        longest = std::max(longest, *time);
    }
    progress.expectedEnd = fleet.now + longest;
    return progress;
}

} // namespace crocuscove::maintenance
