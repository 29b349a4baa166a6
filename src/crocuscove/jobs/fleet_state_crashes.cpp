// Crashes of workers that count against the tasks that may have caused them.

#include "crocuscove/jobs/fleet_state.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <ranges>
#include <set>
#include <utility>

namespace crocuscove::jobs {

namespace {

/// Returns the entries of a map by task that belong to a job.
template <typename Map> auto entriesOf(Map& map, JobId job)
{
    constexpr auto last = std::numeric_limits<std::uint32_t>::max();
    return std::ranges::subrange(map.lower_bound({ job, 0, 0, 0 }), map.upper_bound({ job, last, last, last }));
}

} // namespace

void FleetState::forgetCrashes(const TaskKey& key)
{
    m_crashes.erase(key);
    m_countedCrashes.erase(key);
}

void FleetState::forgetCrashes(JobId job)
{
    const auto sums = entriesOf(m_crashes, job);
    m_crashes.erase(sums.begin(), sums.end());
    const auto counted = entriesOf(m_countedCrashes, job);
    m_countedCrashes.erase(counted.begin(), counted.end());
}

void FleetState::applyCommand(const RecordCrash& command)
{
    if (command.isConfirmed) {
        applyCommand(RecordConfirmedCrash { command });
    } else {
        recordUnconfirmedCrash(command);
    }
}

void FleetState::applyCommand(const RecordConfirmedCrash& command)
{
    for (const CrashedRun& run : takeConfirmedRuns(command.crash)) {
        const bool isAttributed = run.isAttributed && !command.isOfRack;
        countCrash(run.task, { run.run, command.restartedMs, isAttributed, command.isOfRack }, command.crash.nowMs);
    }
}

std::vector<CrashedRun> FleetState::takeConfirmedRuns(const RecordCrash& command)
{
    const auto unconfirmed = m_unconfirmedCrashes.find(command.worker);
    if (unconfirmed == m_unconfirmedCrashes.end() || unconfirmed->second.incarnation != command.incarnation) {
        return uncountedRuns(command);
    }
    const bool isTimely = command.nowMs <= unconfirmed->second.recordedMs + maxConfirmationDelayMs;
    auto runs = isTimely ? std::move(unconfirmed->second.runs) : std::vector<CrashedRun>();
    m_unconfirmedCrashes.erase(unconfirmed);
    return runs;
}

std::vector<CrashedRun> FleetState::uncountedRuns(const RecordCrash& command) const
{
    std::vector<CrashedRun> result;
    const Worker* worker = findWorker(command.worker);
    if (worker == nullptr || worker->report.incarnation != command.incarnation || worker->report.isDraining) {
        return result;
    }
    std::ranges::copy_if(command.runs, std::back_inserter(result), [&](const CrashedRun& run) {
        const Job* job = findJob(run.task.job);
        const Task* task = job == nullptr ? nullptr : job->find(run.task);
        const auto counted = m_countedCrashes.find(run.task);
        const bool isCounted = counted != m_countedCrashes.end()
            && std::ranges::any_of(counted->second, [&](const CountedCrash& crash) { return crash.run >= run.run; });
        return task != nullptr && task->phase == TaskPhase::Assigned && task->worker == worker->number
            && task->run == run.run && !isCounted;
    });
    return result;
}

void FleetState::recordUnconfirmedCrash(const RecordCrash& command)
{
    const std::vector<CrashedRun> runs = uncountedRuns(command);
    if (runs.empty()) {
        return;
    }
    m_unconfirmedCrashes[command.worker]
        = { command.incarnation, findWorker(command.worker)->report.address, runs, command.nowMs };
    if (m_unconfirmedCrashes.size() > maxUnconfirmedCrashes) {
        m_unconfirmedCrashes.erase(std::ranges::min_element(
            m_unconfirmedCrashes, {}, [](const auto& entry) { return entry.second.recordedMs; }));
    }
}

void FleetState::countCrash(const TaskKey& key, const CountedCrash& crash, std::int64_t nowMs)
{
    const auto job = m_jobs.find(key.job);
    const Task* task = job == m_jobs.end() ? nullptr : job->second.find(key);
    if (task == nullptr || task->phase == TaskPhase::Done || !job->second.isActive()) {
        return;
    }
    if (!m_countedCrashes.contains(key) && m_countedCrashes.size() >= maxCrashRecords) {
        return;
    }
    std::vector<CountedCrash>& counted = m_countedCrashes[key];
    counted = withoutBursts(job->second, counted);
    counted.push_back(crash);
    if (counted.size() > maxCrashesPerTask) {
        counted.erase(counted.begin());
    }
    updateCrashes(key);
    const auto crashes = m_crashes.find(key);
    const bool isDeadly = crashes != m_crashes.end() && crashes->second.isDeadly();
    // A long-running task is restarted however it ends (PROTOCOL).
    if (isDeadly && !job->second.spec.steps[key.step].isLongRunning) {
        finishJob(job->second, JobPhase::Failed, nowMs);
    }
}

// The others of a burst report only after the first, so that a crash is looked at when the next one is counted.
std::vector<CountedCrash> FleetState::withoutBursts(const Job& job, const std::vector<CountedCrash>& crashes) const
{
    std::vector<CountedCrash> result;
    const Queue* queue = findQueue(job.queue);
    std::ranges::copy_if(crashes, std::back_inserter(result), [&](const CountedCrash& crash) {
        return queue == nullptr
            || !m_restarts.isInBurst(crash.restartedMs, queue->service, countOtherCrashes(job.id, crash.restartedMs));
    });
    return result;
}

std::size_t FleetState::countCrashesInBursts(const TaskKey& key) const
{
    const Job* job = findJob(key.job);
    const auto counted = m_countedCrashes.find(key);
    return job == nullptr || counted == m_countedCrashes.end()
        ? 0
        : counted->second.size() - withoutBursts(*job, counted->second).size();
}

std::size_t FleetState::countOtherCrashes(JobId job, std::int64_t restartedMs) const
{
    std::set<std::int64_t> others;
    for (const auto& [task, crashes] : entriesOf(m_countedCrashes, job)) {
        for (const CountedCrash& crash : crashes) {
            if (std::abs(crash.restartedMs - restartedMs) <= restartSpread.count()) {
                others.insert(crash.restartedMs);
            }
        }
    }
    others.erase(restartedMs);
    return others.size();
}

void FleetState::updateCrashes(const TaskKey& key)
{
    const TaskCrashes crashes = summarizeCrashes(m_countedCrashes.at(key));
    if (crashes.crashes > 0) {
        m_crashes[key] = crashes;
    } else {
        m_crashes.erase(key);
    }
}

} // namespace crocuscove::jobs
