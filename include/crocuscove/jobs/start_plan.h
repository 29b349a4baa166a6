#pragma once

#include "crocuscove/jobs/job.h"
#include "crocuscove/jobs/resources.h"

#include <cstdint>
#include <set>
#include <vector>

namespace crocuscove::jobs {

enum class ClaimPhase {
    /// Assigned, and not known to be on the worker.
    Unsent,
    /// The worker has the run, or may have it.
    Running,
    /// Told to stop. It uses its resources until its end is listed.
    Stopping,
};

/// The share of a worker's capacity that one assigned task takes.
struct CapacityClaim {
    TaskKey task;
    Resources reservation;
    ClaimPhase phase = ClaimPhase::Unsent;
    bool isGang = false;
    /// When the job was accepted, in Unix milliseconds.
    std::int64_t acceptedMs = 0;
};

/// What becomes of the tasks that are assigned to a worker and not yet there. One that is in neither set waits until
/// others that are being stopped have ended.
struct StartPlan {
    std::set<TaskKey> send;
    /// They no longer fit, and are to run elsewhere.
    std::set<TaskKey> stop;
};

/// Plans the starts of a worker whose capacity is smaller than what is assigned to it. What runs already goes on and
/// counts first. Members of a gang come next, since the others wait for them, and then the tasks of older jobs.
StartPlan planStarts(const Resources& capacity, std::vector<CapacityClaim> claims);

} // namespace crocuscove::jobs
