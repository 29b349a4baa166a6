#pragma once

#include "crocuscove/document/service_document.h"
#include "crocuscove/state/records.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace crocuscove::placement {

enum class WorkerHealth {
    Healthy,
    /// All recent jobs failed on this worker, so no jobs are placed on it.
    Quarantined,
    /// Receives one job at a time, which decides whether the quarantine ends.
    Probing,
};

struct WorkerView {
    base::WorkerId worker {};
    std::uint64_t incarnation = 0;
    base::VmId vm {};
    base::RackId rack {};
    base::DataCentreId dataCentre {};
    state::Resources capacity {};
    /// Last reported usage.
    state::Resources used {};
    /// False while the worker leaves or its VM drains, and until it has reported to this leader.
    bool acceptsJobs = true;
    /// False for a worker that is known from the replicated records but has not reported yet.
    bool isObserved = true;
    WorkerHealth health = WorkerHealth::Healthy;
};

/// A queued or running job.
struct JobView {
    const state::JobRecord* record = nullptr;
    /// Size to plan with: learned or declared.
    state::Resources size {};
    /// Worker of a proposed start that is not committed yet. The job uses its capacity like a running one.
    std::optional<base::WorkerId> startingOn {};
    /// Indices of the worker and the team in the view, if the caller knows them. A wrong index costs a look-up.
    std::size_t workerHint = 0;
    std::size_t teamHint = 0;
    /// The worker was already told to checkpoint the job.
    bool isStopping = false;
    bool isThrottled = false;
    /// Last reported usage.
    state::Resources used {};
};

struct TeamView {
    base::TeamId team {};
    std::uint32_t share = 1;
    /// Nothing means no limit. A resource whose quota is 0 may not be used.
    std::optional<document::JobQuota> quota {};
};

/// Complete input of a placement decision. A team that is not listed has share 1 and no quota.
struct PlacementView {
    std::vector<WorkerView> workers {};
    /// Oldest first within a team. Jobs that are neither queued nor running are ignored.
    std::vector<JobView> jobs {};
    std::vector<TeamView> teams {};
    /// Time at which this leader began to collect worker reports.
    base::WallTime observingSince {};
};

} // namespace crocuscove::placement
