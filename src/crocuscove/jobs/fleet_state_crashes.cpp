// Crashes of workers that count against the tasks that may have caused them.

#include "crocuscove/jobs/fleet_state.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace crocuscove::jobs {

void FleetState::forgetCrashes(JobId job)
{
    constexpr auto last = std::numeric_limits<std::uint32_t>::max();
    m_crashes.erase(m_crashes.lower_bound({ job, 0, 0, 0 }), m_crashes.upper_bound({ job, last, last, last }));
}

void FleetState::applyCommand(const RecordCrash& command)
{
    if (!command.isConfirmed) {
        recordUnconfirmedCrash(command);
        return;
    }
    const auto unconfirmed = m_unconfirmedCrashes.find(command.worker);
    if (unconfirmed != m_unconfirmedCrashes.end() && unconfirmed->second.incarnation == command.incarnation) {
        const bool isTimely = command.nowMs <= unconfirmed->second.recordedMs + maxConfirmationDelayMs;
        const auto runs = isTimely ? std::move(unconfirmed->second.runs) : std::vector<CrashedRun>();
        m_unconfirmedCrashes.erase(unconfirmed);
        std::ranges::for_each(runs, [&](const CrashedRun& run) { countCrash(run, command.nowMs); });
        return;
    }
    std::ranges::for_each(uncountedRuns(command), [&](const CrashedRun& run) { countCrash(run, command.nowMs); });
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
        const auto crashes = m_crashes.find(run.task);
        return task != nullptr && task->phase == TaskPhase::Assigned && task->worker == worker->number
            && task->run == run.run && (crashes == m_crashes.end() || crashes->second.lastRun < run.run);
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

void FleetState::countCrash(const CrashedRun& run, std::int64_t nowMs)
{
    const auto job = m_jobs.find(run.task.job);
    const Task* task = job == m_jobs.end() ? nullptr : job->second.find(run.task);
    if (task == nullptr || task->phase == TaskPhase::Done || !job->second.isActive()) {
        return;
    }
    if (!m_crashes.contains(run.task) && m_crashes.size() >= maxCrashRecords) {
        return;
    }
    TaskCrashes& crashes = m_crashes[run.task];
    ++crashes.crashes;
    crashes.attributed += run.isAttributed ? 1 : 0;
    crashes.lastRun = std::max(crashes.lastRun, run.run);
    // A long-running task is restarted however it ends (PROTOCOL).
    if (crashes.isDeadly() && !job->second.spec.steps[run.task.step].isLongRunning) {
        finishJob(job->second, JobPhase::Failed, nowMs);
    }
}

} // namespace crocuscove::jobs
