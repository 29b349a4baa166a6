#pragma once

#include "platform/task_name.h"

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <string>

namespace crocuscove::control {

/// Runs that one log line names.
inline constexpr std::size_t maxLoggedRuns = 16;

/// Returns the first runs of a list as TASK/RUN, for a log line. Its items have a `task` and a `run`.
template <std::ranges::sized_range Runs> std::string runNames(const Runs& runs)
{
    std::string names;
    for (const auto& item : runs | std::views::take(std::min(std::ranges::size(runs), maxLoggedRuns))) {
        names += (names.empty() ? "" : " ") + platform::taskName(item.task) + "/" + std::to_string(item.run);
    }
    return names;
}

} // namespace crocuscove::control
