#pragma once

#include "resources.h"

#include <optional>

namespace crocuscove::placement {

/// Returns the resource that lacks the largest share of `need` within `limit`, or nothing when the job fits.
std::optional<NearestMiss> missOf(const state::Resources& need, const state::Resources& limit);

/// Returns the different capacities of the workers, without those that another one covers.
std::vector<state::Resources> distinctCapacities(const std::vector<WorkerView>& workers);

/// Returns the worker whose whole capacity comes closest to the job, or nothing when a worker is large enough.
std::optional<NearestMiss> nearestMiss(const state::Resources& need, const std::vector<WorkerView>& workers);

} // namespace crocuscove::placement
