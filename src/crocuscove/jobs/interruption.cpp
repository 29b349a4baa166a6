#include "crocuscove/jobs/interruption.h"

#include <algorithm>

namespace crocuscove::jobs {

bool mayInterrupt(const Job& job, const TaskKey& key, const IsAtWork& isAtWork)
{
    const auto& tasks = job.occurrences[key.occurrence][key.step].tasks;
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskKey other { key.job, key.occurrence, key.step, index };
        if (index != key.index && !isAtWork(other, tasks[index])) {
            ++away;
        }
    }
    // A step without a limit allows one task to be interrupted.
    return away < std::max(1U, job.spec.steps[key.step].mayInterrupt);
}

} // namespace crocuscove::jobs
