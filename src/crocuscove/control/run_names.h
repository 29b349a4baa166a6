#pragma once

#include "platform/task_name.h"

#include <algorithm>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace crocuscove::control {

/// Runs that one log line names.
inline constexpr std::size_t maxLoggedRuns = 16;

/// Returns the first runs of a list as TASK/RUN, for a log line. `Run` has a `task` and a `run`.
template <typename Run> std::string runNames(const std::vector<Run>& runs)
{
    std::string names;
    for (const Run& item : std::span(runs).first(std::min(runs.size(), maxLoggedRuns))) {
        names += (names.empty() ? "" : " ") + platform::taskName(item.task) + "/" + std::to_string(item.run);
    }
    return names;
}

} // namespace crocuscove::control
