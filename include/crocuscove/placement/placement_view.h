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
    /// Fails everything it starts and is given no work.
    Quarantined,
    /// A quarantined worker that is given one job at a time.
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
    /// False while the worker leaves or its VM drains, or before it reported to this leader.
    bool takesWork = true;
    /// False for a worker that is known from the records only.
    bool isObserved = true;
    WorkerHealth health = WorkerHealth::Healthy;
};

/// A queued or running job.
struct JobView {
    const state::JobRecord* record = nullptr;
    /// Size to plan with: learned or declared.
    state::Resources size {};
    /// Worker of a proposed start that is not committed yet. The job occupies it like a running one.
    std::optional<base::WorkerId> startingOn {};
    /// Positions in the view of the worker and the team, when the caller knows them. Wrong ones cost a look-up.
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

/// Everything a placement decision depends on. A team that is not listed has share 1 and no quota.
struct PlacementView {
    std::vector<WorkerView> workers {};
    /// Oldest first within a team. Jobs in other states than queued and running are passed over.
    std::vector<JobView> jobs {};
    std::vector<TeamView> teams {};
    /// Moment since which this leader collects worker reports.
    base::WallTime observingSince {};
};

} // namespace crocuscove::placement
