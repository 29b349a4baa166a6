#include "crocuscove/jobs/interruption.h"

#include <algorithm>

namespace crocuscove::jobs {

bool mayInterrupt(const Job& job, const TaskKey& key, const TaskAvailability& isAvailable)
{
    const auto& tasks = job.occurrences[key.occurrence][key.step].tasks;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskKey other { key.job, key.occurrence, key.step, index };
        if (index != key.index && !isAvailable(other, tasks[index])) {
            ++unavailable;
        }
    }
    // A step without a limit allows one task to be interrupted.
    return unavailable < std::max(1U, job.spec.steps[key.step].mayInterrupt);
}

} // namespace crocuscove::jobs
