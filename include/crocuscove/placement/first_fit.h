#pragma once

#include "crocuscove/state/records.h"

#include <cstdint>
#include <vector>

namespace crocuscove::placement {

/// What is left of a worker's capacity.
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

/// Gives each job, in order, to the first worker with room for its declared size. The plain baseline of placement.
std::vector<Assignment> placeFirstFit(
    const std::vector<const state::JobRecord*>& jobs, std::vector<FreeWorker> workers);

} // namespace crocuscove::placement
