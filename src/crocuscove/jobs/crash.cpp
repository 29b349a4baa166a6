#include "crocuscove/jobs/crash.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
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

std::int64_t nextStartMs(const TaskKey& task, const LostRuns& lost, bool isUnconfirmed)
{
    if (lost.runs < lostRunsBeforePause) {
        return 0;
    }
    if (isUnconfirmed) {
        return lost.lastMs + (lost.runs < maxLostRuns ? confirmationWait : lastConfirmationWait).count();
    }
    // The run is part of it, so that two tasks don't stay in step.
    const std::array<std::uint64_t, 5> parts { task.job, task.occurrence, task.step, task.index, lost.lastRun };
    const std::uint64_t hash = XXH3_64bits(parts.data(), sizeof(parts));
    const auto waitMs = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(lostRunSpread.count()));
    return lost.lastMs + waitMs;
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
