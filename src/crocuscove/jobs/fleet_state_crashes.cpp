// Crashes of workers that count against the tasks that may have caused them.

#include "crocuscove/jobs/fleet_state.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace crocuscove::jobs {

namespace {

/// Tasks of a job whose crashes are compared with one crash.
constexpr std::size_t maxComparedRecords = 256;

/// Returns the range of the entries of a map by task that belong to a job.
template <typename Map> auto entriesOf(Map& map, JobId job)
{
    constexpr auto last = std::numeric_limits<std::uint32_t>::max();
    return std::pair(map.lower_bound({ job, 0, 0, 0 }), map.upper_bound({ job, last, last, last }));
}

/// Forgets the crashes that were parts of bursts, up to `maxExcusedCrashes` of a task, and returns their runs. A crash
/// that is looked at no longer sees those that were forgotten before it.
template <typename Predicate> std::vector<std::uint32_t> excuse(CrashRecord& record, const Predicate& isPartOfBurst)
{
    std::vector<std::uint32_t> runs;
    for (auto crash = record.counted.begin(); crash != record.counted.end();) {
        if (record.excused >= maxExcusedCrashes || !isPartOfBurst(*crash)) {
            ++crash;
            continue;
        }
        ++record.excused;
        runs.push_back(crash->run);
        crash = record.counted.erase(crash);
    }
    return runs;
}

} // namespace

void FleetState::forgetCrashes(const TaskKey& key)
{
    m_crashes.erase(key);
    m_crashRecords.erase(key);
    m_lostRuns.erase(key);
}

void FleetState::forgetCrashes(JobId job)
{
    const auto [firstSum, endOfSums] = entriesOf(m_crashes, job);
    m_crashes.erase(firstSum, endOfSums);
    const auto [firstRecord, endOfRecords] = entriesOf(m_crashRecords, job);
    m_crashRecords.erase(firstRecord, endOfRecords);
    const auto [firstLost, endOfLost] = entriesOf(m_lostRuns, job);
    m_lostRuns.erase(firstLost, endOfLost);
}

void FleetState::applyCommand(const RecordCrash& command)
{
    if (command.isConfirmed) {
        applyCommand(RecordConfirmedCrash { command, {}, 0, false });
    } else {
        recordUnconfirmedCrash(command, false);
    }
}

void FleetState::applyCommand(const RecordSuspectedCrash& command)
{
    recordUnconfirmedCrash(command.crash, command.isOfRack);
}

void FleetState::applyCommand(const RecordConfirmedCrash& command)
{
    for (const auto& [key, crash] : countCrashes(command)) {
        const auto crashes = m_crashes.find(key);
        const bool isDeadly = crashes != m_crashes.end() && crashes->second.isDeadly();
        if (!isDeadly || !mayBeGivenUp(key)) {
            continue;
        }
        Job& job = m_jobs.at(key.job);
        const bool isExcused = excusedCrashes(key) < maxExcusedCrashes && isInBurst(job, crash);
        if (!isExcused) {
            finishJob(job, JobPhase::Failed, command.crash.nowMs);
        }
    }
}

void FleetState::applyCommand(const RecordReportedCrash& command) { countCrashes(command.crash); }

void FleetState::applyCommand(const GiveUpDeadlyTask& command)
{
    if (!mayBeGivenUp(command.task) || !isDeadly(command.task)) {
        return;
    }
    Job& job = m_jobs.at(command.task.job);
    excuseCrashes(job, command.task);
    if (isDeadly(command.task)) {
        finishJob(job, JobPhase::Failed, command.nowMs);
    }
}

std::vector<std::pair<TaskKey, CountedCrash>> FleetState::countCrashes(const RecordConfirmedCrash& command)
{
    const std::string& worker = command.crash.worker;
    m_restarts.record(command.service, command.restartedMs, worker);
    const bool isOfRack = command.isOfRack || m_silentWithRack.contains(worker);
    std::vector<std::pair<TaskKey, CountedCrash>> result;
    for (const CrashedRun& run : takeConfirmedRuns(command.crash)) {
        const bool isAttributed = run.isAttributed && !isOfRack;
        result.push_back({ run.task, { run.run, worker, command.restartedMs, isAttributed, isOfRack } });
        countCrash(run.task, result.back().second, command.crash.nowMs);
    }
    return result;
}

bool FleetState::isOpen(const TaskKey& key) const
{
    const Job* job = findJob(key.job);
    const Task* task = job == nullptr ? nullptr : job->find(key);
    return task != nullptr && task->phase != TaskPhase::Done && job->isActive();
}

// A long-running task is restarted however it ends (PROTOCOL).
bool FleetState::mayBeGivenUp(const TaskKey& key) const
{
    return isOpen(key) && !findJob(key.job)->spec.steps[key.step].isLongRunning;
}

std::vector<CrashedRun> FleetState::takeConfirmedRuns(const RecordCrash& command)
{
    const auto unconfirmed = m_unconfirmedCrashes.find(command.worker);
    if (unconfirmed == m_unconfirmedCrashes.end() || unconfirmed->second.incarnation != command.incarnation) {
        return uncountedRuns(command);
    }
    const bool isTimely = command.nowMs <= unconfirmed->second.recordedMs + maxConfirmationDelayMs;
    auto runs = isTimely ? unconfirmed->second.runs : std::vector<CrashedRun>();
    forgetUnconfirmedCrash(command.worker);
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
        const auto record = m_crashRecords.find(run.task);
        const bool isCounted = record != m_crashRecords.end()
            && std::ranges::any_of(
                record->second.counted, [&](const CountedCrash& crash) { return crash.run >= run.run; });
        return task != nullptr && task->phase == TaskPhase::Assigned && task->worker == worker->number
            && task->run == run.run && !isCounted;
    });
    return result;
}

void FleetState::recordUnconfirmedCrash(const RecordCrash& command, bool isOfRack)
{
    const std::vector<CrashedRun> runs = uncountedRuns(command);
    if (runs.empty()) {
        return;
    }
    forgetUnconfirmedCrash(command.worker);
    m_unconfirmedCrashes[command.worker]
        = { command.incarnation, findWorker(command.worker)->report.address, runs, command.nowMs };
    if (isOfRack) {
        m_silentWithRack.insert(command.worker);
    }
    for (const CrashedRun& run : runs) {
        ++m_unconfirmedByTask[run.task];
        noteLostRun(run.task, run.run, command.nowMs);
    }
    if (m_unconfirmedCrashes.size() > maxUnconfirmedCrashes) {
        const std::string earliest = std::ranges::min_element(m_unconfirmedCrashes, {}, [](const auto& entry) {
            return entry.second.recordedMs;
        })->first;
        forgetUnconfirmedCrash(earliest);
    }
}

void FleetState::settleUnconfirmedCrashes(const WorkerReport& report)
{
    std::vector<std::string> settled;
    for (const auto& [worker, crash] : m_unconfirmedCrashes) {
        const bool isOfReport = worker == report.id || crash.address == report.address;
        if (isOfReport && crash.incarnation <= report.incarnation) {
            settled.push_back(worker);
            // The same incarnation was only silent; the crash before a later one was counted before this report.
            if (worker == report.id && crash.incarnation == report.incarnation) {
                std::ranges::for_each(crash.runs, [this](const CrashedRun& run) { takeBackLostRun(run.task); });
            }
        }
    }
    std::ranges::for_each(settled, [this](const std::string& worker) { forgetUnconfirmedCrash(worker); });
}

void FleetState::forgetUnconfirmedCrash(const std::string& worker)
{
    const auto found = m_unconfirmedCrashes.find(worker);
    if (found == m_unconfirmedCrashes.end()) {
        return;
    }
    for (const CrashedRun& run : found->second.runs) {
        const auto count = m_unconfirmedByTask.find(run.task);
        if (count != m_unconfirmedByTask.end() && --count->second == 0) {
            m_unconfirmedByTask.erase(count);
        }
    }
    m_silentWithRack.erase(worker);
    m_unconfirmedCrashes.erase(found);
}

void FleetState::noteLostRun(const TaskKey& key, std::uint32_t run, std::int64_t nowMs)
{
    if (!m_lostRuns.contains(key) && m_lostRuns.size() >= maxCrashRecords) {
        return;
    }
    LostRuns& lost = m_lostRuns[key];
    if (run <= lost.lastRun) {
        return;
    }
    ++lost.runs;
    lost.lastRun = run;
    lost.lastMs = nowMs;
    if (lost.runs >= lostRunsBeforePause && lost.pausedAfter == 0) {
        lost.pausedAfter = run;
    }
}

void FleetState::takeBackLostRun(const TaskKey& key)
{
    const auto lost = m_lostRuns.find(key);
    if (lost == m_lostRuns.end()) {
        return;
    }
    if (--lost->second.runs == 0) {
        m_lostRuns.erase(lost);
    } else if (lost->second.runs < lostRunsBeforePause) {
        lost->second.pausedAfter = 0;
    }
}

std::int64_t FleetState::nextStartMs(const TaskKey& key) const
{
    const auto lost = m_lostRuns.find(key);
    const std::int64_t afterLossMs
        = lost == m_lostRuns.end() ? 0 : jobs::nextStartMs(key, lost->second, m_unconfirmedByTask.contains(key));
    return std::max(afterLossMs, m_unansweredStarts.delayedUntilMs(key));
}

bool FleetState::isDeadly(const TaskKey& key) const
{
    const auto crashes = m_crashes.find(key);
    if (crashes == m_crashes.end()) {
        return false;
    }
    const auto lost = m_lostRuns.find(key);
    const auto record = m_crashRecords.find(key);
    if (crashes->second.isDeadly() || lost == m_lostRuns.end() || record == m_crashRecords.end()) {
        return crashes->second.isDeadly();
    }
    const auto ordinary
        = std::ranges::count_if(record->second.counted, [](const CountedCrash& crash) { return !crash.isOfRack; });
    return lost->second.runs >= maxLostRuns && ordinary >= minOrdinaryCrashes;
}

std::vector<TaskKey> FleetState::tasksToGiveUp(std::int64_t nowMs) const
{
    std::vector<TaskKey> result;
    for (const auto& [key, crashes] : m_crashes) {
        const bool isJobFound = !result.empty() && result.back().job == key.job;
        if (isJobFound || !isDeadly(key) || !mayBeGivenUp(key)) {
            continue;
        }
        const auto lost = m_lostRuns.find(key);
        const std::int64_t dueMs = lost == m_lostRuns.end() ? 0 : lost->second.countedMs + giveUpDelay.count();
        // A step back of the time of day must not prolong the wait.
        if (dueMs <= nowMs || dueMs > nowMs + giveUpDelay.count()) {
            result.push_back(key);
        }
    }
    return result;
}

void FleetState::countCrash(const TaskKey& key, const CountedCrash& crash, std::int64_t nowMs)
{
    if (!isOpen(key) || (!m_crashRecords.contains(key) && m_crashRecords.size() >= maxCrashRecords)) {
        return;
    }
    noteLostRun(key, crash.run, nowMs);
    if (const auto lost = m_lostRuns.find(key); lost != m_lostRuns.end()) {
        lost->second.countedMs = nowMs;
    }
    CrashRecord& record = m_crashRecords[key];
    // The others of a burst report only after the first, so that crashes are looked at when a later one is counted.
    const Job& job = m_jobs.at(key.job);
    excuse(record, [&](const CountedCrash& known) { return isInBurst(job, known); });
    record.counted.push_back(crash);
    if (record.counted.size() > maxCrashesPerTask) {
        record.counted.erase(record.counted.begin());
    }
    updateCrashes(key);
}

void FleetState::excuseCrashes(const Job& job, const TaskKey& key)
{
    CrashRecord& record = m_crashRecords[key];
    const auto lost = m_lostRuns.find(key);
    const std::uint32_t pausedAfter = lost == m_lostRuns.end() ? 0 : lost->second.pausedAfter;
    const auto beganApart = [pausedAfter](std::uint32_t run) { return pausedAfter > 0 && run > pausedAfter; };
    const auto excusedRuns = excuse(record, [&](const CountedCrash& crash) {
        return isInBurst(job, crash) || (beganApart(crash.run) && isInBurst(job, crash, smallBurstSize));
    });
    for (const std::uint32_t run : excusedRuns) {
        if (beganApart(run)) {
            takeBackLostRun(key);
        }
    }
    updateCrashes(key);
}

bool FleetState::isInBurst(const Job& job, const CountedCrash& crash, const BurstSize& least) const
{
    const Queue* queue = findQueue(job.queue);
    if (queue == nullptr) {
        return false;
    }
    const std::size_t workers = countWorkers(queue->service);
    return m_restarts.isInBurst(queue->service, crash.restartedMs, workers, 0, least)
        && m_restarts.isInBurst(
            queue->service, crash.restartedMs, workers, countAttributedBeside(job.id, crash), least);
}

std::size_t FleetState::countAttributedBeside(JobId job, const CountedCrash& crash) const
{
    std::set<std::string_view> workers;
    auto [record, end] = entriesOf(m_crashRecords, job);
    for (std::size_t compared = 0; record != end && compared < maxComparedRecords; ++compared, ++record) {
        for (const CountedCrash& other : record->second.counted) {
            const bool isTogether
                = other.restartedMs > 0 && std::abs(other.restartedMs - crash.restartedMs) <= restartSpread.count();
            if (other.isAttributed && isTogether && other.worker != crash.worker) {
                workers.insert(other.worker);
            }
        }
    }
    return workers.size();
}

std::size_t FleetState::countWorkers(const std::string& service) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_workers, [&](const auto& worker) { return worker.second.report.service == service; }));
}

std::uint32_t FleetState::excusedCrashes(const TaskKey& key) const
{
    const auto record = m_crashRecords.find(key);
    return record == m_crashRecords.end() ? 0 : record->second.excused;
}

void FleetState::updateCrashes(const TaskKey& key)
{
    const TaskCrashes crashes = summarizeCrashes(m_crashRecords.at(key).counted);
    if (crashes.crashes > 0) {
        m_crashes[key] = crashes;
    } else {
        m_crashes.erase(key);
    }
}

} // namespace crocuscove::jobs
