#pragma once

#include "worker_index.h"

namespace crocuscove::placement {

/// Relieves workers whose reported usage comes close to their capacity, by at most one action for each. Such workers
/// are given no more jobs in this round. Call it after `buildOrder`.
void relievePressure(
    const PlacementView& view, const PlacementOptions& options, WorkerIndex& index, PlacementPlan& plan);

} // namespace crocuscove::placement
