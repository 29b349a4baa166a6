#include "crocuscove/jobs/rack_crash.h"

#include <algorithm>
#include <chrono>

namespace crocuscove::jobs {

namespace {

bool fellSilentTogether(const WorkerContact& first, const WorkerContact& second)
{
    return first.silentSince && second.silentSince && first.knownSince < *second.silentSince
        && second.knownSince < *first.silentSince
        && std::chrono::abs(*first.silentSince - *second.silentSince) <= rackCrashSpread;
}

} // namespace

std::string rackOf(const WorkerReport& report) { return report.labels.empty() ? std::string() : report.labels.back(); }

bool isRackCrash(const WorkerContact& crashed, const std::vector<WorkerContact>& others)
{
    if (crashed.rack.empty() || !crashed.silentSince) {
        return false;
    }
    const auto isBeside = [&](const WorkerContact& other) {
        return other.worker != crashed.worker && other.rack == crashed.rack && other.service == crashed.service;
    };
    // A worker that came later tells nothing: it may be the next incarnation of one that crashed too.
    const bool isAnotherThere = std::ranges::any_of(others, [&](const WorkerContact& other) {
        return isBeside(other) && other.knownSince < *crashed.silentSince && !fellSilentTogether(crashed, other)
            && (!other.silentSince || *other.silentSince > *crashed.silentSince);
    });
    const auto isTogether
        = [&](const WorkerContact& other) { return isBeside(other) && fellSilentTogether(crashed, other); };
    const bool isExplained = crashed.hasSuspectedTask && std::ranges::none_of(others, [&](const WorkerContact& other) {
        return isTogether(other) && !other.hasSuspectedTask;
    });
    return !isAnotherThere && !isExplained && std::ranges::any_of(others, isTogether);
}

} // namespace crocuscove::jobs
