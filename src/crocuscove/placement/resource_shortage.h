#pragma once

#include "resources.h"

#include <optional>

namespace crocuscove::placement {

/// Returns the resource whose shortfall within `limit` is the largest share of `need`, or nothing if the job fits.
std::optional<ResourceShortage> largestShortage(const state::Resources& need, const state::Resources& limit);

/// Returns the different capacities of the workers, without those that another one covers.
std::vector<state::Resources> distinctCapacities(const std::vector<WorkerView>& workers);

/// Returns the shortage on the worker whose total capacity comes closest to `need`, or nothing if a worker is large
/// enough.
std::optional<ResourceShortage> smallestShortage(const state::Resources& need, const std::vector<WorkerView>& workers);

} // namespace crocuscove::placement
