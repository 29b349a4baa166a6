// Decision times, packing and shares of job placement against first fit.
// Usage: bench_placement [seed]

#include "report.h"

#include "crocuscove/base/random.h"
#include "crocuscove/placement/first_fit.h"
#include "crocuscove/placement/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace crocuscove::bench {
namespace {

using placement::JobView;
using placement::PlacementOptions;
using placement::PlacementView;
using placement::StartAction;
using placement::WorkerView;
using state::JobRecord;
using state::JobState;
using state::Resources;

using Decision = std::function<std::vector<StartAction>(const PlacementView&)>;

constexpr std::size_t designWorkers = 25'000;
constexpr std::uint64_t designAccelerators = 47'000;
constexpr int teams = 870;
constexpr double incrementalTargetMs = 50.0;
constexpr double fullTargetMs = 2'000.0;
const base::WallTime startTime { base::Milliseconds(1'000'000'000) };

std::uint32_t below(base::Random& random, std::uint32_t bound)
{
    return static_cast<std::uint32_t>(base::randomUnit(random) * bound);
}

struct Fleet {
    std::deque<JobRecord> records;
    PlacementView view;
    std::map<base::JobId, JobRecord*> byId;

    /// What the caller keeps from its own commits.
    void setHints()
    {
        for (JobView& job : view.jobs) {
            if (job.record->state == JobState::Running) {
                job.workerHint = std::stoul(job.record->worker.text().substr(1));
            }
        }
    }

    void addWorker(Resources capacity)
    {
        WorkerView worker;
        worker.worker = base::WorkerId("w" + std::to_string(view.workers.size()));
        worker.capacity = capacity;
        view.workers.push_back(worker);
    }

    JobRecord& addJob(Resources size, std::uint32_t team)
    {
        JobRecord& record = records.emplace_back();
        record.spec.job = base::JobId("j" + std::to_string(records.size()));
        record.spec.team = base::TeamId("t" + std::to_string(team));
        record.spec.declared = size;
        record.submittedAt = record.changedAt = startTime;
        view.jobs.push_back({ .record = &record, .size = size, .teamHint = team });
        byId[record.spec.job] = &record;
        return record;
    }

    void start(const std::vector<StartAction>& starts)
    {
        for (const StartAction& action : starts) {
            JobRecord& record = *byId.at(action.job);
            record.state = JobState::Running;
            record.worker = action.worker;
        }
    }
};

Resources someJob(base::Random& random)
{
    const std::uint32_t cores = 1 + below(random, 16);
    return { cores, 512ULL * (1 + below(random, 96)), below(random, 8) == 0 ? 1 + below(random, 4) : 0 };
}

/// One worker in four has accelerators, 47,000 among 25,000 workers. One job in 50 is urgent.
Fleet designFleet(std::size_t workers, std::size_t jobs, base::Random& random)
{
    Fleet fleet;
    std::uint64_t left = designAccelerators * workers / designWorkers;
    for (std::size_t worker = 0; worker < workers; ++worker) {
        const auto accelerators = worker % 4 == 0 ? std::min<std::uint64_t>(left, 8) : 0;
        left -= accelerators;
        fleet.addWorker({ 64, 262'144, static_cast<std::uint32_t>(accelerators) });
    }
    for (int team = 0; team < teams; ++team) {
        fleet.view.teams.push_back({ base::TeamId("t" + std::to_string(team)), 1 + below(random, 4),
            document::JobQuota { 1'000'000, 1'000'000'000, 1'000'000 } });
    }
    for (std::size_t job = 0; job < jobs; ++job) {
        fleet.addJob(someJob(random), below(random, teams)).spec.isUrgent = below(random, 50) == 0;
    }
    return fleet;
}

PlacementOptions unbounded()
{
    PlacementOptions options;
    options.maxStarts = 1'000'000;
    return options;
}

std::vector<StartAction> fairDecision(const PlacementView& view)
{
    return placement::planPlacement(view, unbounded(), startTime).starts;
}

std::vector<StartAction> firstFitDecision(const PlacementView& view)
{
    std::vector<const JobRecord*> queued;
    std::map<base::WorkerId, Resources> used;
    for (const JobView& job : view.jobs) {
        if (job.record->state == JobState::Queued) {
            queued.push_back(job.record);
        } else if (job.record->state == JobState::Running) {
            Resources& sum = used[job.record->worker];
            sum = { sum.cores + job.size.cores, sum.memoryMb + job.size.memoryMb,
                sum.accelerators + job.size.accelerators };
        }
    }
    std::vector<placement::FreeWorker> free;
    for (const WorkerView& worker : view.workers) {
        const Resources& taken = used[worker.worker];
        free.push_back({ worker.worker, worker.incarnation,
            { worker.capacity.cores - taken.cores, worker.capacity.memoryMb - taken.memoryMb,
                worker.capacity.accelerators - taken.accelerators } });
    }
    std::vector<StartAction> starts;
    for (const auto& assignment : placement::placeFirstFit(queued, std::move(free))) {
        starts.push_back({ assignment.job, assignment.worker, assignment.workerIncarnation, {} });
    }
    return starts;
}

/// Full plan: every job waits. Incremental round: the fleet is full, 1% of the jobs ended and as many arrived.
void reportTimes(std::size_t workers, std::uint32_t seed)
{
    base::Random random(seed);
    const std::string size = " at " + std::to_string(workers) + " workers";
    Fleet fleet = designFleet(workers, workers * 8, random);
    std::vector<StartAction> starts;
    const auto full = timeRuns(3, [&] { starts = fairDecision(fleet.view); });
    report("full plan, " + std::to_string(starts.size()) + " starts" + size, percentile(full, 0.99), "ms", "< 2000 ms",
        percentile(full, 0.99) < fullTargetMs);
    fleet.start(starts);
    std::vector<double> rounds;
    std::vector<double> baseline;
    std::size_t placed = 0;
    for (int round = 0; round < 12; ++round) {
        for (JobRecord& record : fleet.records) {
            if (record.state == JobState::Running && below(random, 100) == 0) {
                record.state = JobState::Done;
            }
        }
        std::erase_if(fleet.view.jobs, [](const JobView& job) { return job.record->state == JobState::Done; });
        for (std::size_t job = 0; job < workers / 25; ++job) {
            fleet.addJob(someJob(random), below(random, teams)).spec.isUrgent = below(random, 50) == 0;
        }
        fleet.setHints();
        std::vector<StartAction> round1;
        rounds.push_back(timeRuns(1, [&] {
            round1 = placement::planPlacement(fleet.view, PlacementOptions {}, startTime).starts;
        }).front());
        if (round == 0) {
            baseline.push_back(timeRuns(1, [&] { firstFitDecision(fleet.view); }).front());
        }
        placed += round1.size();
        fleet.start(round1);
    }
    const double worst = *std::ranges::max_element(rounds);
    report("incremental round, slowest of 12, " + std::to_string(placed) + " starts" + size, worst, "ms", "< 50 ms",
        worst < incrementalTargetMs);
    report("incremental round, median" + size, percentile(rounds, 0.5), "ms");
    report("incremental round, first fit over the same jobs" + size, percentile(baseline, 0.5), "ms");
}

/// Workers of one size needed for jobs that fill a known number of workers exactly, against that number.
double packingRatio(const Decision& decide, std::uint32_t seed)
{
    constexpr std::uint32_t exactWorkers = 200;
    base::Random random(seed);
    Fleet fleet;
    std::vector<Resources> sizes;
    for (std::uint32_t worker = 0; worker < exactWorkers; ++worker) {
        Resources left { 64, 262'144, worker % 4 == 0 ? 8U : 0U };
        while (left.cores > 0) {
            const std::uint32_t cores = std::min(left.cores, 1 + below(random, 32));
            const bool isLast = cores == left.cores;
            const Resources part { cores, isLast ? left.memoryMb : left.memoryMb * cores / left.cores,
                isLast ? left.accelerators : left.accelerators * cores / left.cores };
            sizes.push_back(part);
            left = { left.cores - part.cores, left.memoryMb - part.memoryMb, left.accelerators - part.accelerators };
        }
        fleet.addWorker({ 64, 262'144, worker % 4 == 0 ? 8U : 0U });
    }
    std::ranges::shuffle(sizes, random);
    for (const Resources& size : sizes) {
        fleet.addJob(size, below(random, 5));
    }
    fleet.start(decide(fleet.view));
    double cores = 0.0;
    for (const JobRecord& record : fleet.records) {
        cores += record.state == JobState::Running ? record.spec.declared.cores : 0.0;
    }
    return 64.0 * exactWorkers / cores;
}

/// Largest relative distance of a team's mean cores from its weighted share over one simulated minute. Team t0 submits
/// ten times as much as the others, and every team has work waiting throughout.
double shareError(const Decision& decide, std::uint32_t seed)
{
    constexpr std::uint32_t contenders = 5;
    constexpr int warmUpSeconds = 60;
    constexpr int minuteSeconds = 60;
    base::Random random(seed);
    Fleet fleet;
    for (int worker = 0; worker < 50; ++worker) {
        fleet.addWorker({ 64, 262'144, 0 });
    }
    double weights = 0.0;
    for (std::uint32_t team = 0; team < contenders; ++team) {
        fleet.view.teams.push_back({ base::TeamId("t" + std::to_string(team)), 1 + team % 2, {} });
        weights += 1 + team % 2;
    }
    std::map<base::JobId, int> endsAt;
    std::map<base::TeamId, double> coreSeconds;
    for (int second = 0; second < warmUpSeconds + minuteSeconds; ++second) {
        for (JobRecord& record : fleet.records) {
            if (record.state == JobState::Running && endsAt[record.spec.job] <= second) {
                record.state = JobState::Done;
            }
        }
        std::erase_if(fleet.view.jobs, [](const JobView& job) { return job.record->state == JobState::Done; });
        for (std::uint32_t team = 0; team < contenders; ++team) {
            for (int job = 0; job < (team == 0 ? 1'000 : 100) && second % 2 == 0; ++job) {
                fleet.addJob({ 1 + below(random, 8), 1'024, 0 }, team);
            }
        }
        const auto starts = decide(fleet.view);
        fleet.start(starts);
        for (const StartAction& action : starts) {
            endsAt[action.job] = second + 2 + static_cast<int>(below(random, 10));
        }
        for (const JobRecord& record : fleet.records) {
            if (record.state == JobState::Running && second >= warmUpSeconds) {
                coreSeconds[record.spec.team] += record.spec.declared.cores;
            }
        }
    }
    double total = 0.0;
    std::ranges::for_each(coreSeconds, [&](const auto& entry) { total += entry.second; });
    double worst = 0.0;
    for (const auto& team : fleet.view.teams) {
        worst = std::max(worst, std::abs(coreSeconds[team.team] / total * weights / team.share - 1.0));
    }
    return worst;
}

void run(std::uint32_t seed)
{
    fmt::print("seed {}\n", seed);
    for (const std::size_t workers : { 2'500U, 6'250U, 12'500U, 25'000U }) {
        reportTimes(workers, seed);
    }
    const double packing = packingRatio(fairDecision, seed);
    report("capacity over cores placed, jobs with an exact packing", packing, "x", "<= 1.05", packing <= 1.05);
    report("the same with first fit", packingRatio(firstFitDecision, seed), "x");
    const double error = 100.0 * shareError(fairDecision, seed);
    report("largest distance from the weighted share over a minute", error, "%", "<= 5 %", error <= 5.0);
    report("the same with first fit", 100.0 * shareError(firstFitDecision, seed), "%");
}

} // namespace
} // namespace crocuscove::bench

int main(int argc, char** argv)
{
    crocuscove::bench::run(argc > 1 ? static_cast<std::uint32_t>(std::stoul(argv[1])) : 1U);
}
