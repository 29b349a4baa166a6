#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/jobs/fleet_state.h"
#include "crocuscove/jobs/run_times.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::jobs {

/// A VM as input of the pool planner.
struct PoolVm {
    std::string id;
    std::string pool;
    /// The VM is up in its pool, and neither under maintenance nor being drained.
    bool isAvailable = false;
    /// The worker on the VM responds and has no task, or the VM is on standby.
    bool isEmpty = false;
    Resources capacity;
};

struct PoolView {
    std::vector<PoolVm> vms;
    /// Number of VMs whose move was ordered but which have not joined their new pool yet, by destination pool.
    std::map<std::string, std::uint32_t> incomingVms;
};

struct PoolMove {
    std::string vm;
    std::string from;
    std::string to;
};

/// State of one pool as of the last plan.
struct PoolState {
    std::uint32_t targetVms = 0;
    /// Includes the VMs that are being moved to the pool.
    std::uint32_t currentVms = 0;
    std::uint32_t idleVms = 0;
    Resources demand;
};

/// Plans moves of VMs to the pools whose queues need them, and back to standby when they are idle. The demand of a pool
/// is the larger of the resources reserved by the ready tasks of jobs that can still earn their benefit, and the
/// resources needed by the arriving work. Long-running jobs are added to it.
class PoolPlanner {
public:
    /// Records the arrival of an accepted job.
    void addArrival(const FleetState& state, const RunTimes& runTimes, const Job& job, base::MonotonicTime now);

    /// Returns the moves that should be ordered now.
    std::vector<PoolMove> plan(const FleetState& state, const RunTimes& runTimes, const PoolView& view,
        std::int64_t nowMs, base::MonotonicTime now);

    [[nodiscard]] const std::map<std::string, PoolState>& lastPlan() const { return m_lastPlan; }

    /// Records that the platform permanently refused to move this VM to this pool.
    void recordRefusal(const std::string& vm, const std::string& pool) { m_refusedMoves.emplace(vm, pool); }

private:
    /// Empty VMs of the view, by pool.
    using EmptyVms = std::map<std::string, std::vector<const PoolVm*>>;

    struct Arrival {
        base::MonotonicTime at;
        std::string pool;
        /// Core-milliseconds and memory-milliseconds of the whole job.
        Resources work;
    };

    /// Returns the average resources that each pool needs to keep up with its current arrival rate.
    [[nodiscard]] std::map<std::string, Resources> arrivalRates(base::MonotonicTime now);
    [[nodiscard]] std::map<std::string, Resources> demandByPool(
        const FleetState& state, const RunTimes& runTimes, std::int64_t nowMs, base::MonotonicTime now);
    /// Adds moves of up to `count` empty VMs to `pool`, and takes these VMs from `emptyVms`.
    void selectVms(const std::string& pool, std::uint32_t count, const std::map<std::string, std::uint32_t>& surplus,
        EmptyVms& emptyVms, std::vector<PoolMove>& moves) const;

    std::deque<Arrival> m_arrivals;
    /// Largest capacity of any VM in the last plan, per resource; not set before the first plan.
    std::optional<Resources> m_largestVm;
    std::map<std::string, base::MonotonicTime> m_surplusSince;
    std::set<std::pair<std::string, std::string>> m_refusedMoves;
    std::map<std::string, PoolState> m_lastPlan;
};

} // namespace crocuscove::jobs
