#include "crocuscove/state/state.h"

#include <algorithm>
#include <array>

namespace crocuscove::state {

namespace {

bool isFinished(JobState state)
{
    constexpr std::array finished { JobState::Done, JobState::Failed, JobState::Cancelled, JobState::Lost,
        JobState::Unplaceable };
    return std::ranges::find(finished, state) != finished.end();
}

CommandResult unknownJob() { return { ResultCode::NotFound, 0, "unknown job", {} }; }

CommandResult staleToken() { return { ResultCode::Refused, 0, "the job is not running under this token", {} }; }

} // namespace

CommandResult State::run(std::uint64_t, const SubmitJob& command)
{
    const auto known = m_jobs.find(command.spec.job);
    if (known != m_jobs.end()) {
        return { ResultCode::Repeated, known->second.token, "the job was submitted before", {} };
    }
    if (m_jobs.size() >= maxJobs) {
        return { ResultCode::LimitReached, 0, "too many jobs", {} };
    }
    JobRecord record;
    record.spec = command.spec;
    record.submittedAt = m_now;
    record.changedAt = m_now;
    m_jobs.emplace(command.spec.job, std::move(record));
    return {};
}

CommandResult State::run(std::uint64_t index, const StartJob& command)
{
    const auto entry = m_jobs.find(command.job);
    if (entry == m_jobs.end()) {
        return unknownJob();
    }
    JobRecord& job = entry->second;
    if (job.state != JobState::Queued) {
        return { ResultCode::Refused, 0, "the job is not queued", {} };
    }
    job.state = JobState::Running;
    job.worker = command.worker;
    job.workerIncarnation = command.workerIncarnation;
    job.token = index;
    job.starts += 1;
    job.reason.clear();
    job.changedAt = m_now;
    return { ResultCode::Ok, index, "", {} };
}

CommandResult State::run(std::uint64_t, const FinishJob& command)
{
    const auto entry = m_jobs.find(command.job);
    if (entry == m_jobs.end()) {
        return unknownJob();
    }
    JobRecord& job = entry->second;
    if (job.state != JobState::Running || job.token != command.token) {
        return staleToken();
    }
    job.hasCheckpoint = job.hasCheckpoint || command.hasCheckpoint;
    job.changedAt = m_now;
    if (command.outcome == JobState::Queued) {
        requeueOrLose(job, command.reason);
    } else {
        job.state = command.outcome;
        job.reason = command.reason;
    }
    return {};
}

CommandResult State::run(std::uint64_t, const CancelJob& command)
{
    const auto entry = m_jobs.find(command.job);
    if (entry == m_jobs.end()) {
        return unknownJob();
    }
    JobRecord& job = entry->second;
    if (isFinished(job.state)) {
        return { ResultCode::Refused, 0, "the job is already " + std::string(jobStateName(job.state)), {} };
    }
    job.isCancelRequested = true;
    job.changedAt = m_now;
    if (job.state == JobState::Queued) {
        job.state = JobState::Cancelled;
    }
    return {};
}

CommandResult State::run(std::uint64_t, const ExpireLease& command)
{
    const auto entry = m_jobs.find(command.job);
    if (entry == m_jobs.end()) {
        return unknownJob();
    }
    JobRecord& job = entry->second;
    if (job.state != JobState::Running || job.token != command.token) {
        return staleToken();
    }
    job.changedAt = m_now;
    requeueOrLose(job, "the lease of worker " + job.worker.text() + " expired");
    return {};
}

CommandResult State::run(std::uint64_t, const RejectJob& command)
{
    const auto entry = m_jobs.find(command.job);
    if (entry == m_jobs.end()) {
        return unknownJob();
    }
    JobRecord& job = entry->second;
    if (job.state != JobState::Queued) {
        return { ResultCode::Refused, 0, "the job is not queued", {} };
    }
    job.state = JobState::Unplaceable;
    job.reason = command.reason;
    job.changedAt = m_now;
    return {};
}

void State::requeueOrLose(JobRecord& job, std::string reason)
{
    job.reason = std::move(reason);
    if (!job.spec.isIdempotent) {
        // A second start could repeat work that the worker did after its last report.
        job.state = JobState::Lost;
    } else {
        job.state = job.isCancelRequested ? JobState::Cancelled : JobState::Queued;
    }
}

void State::dropFinishedJobs()
{
    std::erase_if(m_jobs, [&](const auto& entry) {
        return isFinished(entry.second.state) && entry.second.changedAt + finishedJobRetention < m_now;
    });
}

} // namespace crocuscove::state
