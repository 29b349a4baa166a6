#pragma once

#include "crocuscove/state/records.h"

#include <cstdint>
#include <vector>

namespace crocuscove::placement {

/// A worker and its free capacity.
struct FreeWorker {
    base::WorkerId worker;
    std::uint64_t incarnation = 0;
    state::Resources free;
};

struct Assignment {
    base::JobId job;
    base::WorkerId worker;
    std::uint64_t workerIncarnation = 0;
};

/// First-fit placement: assigns each job, in order, to the first worker whose free capacity covers its declared size.
/// Serves as the baseline that the planner is compared with.
std::vector<Assignment> placeFirstFit(
    const std::vector<const state::JobRecord*>& jobs, std::vector<FreeWorker> workers);

} // namespace crocuscove::placement
