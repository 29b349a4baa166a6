#pragma once

#include "crocuscove/jobs/job.h"

#include <functional>

namespace crocuscove::jobs {

/// Returns whether the current run of a task is running at full pace and has not been told to stop.
using IsAtWork = std::function<bool(const TaskKey&, const Task&)>;

/// Returns whether planned maintenance may stop a long-running task now, that is, whether fewer other tasks of its step
/// are unavailable than the step allows.
bool mayInterrupt(const Job& job, const TaskKey& key, const IsAtWork& isAtWork);

} // namespace crocuscove::jobs
