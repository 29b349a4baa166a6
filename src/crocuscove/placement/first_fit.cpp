#include "crocuscove/placement/first_fit.h"

#include <algorithm>

namespace crocuscove::placement {

namespace {

bool fits(const state::Resources& need, const state::Resources& free)
{
    return need.cores <= free.cores && need.memoryMb <= free.memoryMb && need.accelerators <= free.accelerators;
}

void subtract(state::Resources& free, const state::Resources& used)
{
    free.cores -= used.cores;
    free.memoryMb -= used.memoryMb;
    free.accelerators -= used.accelerators;
}

} // namespace

std::vector<Assignment> placeFirstFit(const std::vector<const state::JobRecord*>& jobs, std::vector<FreeWorker> workers)
{
    std::vector<Assignment> assignments;
    for (const state::JobRecord* job : jobs) {
        const auto worker = std::ranges::find_if(
            workers, [&](const FreeWorker& candidate) { return fits(job->spec.declared, candidate.free); });
        if (worker != workers.end()) {
            subtract(worker->free, job->spec.declared);
            assignments.push_back({ job->spec.job, worker->worker, worker->incarnation });
        }
    }
    return assignments;
}

} // namespace crocuscove::placement
