#include "crocuscove/placement/worker_health.h"

#include "crocuscove/base/enum_names.h"

#include <algorithm>
#include <unordered_set>

namespace crocuscove::placement {

namespace {

constexpr auto workerHealthNames = base::enumNames<WorkerHealth>({
    { WorkerHealth::Healthy, "healthy" },
    { WorkerHealth::Quarantined, "quarantined" },
    { WorkerHealth::Probing, "probing" },
});

constexpr auto healthReasonNames = base::enumNames<HealthReason>({
    { HealthReason::FailsEverything, "fails-everything" },
    { HealthReason::ProbeDue, "probe-due" },
    { HealthReason::ProbeFailed, "probe-failed" },
    { HealthReason::Recovered, "recovered" },
    { HealthReason::JobsBlamed, "jobs-blamed" },
    { HealthReason::AboveLimit, "above-limit" },
});

template <typename Id> void appendUnique(std::vector<Id>& ids, const Id& id, std::size_t limit)
{
    if (ids.size() < limit && !std::ranges::count(ids, id)) {
        ids.push_back(id);
    }
}

/// Removes the failures of a faulty job from its workers, since they say nothing about the workers.
void discardFailures(HealthState& state, const base::JobId& job)
{
    for (const base::WorkerId& id : state.jobs[job].workers) {
        const auto worker = state.workers.find(id);
        if (worker != state.workers.end()) {
            std::erase(worker->second.jobs, job);
        }
    }
}

void removeUnknownWorkers(HealthState& state, const std::vector<WorkerView>& known)
{
    if (state.workers.empty()) {
        return;
    }
    std::unordered_set<base::WorkerId> ids;
    std::ranges::for_each(known, [&](const WorkerView& worker) { ids.insert(worker.worker); });
    std::erase_if(state.workers, [&](const auto& entry) { return !ids.contains(entry.first); });
}

void removeOldFailures(HealthState& state, const HealthOptions& options, base::WallTime now)
{
    const auto isOld = [&](base::WallTime failure) { return now - failure >= options.failureRetention; };
    std::erase_if(state.jobs, [&](const auto& entry) { return isOld(entry.second.lastFailure); });
    std::erase_if(state.workers, [&](const auto& entry) {
        return entry.second.health == WorkerHealth::Healthy && isOld(entry.second.lastFailure);
    });
}

/// Returns the next health change of a worker that is not healthy, or nothing.
std::optional<HealthChange> nextStep(
    const base::WorkerId& id, WorkerFailures& worker, const HealthOptions& options, base::WallTime now)
{
    using enum WorkerHealth;
    if (worker.health == Healthy) {
        return std::nullopt;
    }
    if (worker.jobs.empty()) {
        const bool hasSucceeded = worker.lastFailure == base::WallTime {};
        worker.health = Healthy;
        return HealthChange { id, Healthy, hasSucceeded ? HealthReason::Recovered : HealthReason::JobsBlamed };
    }
    if (worker.health == Probing && worker.lastFailure > worker.nextProbe) {
        worker.health = Quarantined;
        worker.probeDelay = std::min(worker.probeDelay * 2, options.maxProbeDelay);
        worker.nextProbe = now + worker.probeDelay;
        return HealthChange { id, Quarantined, HealthReason::ProbeFailed };
    }
    if (worker.health == Quarantined && worker.nextProbe <= now) {
        worker.health = Probing;
        worker.nextProbe = now;
        return HealthChange { id, Probing, HealthReason::ProbeDue };
    }
    return std::nullopt;
}

} // namespace

std::string_view workerHealthName(WorkerHealth health) { return workerHealthNames.name(health); }

std::string_view healthReasonName(HealthReason reason) { return healthReasonNames.name(reason); }

void recordOutcome(HealthState& state, const TaskOutcome& outcome, const HealthOptions& options, base::WallTime now)
{
    if (!outcome.hasFailed) {
        state.jobs.erase(outcome.job);
        if (const auto worker = state.workers.find(outcome.worker); worker != state.workers.end()) {
            worker->second.jobs.clear();
            worker->second.lastFailure = {};
        }
        return;
    }
    if (state.jobs.contains(outcome.job) || state.jobs.size() < options.maxJobs) {
        JobFailures& job = state.jobs[outcome.job];
        appendUnique(job.workers, outcome.worker, options.workersToBlameJob);
        job.lastFailure = now;
    }
    if (isBlamed(state, outcome.job, options)) {
        discardFailures(state, outcome.job);
    } else if (state.workers.contains(outcome.worker) || state.workers.size() < options.maxWorkers) {
        WorkerFailures& worker = state.workers[outcome.worker];
        appendUnique(worker.jobs, outcome.job, options.failuresToQuarantine);
        worker.lastFailure = now;
    }
}

std::vector<HealthChange> updateHealth(
    HealthState& state, const std::vector<WorkerView>& known, const HealthOptions& options, base::WallTime now)
{
    removeUnknownWorkers(state, known);
    removeOldFailures(state, options, now);
    std::vector<HealthChange> changes;
    for (auto& [id, worker] : state.workers) {
        if (const auto change = nextStep(id, worker, options, now)) {
            changes.push_back(*change);
        }
    }
    const auto limit = static_cast<std::size_t>(options.maxQuarantinedShare * static_cast<double>(known.size()));
    auto quarantined = static_cast<std::size_t>(std::ranges::count_if(
        state.workers, [](const auto& entry) { return entry.second.health != WorkerHealth::Healthy; }));
    for (auto& [id, worker] : state.workers) {
        if (worker.health != WorkerHealth::Healthy && quarantined > limit) {
            --quarantined;
            worker = {};
            changes.push_back({ id, WorkerHealth::Healthy, HealthReason::AboveLimit });
        }
    }
    for (auto& [id, worker] : state.workers) {
        const bool failsEverything = worker.jobs.size() >= options.failuresToQuarantine;
        if (worker.health == WorkerHealth::Healthy && failsEverything && quarantined < limit) {
            ++quarantined;
            worker.health = WorkerHealth::Quarantined;
            worker.probeDelay = options.firstProbeDelay;
            worker.nextProbe = now + worker.probeDelay;
            changes.push_back({ id, WorkerHealth::Quarantined, HealthReason::FailsEverything });
        }
    }
    return changes;
}

WorkerHealth healthOf(const HealthState& state, const base::WorkerId& worker)
{
    const auto entry = state.workers.find(worker);
    return entry == state.workers.end() ? WorkerHealth::Healthy : entry->second.health;
}

bool isBlamed(const HealthState& state, const base::JobId& job, const HealthOptions& options)
{
    const auto entry = state.jobs.find(job);
    return entry != state.jobs.end() && entry->second.workers.size() >= options.workersToBlameJob;
}

} // namespace crocuscove::placement
