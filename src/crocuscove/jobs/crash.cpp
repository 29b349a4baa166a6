#include "crocuscove/jobs/crash.h"

#include <algorithm>
#include <iterator>

namespace crocuscove::jobs {

std::vector<CrashedRun> suspectsOf(const std::vector<RunAtCrash>& runs)
{
    const auto newest = std::ranges::find_if(runs, &RunAtCrash::mayBeInProbation);
    const bool isOnlySuspect = newest != runs.end() && std::ranges::all_of(runs, [&](const RunAtCrash& run) {
        const bool isOfJob = run.task.job == newest->task.job;
        return run.mayBeInProbation ? isOfJob && run.isStartKnown : isOfJob || !run.hasCrashes;
    });
    std::vector<CrashedRun> result;
    std::ranges::transform(runs, std::back_inserter(result), [&](const RunAtCrash& run) {
        return CrashedRun { run.task, run.run, isOnlySuspect && run.mayBeInProbation };
    });
    return result;
}

TaskCrashes summarizeCrashes(const std::vector<CountedCrash>& crashes)
{
    TaskCrashes result;
    const auto first = std::ranges::find_if_not(crashes, &CountedCrash::isOfRack);
    if (first == crashes.end()) {
        return result;
    }
    const auto before = static_cast<std::uint32_t>(first - crashes.begin());
    const std::uint32_t ofRacks = std::min(before > 0 ? before - 1 : 0, maxRackCrashes);
    result.crashes = static_cast<std::uint32_t>(crashes.end() - first) + ofRacks;
    result.attributed = static_cast<std::uint32_t>(std::ranges::count_if(crashes, &CountedCrash::isAttributed));
    result.lastRun = std::ranges::max_element(crashes, {}, &CountedCrash::run)->run;
    return result;
}

} // namespace crocuscove::jobs
