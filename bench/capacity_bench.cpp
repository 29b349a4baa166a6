// Moves, waits and buffers on a virtual clock against target tracking and buffers for each service alone, and decision
// times. Usage: bench_capacity [seed]

#include "report.h"

#include "crocuscove/base/random.h"
#include "crocuscove/capacity/testing/fake_pools.h"

#include <cmath>
#include <functional>
#include <map>
#include <numbers>

namespace crocuscove::bench {
namespace {

using capacity::CapacityPlan;
using capacity::testing::FakePools;
using capacity::testing::FakeService;

using Policy = std::function<CapacityPlan(const FakePools&)>;

constexpr std::size_t services = 5;
constexpr double slotsPerExecutor = 8.0;
constexpr double serviceSeconds = 0.05;
constexpr int daySeconds = 86'400;
constexpr base::Milliseconds second { 1'000 };
constexpr int secondsPerRound = 15;

/// Load of one service through a day, in slots: a daily wave whose peak differs between services, noise by the
/// minute, and now and then a fivefold surge of some seconds that is followed by a twentieth of the mean.
class LoadCurve {
public:
    LoadCurve(std::size_t service, std::uint64_t seed)
        : m_random(seed * services + service)
        , m_peakSecond(static_cast<double>(service) * daySeconds / services)
    {
    }

    double at(int time)
    {
        constexpr double mean = 42.0;
        constexpr double dailySwing = 14.0;
        constexpr int surgeSeconds = 10;
        constexpr int lullSeconds = 20;
        constexpr double surgesPerSecond = 1.0 / 1'200;
        if (time % 60 == 0) {
            m_noise = 1.0 + 0.1 * (2.0 * base::randomUnit(m_random) - 1.0);
        }
        if (time > m_surgeStart + surgeSeconds + lullSeconds && base::randomUnit(m_random) < surgesPerSecond) {
            m_surgeStart = time;
        }
        const int sinceSurge = time - m_surgeStart;
        const double factor = sinceSurge < surgeSeconds ? 5.0 : sinceSurge < surgeSeconds + lullSeconds ? 0.05 : 1.0;
        const double daily = std::cos(2.0 * std::numbers::pi * (time - m_peakSecond) / daySeconds);
        return (mean + dailySwing * daily) * m_noise * factor;
    }

private:
    base::Random m_random;
    double m_peakSecond;
    double m_noise = 1.0;
    int m_surgeStart = -daySeconds;
};

/// Waits of short work, weighted by the number of requests, in hundredths of a second.
class Waits {
public:
    void add(double seconds, double requests)
    {
        m_requests[std::lround(seconds * 100.0)] += requests;
        m_total += requests;
    }

    [[nodiscard]] double percentile(double share) const
    {
        double seen = 0.0;
        for (const auto& [wait, requests] : m_requests) {
            seen += requests;
            if (seen >= share * m_total) {
                return static_cast<double>(wait) / 100.0;
            }
        }
        return 0.0;
    }

private:
    std::map<long, double> m_requests;
    double m_total = 0.0;
};

struct DayResult {
    std::uint64_t moves = 0;
    double p99Wait = 0.0;
    double meanExecutors = 0.0;
};

FakePools dayPools()
{
    FakePools pools = capacity::testing::fiveServices();
    for (FakeService& service : pools.services) {
        service.busySlots = 42.0;
    }
    pools.fillHistory();
    return pools;
}

/// Runs `days` with a fluid queue in front of each pool. Reports are sums over a round and carry the error given.
DayResult runDays(const Policy& policy, std::uint64_t seed, int days, double reportError)
{
    FakePools pools = dayPools();
    base::Random random(seed);
    std::vector<LoadCurve> curves;
    for (std::size_t service = 0; service < services; ++service) {
        curves.emplace_back(service, seed);
    }
    std::vector<double> backlog(services, 0.0);
    std::vector<double> busy(services, 0.0);
    Waits waits;
    double executorSeconds = 0.0;
    for (int time = 0; time < days * daySeconds; ++time) {
        for (std::size_t service = 0; service < services; ++service) {
            const double slots = pools.available(pools.services[service].document.pool.name) * slotsPerExecutor;
            const double offered = curves[service].at(time);
            // Slot-seconds: what arrives in this second, what can be done, and what is left over.
            const double work = backlog[service] + offered;
            const double done = std::min(work, slots);
            waits.add(slots > 0.0 ? (backlog[service] + std::max(0.0, offered - slots) / 2.0) / slots : 60.0,
                offered / serviceSeconds);
            backlog[service] = work - done;
            busy[service] += done;
            executorSeconds += pools.members(pools.services[service].document.pool.name);
        }
        if (time % secondsPerRound == secondsPerRound - 1) {
            for (std::size_t service = 0; service < services; ++service) {
                const double error = 1.0 + reportError * (2.0 * base::randomUnit(random) - 1.0);
                pools.services[service].busySlots = busy[service] / secondsPerRound * error;
                pools.services[service].queued = backlog[service] / serviceSeconds;
                busy[service] = 0.0;
            }
            pools.advance(second * secondsPerRound);
            pools.apply(policy(pools));
        }
    }
    return { .moves = pools.moves,
        .p99Wait = waits.percentile(0.99),
        .meanExecutors = executorSeconds / (static_cast<double>(days) * daySeconds * services) };
}

CapacityPlan planned(const FakePools& pools) { return capacity::planCapacity(pools.view(), {}, pools.now); }

/// Moves as many VMs as the mean load of the last `window` asks for at the same utilisation, in either direction.
/// Leaves a pool alone while the number wanted is within `tolerance` of its size.
CapacityPlan targetTracking(const FakePools& pools, std::chrono::seconds window, double tolerance)
{
    CapacityPlan plan;
    const base::PoolId& spare = pools.fleet.sparePool;
    std::uint32_t spares = pools.available(spare);
    std::vector<bool> isTaken(pools.vms.size(), false);
    const auto move = [&](const base::PoolId& from, const base::PoolId& to) {
        for (std::size_t vm = 0; vm < pools.vms.size(); ++vm) {
            const auto& record = pools.vms[vm].record;
            if (!isTaken[vm] && record.pool == from && record.phase == state::VmPhase::Serving) {
                isTaken[vm] = true;
                plan.moves.push_back({ .command = { record.vm, from, to, 1 } });
                return;
            }
        }
    };
    for (const FakeService& service : pools.services) {
        const capacity::CapacityOptions options;
        double sum = 0.0;
        int count = 0;
        for (const auto& sample : service.samples) {
            const auto age = pools.now - sample.at;
            if (age >= pools.reportLag && age < pools.reportLag + window) {
                sum += sample.busySlots + std::min(sample.queued, sample.busySlots);
                ++count;
            }
        }
        const auto& range = service.document.pool.executors;
        const double executors = sum / std::max(count, 1) / (slotsPerExecutor * options.targetUtilisation);
        const auto wanted = std::clamp(static_cast<std::uint32_t>(std::ceil(executors)), range.minimum, range.maximum);
        std::uint32_t members = pools.members(service.document.pool.name);
        if (std::abs(executors - members) <= tolerance * members) {
            continue;
        }
        for (; members < wanted && spares > 0; ++members, --spares) {
            move(spare, service.document.pool.name);
        }
        for (; members > wanted; --members) {
            move(service.document.pool.name, spare);
        }
    }
    return plan;
}

void compareWith(std::string_view baseline, const DayResult& ours, const DayResult& theirs)
{
    const double ratio = static_cast<double>(theirs.moves) / std::max(1.0, static_cast<double>(ours.moves));
    fmt::print("  against {}\n", baseline);
    report("    its moves", static_cast<double>(theirs.moves), "");
    report("    its moves / those of the planner", ratio, "", ">= 5", ratio >= 5.0);
    report("    its p99 short-work wait", theirs.p99Wait, "s");
    report("    p99 wait of the planner / its own", ours.p99Wait / theirs.p99Wait, "", "<= 1",
        ours.p99Wait <= theirs.p99Wait);
    report("    its executors held by a service, mean", theirs.meanExecutors, "");
}

void compareMoves(std::uint64_t seed)
{
    constexpr int days = 2;
    constexpr double reportError = 0.08;
    const DayResult ours = runDays(planned, seed, days, reportError);
    const DayResult plain
        = runDays([](const FakePools& pools) { return targetTracking(pools, std::chrono::minutes(1), 0.0); }, seed,
            days, reportError);
    const DayResult damped
        = runDays([](const FakePools& pools) { return targetTracking(pools, std::chrono::minutes(5), 0.1); }, seed,
            days, reportError);
    fmt::print("moves, 5 services, 50 VMs, {} days, surges of seconds, reports with 8% error\n", days);
    report("  planner: moves", static_cast<double>(ours.moves), "");
    report("  planner: p99 short-work wait", ours.p99Wait, "s");
    report("  planner: executors held by a service, mean", ours.meanExecutors, "");
    compareWith("target tracking, mean of 1 min", ours, plain);
    compareWith("target tracking, mean of 5 min, 10% tolerance", ours, damped);
}

struct BufferFleet {
    std::string_view name;
    std::size_t services;
    std::uint32_t smallest;
    std::uint32_t largest;
    std::size_t dataCentres;
    document::FailureDomain domain;
};

struct BufferTrial {
    double joint = 0.0;
    double alone = 0.0;
    std::size_t losses = 0;
    std::size_t jointSurvived = 0;
    std::size_t aloneSurvived = 0;
};

/// VMs that a service alone keeps against a report that is too low: one miss in a hundred.
std::uint32_t aloneErrorVms(std::uint32_t wanted)
{
    constexpr double quantile = 2.33;
    return static_cast<std::uint32_t>(std::ceil(quantile * capacity::CapacityOptions {}.reportError * wanted));
}

/// VMs of a buffer that remain when it is dealt out evenly over the domains and one is lost.
std::uint32_t remaining(std::uint32_t buffer, std::size_t domains)
{
    return buffer - static_cast<std::uint32_t>((buffer + domains - 1) / domains);
}

/// Places pools of the size that their reported demand asks for, sizes both buffers and loses each domain in turn.
void tryBuffer(const BufferFleet& fleet, base::Random& random, BufferTrial& trial)
{
    const capacity::CapacityOptions options;
    FakePools pools;
    std::vector<std::uint32_t> trueNeeds;
    std::vector<std::string> places;
    std::normal_distribution<double> error(1.0, options.reportError);
    for (std::size_t service = 0; service < fleet.services; ++service) {
        const std::string name = "pool" + std::to_string(service);
        FakeService& added = pools.addService(name, { .minimum = 1, .maximum = 5'000, .spare = 1 }, 90.0);
        added.document.pool.failureDomain = fleet.domain;
        const double executors = fleet.smallest + (fleet.largest - fleet.smallest) * base::randomUnit(random);
        const double slots = executors * slotsPerExecutor * options.highestUtilisation;
        trueNeeds.push_back(static_cast<std::uint32_t>(std::ceil(executors)));
        added.busySlots = slots * std::max(0.0, error(random));
        const double wanted = added.busySlots / (slotsPerExecutor * options.highestUtilisation);
        places.insert(places.end(), static_cast<std::size_t>(std::ceil(wanted)), name);
    }
    pools.fillHistory();
    std::ranges::shuffle(places, random);
    const auto addVm = [&](const std::string& pool) {
        const std::size_t rack = pools.vms.size() / 4;
        pools.addVm(pool, "dc" + std::to_string(rack % fleet.dataCentres), "rack" + std::to_string(rack));
    };
    std::ranges::for_each(places, addVm);
    // The buffer grows until it also covers its own VMs in the domain that is lost.
    std::uint32_t spares = planned(pools).buffer.needed;
    for (std::uint32_t spare = 0; spare < spares; ++spare) {
        addVm("spare");
    }
    for (; planned(pools).buffer.needed > spares; ++spares) {
        addVm("spare");
    }
    using Domain = std::pair<std::string, std::string>;
    std::map<Domain, std::map<base::PoolId, std::uint32_t>> domains;
    for (const auto& vm : pools.vms) {
        const bool isRack = fleet.domain == document::FailureDomain::Rack;
        ++domains[{ vm.record.dataCentre.text(), isRack ? vm.record.rack.text() : "" }][vm.record.pool];
    }
    std::vector<std::uint32_t> alone(fleet.services, 0);
    for (std::size_t service = 0; service < fleet.services; ++service) {
        const base::PoolId& pool = pools.services[service].document.pool.name;
        std::ranges::for_each(
            domains, [&](auto& entry) { alone[service] = std::max(alone[service], entry.second[pool]); });
        const std::uint32_t cover = std::max(alone[service], 1U) + aloneErrorVms(pools.members(pool));
        for (alone[service] = cover; remaining(alone[service], domains.size()) < cover; ++alone[service]) { }
        trial.alone += alone[service];
    }
    trial.joint += spares;
    for (auto& [domain, counts] : domains) {
        std::uint32_t lacking = 0;
        bool isAloneEnough = true;
        for (std::size_t service = 0; service < fleet.services; ++service) {
            const base::PoolId& pool = pools.services[service].document.pool.name;
            const std::uint32_t left = pools.members(pool) - counts[pool];
            const std::uint32_t deficit = trueNeeds[service] - std::min(trueNeeds[service], left);
            lacking += deficit;
            isAloneEnough = isAloneEnough && deficit <= remaining(alone[service], domains.size());
        }
        ++trial.losses;
        trial.jointSurvived += lacking <= spares - counts[pools.fleet.sparePool] ? 1 : 0;
        trial.aloneSurvived += isAloneEnough ? 1 : 0;
    }
}

void compareBuffers(std::uint64_t seed)
{
    constexpr int trials = 100;
    constexpr BufferFleet fleets[] = {
        { "5 services of 8 to 12, racks, 3 data centres", 5, 8, 12, 3, document::FailureDomain::Rack },
        { "5 services of 8 to 12, 4 data centres as domains", 5, 8, 12, 4, document::FailureDomain::DataCentre },
        { "24 services of 40 to 160, racks, 9 data centres", 24, 40, 160, 9, document::FailureDomain::Rack },
        { "24 services of 40 to 160, 9 data centres as domains", 24, 40, 160, 9, document::FailureDomain::DataCentre },
    };
    fmt::print("buffer against a buffer for each service alone, {} placements, reports with 8% error\n", trials);
    for (const BufferFleet& fleet : fleets) {
        base::Random random(seed);
        BufferTrial trial;
        for (int run = 0; run < trials; ++run) {
            tryBuffer(fleet, random, trial);
        }
        const double cheaper = 1.0 - trial.joint / trial.alone;
        const double jointShare = static_cast<double>(trial.jointSurvived) / static_cast<double>(trial.losses);
        const double aloneShare = static_cast<double>(trial.aloneSurvived) / static_cast<double>(trial.losses);
        fmt::print("  {}\n", fleet.name);
        report("    joint buffer, VMs", trial.joint / trials, "");
        report("    buffers alone, VMs", trial.alone / trials, "");
        report("    joint buffer cheaper by", cheaper, "", ">= 0.3", cheaper >= 0.3);
        report("    losses of a domain survived, joint", jointShare, "", ">= alone", jointShare >= aloneShare);
        report("    losses of a domain survived, alone", aloneShare, "");
    }
}

/// A fleet of the design size: 24 pools and a spare pool, racks of four, nine data centres.
FakePools largePools(std::size_t vms)
{
    constexpr std::size_t pools = 24;
    FakePools fleet;
    fleet.now += std::chrono::hours(1);
    const std::size_t perPool = vms * 95 / 100 / pools;
    for (std::size_t pool = 0; pool < pools; ++pool) {
        FakeService& service = fleet.addService("pool" + std::to_string(pool),
            { .minimum = 1, .maximum = static_cast<std::uint32_t>(2 * perPool), .spare = 1 }, 95.0);
        service.busySlots = static_cast<double>(perPool) * slotsPerExecutor * 0.7;
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const std::size_t rack = vm / 4;
        fleet.addVm(vm < perPool * pools ? "pool" + std::to_string(vm % pools) : "spare",
            "dc" + std::to_string(rack % 9), "rack" + std::to_string(rack));
    }
    fleet.platformSeenAt = fleet.now;
    fleet.fillHistory();
    return fleet;
}

void measureDecisions()
{
    constexpr int runs = 50;
    fmt::print("decision time, 24 pools, 8 h of samples each 15 s, {} runs each\n", runs);
    for (const std::size_t vms : { 2'500, 6'250, 12'500, 25'000 }) {
        FakePools fleet = largePools(vms);
        const capacity::CapacityView steady = fleet.view();
        const auto incremental = timeRuns(runs, [&] { (void)capacity::planCapacity(steady, {}, fleet.now); });
        // Every pool needs VMs, a data centre is gone, and all moves are decided at once.
        for (auto& vm : fleet.vms) {
            if (vm.record.dataCentre == base::DataCentreId("dc4")) {
                fleet.lose(vm);
            }
        }
        std::ranges::for_each(fleet.services, [](FakeService& service) { service.busySlots *= 1.3; });
        fleet.fillHistory();
        const capacity::CapacityView changed = fleet.view();
        capacity::CapacityOptions unbounded;
        unbounded.maxRunningShare = 1.0;
        std::size_t moves = 0;
        const auto full
            = timeRuns(runs, [&] { moves = capacity::planCapacity(changed, unbounded, fleet.now).moves.size(); });
        const double round = percentile(incremental, 0.5);
        const double plan = percentile(full, 0.5);
        report(fmt::format("  {:>6} VMs, incremental round, median", vms), round, "ms", "< 50", round < 50);
        report(fmt::format("  {:>6} VMs, incremental round, p99", vms), percentile(incremental, 0.99), "ms");
        report(fmt::format("  {:>6} VMs, full plan with {} moves, median", vms, moves), plan, "ms", "< 2000",
            plan < 2'000);
        report(fmt::format("  {:>6} VMs, full plan with {} moves, p99", vms, moves), percentile(full, 0.99), "ms");
    }
}

} // namespace
} // namespace crocuscove::bench

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    fmt::print("bench_capacity, seed {}\n", seed);
    crocuscove::bench::compareMoves(seed);
    crocuscove::bench::compareBuffers(seed);
    crocuscove::bench::measureDecisions();
}
