#pragma once

#include "worker_index.h"

namespace crocuscove::placement {

/// Preempts or throttles at most one job on each worker whose reported usage exceeds the configured share of its
/// capacity, and places no more jobs on it in this round. Must be called after `WorkerIndex::buildOrder`.
void relievePressure(
    const PlacementView& view, const PlacementOptions& options, WorkerIndex& index, PlacementPlan& plan);

} // namespace crocuscove::placement
