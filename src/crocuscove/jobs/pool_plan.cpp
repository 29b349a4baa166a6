#include "crocuscove/jobs/pool_plan.h"

#include "crocuscove/jobs/job_rank.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <string_view>

namespace crocuscove::jobs {

namespace {

/// Windows over which the arrival rate is measured; the highest rate is used. The longest window is about the duration
/// of a move, and the short ones detect a surge early.
constexpr std::array rateWindows { base::Milliseconds(250), base::Milliseconds(600), base::Milliseconds(1'500) };
/// A rate from fewer arrivals than this in a short window is too uncertain and is ignored.
constexpr std::uint32_t minimumArrivals = 6;
constexpr std::size_t maxArrivals = 20'000;
/// Share of a pool's capacity that demand may use before another VM is requested.
constexpr double targetUtilisation = 0.8;
/// VMs kept in addition to demand, for the start of a surge and the loss of a VM.
constexpr std::uint32_t spareVms = 1;
constexpr std::uint32_t minimumVms = 3;
/// How long a pool must have surplus VMs before one is moved to standby: at the platform's prices, a move to standby
/// and back costs about as much as keeping a VM in a pool for this long.
constexpr base::Milliseconds surplusDelay { 1'000 };

/// Upper limit of the work of one arrival, so that the sum of `maxArrivals` of them stays in range.
constexpr double maxScaled = 4.0e14;
constexpr double maxVmsWanted = 1.0e6;

/// A pool with fewer VMs than it should have.
struct Shortage {
    std::string pool;
    std::uint32_t currentVms = 0;
    std::uint32_t targetVms = 1;

    /// The emptiest pools get VMs first: a pool without any serves nothing, whereas one that has most of its VMs serves
    /// most of its work.
    [[nodiscard]] double filledShare() const
    {
        return static_cast<double>(currentVms) / static_cast<double>(targetVms);
    }
};

Resources scaled(const Resources& amount, double factor)
{
    const auto scale = [&](std::int64_t value) {
        return static_cast<std::int64_t>(std::min(maxScaled, std::ceil(static_cast<double>(value) * factor)));
    };
    return { scale(amount.cpuMilli), scale(amount.memoryMb), scale(amount.accelerators) };
}

/// Returns whether each task of a job fits into a VM of this size. A job with a task that fits no VM can never finish.
bool canEverRun(const Job& job, const Resources& vm)
{
    return std::ranges::all_of(job.spec.steps, [&](const StepSpec& step) { return step.reservation().fitsInto(vm); });
}

/// Returns the resources that the ready and running tasks of a job reserve.
Resources readyDemand(const Job& job, std::int64_t nowMs)
{
    Resources demand;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        if (job.spec.dueMs(occurrence) > nowMs) {
            continue;
        }
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepProgress& progress = job.occurrences[occurrence][step];
            const std::size_t unfinished = progress.tasks.size() - progress.doneTasks;
            if (unfinished > 0 && job.isStepReady(occurrence, step)) {
                demand += scaled(job.spec.steps[step].reservation(), static_cast<double>(unfinished));
            }
        }
    }
    return demand;
}

std::uint32_t vmsFor(const Resources& demand, const Resources& vm)
{
    const auto ratio = [](std::int64_t needed, std::int64_t each) {
        return each <= 0 ? 0.0 : static_cast<double>(needed) / (static_cast<double>(each) * targetUtilisation);
    };
    const double vms = std::max(ratio(demand.cpuMilli, vm.cpuMilli), ratio(demand.memoryMb, vm.memoryMb));
    return static_cast<std::uint32_t>(std::min(maxVmsWanted, std::ceil(vms)));
}

} // namespace

void PoolPlanner::addArrival(const FleetState& state, const RunTimes& runTimes, const Job& job, base::MonotonicTime now)
{
    const Queue* queue = state.findQueue(job.queue);
    const bool isLongRunning = std::ranges::any_of(job.spec.steps, &StepSpec::isLongRunning);
    const bool isUnschedulable = m_largestVm && !canEverRun(job, *m_largestVm);
    if (queue == nullptr || isLongRunning || isUnschedulable || m_arrivals.size() >= maxArrivals) {
        return;
    }
    Arrival arrival { now, queue->service, {} };
    for (const StepSpec& step : job.spec.steps) {
        const auto runMs = static_cast<double>(runTimes.expectedMs(job.queue, step.estimateMs));
        arrival.work += scaled(step.reservation(), step.taskCount * runMs);
    }
    m_arrivals.push_back(std::move(arrival));
}

std::map<std::string, Resources> PoolPlanner::arrivalRates(base::MonotonicTime now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at > rateWindows.back()) {
        m_arrivals.pop_front();
    }
    std::map<std::string, Resources> peakRates;
    for (const base::Milliseconds window : rateWindows) {
        std::map<std::string, std::pair<std::uint32_t, Resources>> sums;
        for (const Arrival& arrival : m_arrivals) {
            if (now - arrival.at <= window) {
                auto& [count, work] = sums[arrival.pool];
                ++count;
                work += arrival.work;
            }
        }
        for (const auto& [pool, sum] : sums) {
            if (sum.first >= minimumArrivals || window == rateWindows.back()) {
                peakRates[pool]
                    = componentwiseMax(peakRates[pool], scaled(sum.second, 1.0 / static_cast<double>(window.count())));
            }
        }
    }
    return peakRates;
}

std::map<std::string, Resources> PoolPlanner::demandByPool(
    const FleetState& state, const RunTimes& runTimes, std::int64_t nowMs, base::MonotonicTime now)
{
    std::map<std::string, Resources> rate = arrivalRates(now);
    std::map<std::string, Resources> ready;
    std::map<std::string, Resources> longRunningDemand;
    for (const auto& [queueName, jobs] : state.activeJobs()) {
        const Queue* queue = state.findQueue(queueName);
        if (queue == nullptr) {
            continue;
        }
        for (const JobId id : jobs) {
            const Job& job = state.jobs().at(id);
            if (m_largestVm && !canEverRun(job, *m_largestVm)) {
                continue;
            }
            const Urgency urgency = urgencyOf(job, *queue, runTimes, nowMs);
            if (urgency == Urgency::LongRunning) {
                longRunningDemand[queue->service] += readyDemand(job, nowMs);
            } else if (urgency != Urgency::Missed) {
                ready[queue->service] += readyDemand(job, nowMs);
            }
        }
    }
    std::map<std::string, Resources> demand;
    for (const Service& service : state.configuration().services) {
        demand[service.name]
            = longRunningDemand[service.name] + componentwiseMax(ready[service.name], rate[service.name]);
    }
    return demand;
}

std::vector<PoolMove> PoolPlanner::plan(const FleetState& state, const RunTimes& runTimes, const PoolView& view,
    std::int64_t nowMs, base::MonotonicTime now)
{
    Resources vmSize;
    std::ranges::for_each(view.vms, [&](const PoolVm& vm) { vmSize = componentwiseMax(vmSize, vm.capacity); });
    if (!view.vms.empty()) {
        m_largestVm = vmSize;
    }
    const auto demand = demandByPool(state, runTimes, nowMs, now);
    std::map<std::string, std::uint32_t> currentVms = view.incomingVms;
    EmptyVms emptyVms;
    for (const PoolVm& vm : view.vms) {
        if (vm.isAvailable) {
            ++currentVms[vm.pool];
            if (vm.isEmpty) {
                emptyVms[vm.pool].push_back(&vm);
            }
        }
    }
    std::map<std::string, std::uint32_t> surplus;
    std::vector<Shortage> shortages;
    std::string standby;
    for (const Service& service : state.configuration().services) {
        if (service.isStandby) {
            standby = service.name;
            surplus[service.name] = currentVms[service.name];
            continue;
        }
        const std::uint32_t targetVms = std::max(minimumVms, vmsFor(demand.at(service.name), vmSize) + spareVms);
        const auto idleVms = static_cast<std::uint32_t>(emptyVms[service.name].size());
        m_lastPlan[service.name] = { targetVms, currentVms[service.name], idleVms, demand.at(service.name) };
        if (currentVms[service.name] < targetVms) {
            shortages.push_back({ service.name, currentVms[service.name], targetVms });
        }
        if (currentVms[service.name] > targetVms) {
            surplus[service.name] = currentVms[service.name] - targetVms;
            m_surplusSince.try_emplace(service.name, now);
        } else {
            m_surplusSince.erase(service.name);
        }
    }
    std::vector<PoolMove> moves;
    std::ranges::sort(shortages, {}, &Shortage::filledShare);
    for (const Shortage& shortage : shortages) {
        selectVms(shortage.pool, shortage.targetVms - shortage.currentVms, surplus, emptyVms, moves);
    }
    for (const auto& entry : m_surplusSince) {
        const std::string& pool = entry.first;
        if (standby.empty() || !shortages.empty() || now - entry.second < surplusDelay) {
            continue;
        }
        for (const PoolVm* vm : emptyVms[pool]) {
            if (surplus[pool] > 0 && !m_refusedMoves.contains({ vm->id, standby })) {
                --surplus[pool];
                moves.push_back({ vm->id, pool, standby });
            }
        }
    }
    return moves;
}

// Takes VMs from the pools with the largest surplus. All VMs on standby count as surplus, since they cost nothing.
void PoolPlanner::selectVms(const std::string& pool, std::uint32_t count,
    const std::map<std::string, std::uint32_t>& surplus, EmptyVms& emptyVms, std::vector<PoolMove>& moves) const
{
    std::map<std::string, std::uint32_t> taken;
    std::ranges::for_each(moves, [&](const PoolMove& move) { ++taken[move.from]; });
    struct Source {
        const std::string* pool = nullptr;
        std::uint32_t surplus = 0;
        /// Empty VMs that may be moved to `pool`, the next one last.
        std::vector<const PoolVm*> vms;
    };
    std::vector<Source> sources;
    for (const auto& [name, vms] : emptyVms) {
        const auto spare = surplus.find(name);
        if (name == pool || spare == surplus.end()) {
            continue;
        }
        Source source { &name, spare->second - std::min(spare->second, taken[name]), {} };
        std::copy_if(vms.rbegin(), vms.rend(), std::back_inserter(source.vms), [&](const PoolVm* vm) {
            return !m_refusedMoves.contains({ vm->id, pool });
        });
        sources.push_back(std::move(source));
    }
    for (std::uint32_t item = 0; item < count; ++item) {
        const auto best = std::ranges::max_element(
            sources, {}, [](const Source& source) { return source.vms.empty() ? 0 : source.surplus; });
        if (best == sources.end() || best->vms.empty() || best->surplus == 0) {
            break;
        }
        moves.push_back({ best->vms.back()->id, *best->pool, pool });
        best->vms.pop_back();
        --best->surplus;
    }
    std::set<std::string_view> chosen;
    std::ranges::for_each(moves, [&](const PoolMove& move) { chosen.insert(move.vm); });
    for (auto& entry : emptyVms) {
        std::erase_if(entry.second, [&](const PoolVm* vm) { return chosen.contains(vm->id); });
    }
}

} // namespace crocuscove::jobs
