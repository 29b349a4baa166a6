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

/// A VM as the planner of pools sees it.
struct PoolVm {
    std::string id;
    std::string pool;
    /// Up in its pool, and neither under maintenance nor being emptied.
    bool isAvailable = false;
    /// Its worker has no task and answers, or it stands by.
    bool isEmpty = false;
    Resources capacity;
};

struct PoolView {
    std::vector<PoolVm> vms;
    /// Moves that were ordered and whose VM has not joined its new pool yet, by destination.
    std::map<std::string, std::uint32_t> arriving;
};

struct PoolMove {
    std::string vm;
    std::string from;
    std::string to;
};

/// What the last plan saw of one pool.
struct PoolState {
    std::uint32_t wanted = 0;
    /// With those that are on their way.
    std::uint32_t have = 0;
    std::uint32_t idle = 0;
    Resources demand;
};

/// Moves VMs to the pools whose queues need them, and back to standby when they are idle. Demand is what the ready
/// tasks of jobs that can still earn reserve, or the work that arrives, whichever is more.
class PoolPlanner {
public:
    /// Notes a job that was accepted.
    void addArrival(const FleetState& state, const RunTimes& runTimes, const Job& job, base::MonotonicTime now);

    /// Returns the moves to order now.
    std::vector<PoolMove> plan(const FleetState& state, const RunTimes& runTimes, const PoolView& view,
        std::int64_t nowMs, base::MonotonicTime now);

    [[nodiscard]] const std::map<std::string, PoolState>& lastPlan() const { return m_lastPlan; }

    /// Notes that the platform refused this move for good.
    void refuse(const std::string& vm, const std::string& pool) { m_refused.emplace(vm, pool); }

private:
    struct Arrival {
        base::MonotonicTime at;
        std::string pool;
        /// Core-milliseconds and memory-milliseconds of the whole job.
        Resources work;
    };

    /// Returns what the arriving work of each pool uses on average while it goes on.
    [[nodiscard]] std::map<std::string, Resources> arrivalRates(base::MonotonicTime now);
    [[nodiscard]] std::map<std::string, Resources> demandByPool(
        const FleetState& state, const RunTimes& runTimes, std::int64_t nowMs, base::MonotonicTime now);
    void takeVms(const std::string& pool, std::uint32_t count, const std::map<std::string, std::uint32_t>& surplus,
        std::vector<PoolVm*>& free, std::vector<PoolMove>& moves);

    std::deque<Arrival> m_arrivals;
    /// The most of each resource that any VM of the last plan had; nothing before the first plan.
    std::optional<Resources> m_largestVm;
    std::map<std::string, base::MonotonicTime> m_surplusSince;
    std::set<std::pair<std::string, std::string>> m_refused;
    std::map<std::string, PoolState> m_lastPlan;
};

} // namespace crocuscove::jobs
