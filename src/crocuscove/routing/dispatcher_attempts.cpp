#include "crocuscove/routing/dispatcher_core.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

using document::WorkClass;

/// Minimum number of samples before the work class of a kind is derived from its run times.
constexpr std::uint64_t minClassSamples = 20;
/// The class changes only when the median is beyond the threshold by this factor, so that it does not oscillate.
constexpr int classHysteresis = 2;
constexpr std::uint32_t maxBackoffDoublings = 16;

ExecutionState executionStateOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
        return ExecutionState::HasRun;
    case AttemptEnd::Refused:
    case AttemptEnd::ConnectFailed:
        return ExecutionState::NotStarted;
    case AttemptEnd::Broken:
        return ExecutionState::MayHaveRun;
    }
    return ExecutionState::MayHaveRun;
}

ConcludeReason reasonOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return ConcludeReason::Answered;
    case AttemptEnd::ServerError:
        return ConcludeReason::ServerError;
    case AttemptEnd::Refused:
        return ConcludeReason::BackendRefused;
    case AttemptEnd::ConnectFailed:
        return ConcludeReason::ConnectFailed;
    case AttemptEnd::Broken:
        return ConcludeReason::ConnectionBroken;
    }
    return ConcludeReason::ConnectionBroken;
}

} // namespace

Outcome outcomeOf(ExecutionState executionState)
{
    switch (executionState) {
    case ExecutionState::NotStarted:
        return Outcome::NotExecuted;
    case ExecutionState::MayHaveRun:
        return Outcome::Unknown;
    case ExecutionState::HasRun:
        return Outcome::Executed;
    }
    return Outcome::Unknown;
}

void Dispatcher::Core::finish(base::MonotonicTime now, const AttemptResult& result)
{
    const auto attempt = m_attempts.find(result.attempt);
    if (attempt == m_attempts.end()) {
        return;
    }
    auto& request = m_requests.at(attempt->second);
    endAttempt(now, request, result.end);
    if (result.end != AttemptEnd::Answered && retry(now, request)) {
        return;
    }
    const bool hasAnswer = result.end == AttemptEnd::Answered || result.end == AttemptEnd::ServerError;
    conclude(request, outcomeOf(request.executionState), reasonOf(result.end), hasAnswer ? result.attempt : 0);
}

void Dispatcher::Core::endAttempt(base::MonotonicTime now, PendingRequest& request, AttemptEnd end)
{
    const auto runTime = std::chrono::duration_cast<base::Microseconds>(now - request.started);
    const auto expected = request.kind->runTimes.mean();
    const bool hasFailed = end != AttemptEnd::Answered;
    if (end != AttemptEnd::Refused) {
        const auto slowness = static_cast<double>(runTime.count()) / static_cast<double>(expected.count());
        BackendPool::recordResult(*request.backend, hasFailed, expected.count() == 0 ? 1.0 : slowness);
    }
    // Failed attempts are often shorter than complete ones and would bias the estimated run time.
    if (!hasFailed) {
        recordRunTime(request, runTime);
    }
    request.executionState = std::max(request.executionState, executionStateOf(end));
    releaseSlot(now, request);
}

void Dispatcher::Core::abortAttempt(base::MonotonicTime now, PendingRequest& request, AbortReason reason)
{
    m_actions.emplace_back(Abort { request.id, request.attempt, reason });
    if (reason == AbortReason::DeadlinePassed) {
        // The elapsed time is a lower bound on the run time.
        recordRunTime(request, std::chrono::duration_cast<base::Microseconds>(now - request.started));
        BackendPool::recordResult(*request.backend, true, 1.0);
    }
    request.executionState = std::max(request.executionState, ExecutionState::MayHaveRun);
    releaseSlot(now, request);
}

void Dispatcher::Core::releaseSlot(base::MonotonicTime now, PendingRequest& request)
{
    const auto runTime = std::chrono::duration<double>(now - request.started);
    queueOf(request.workClass).charge(flowOf(request), runTime.count() - request.cost);
    request.tried.push_back({ request.backend->id, request.backend->view.dataCentre, request.backend->view.rack });
    m_pool.release(*request.backend);
    request.backend = nullptr;
    m_attempts.erase(request.attempt);
    request.attempt = 0;
    --runningOf(request.workClass);
    if (request.isStraggler) {
        request.isStraggler = false;
        --m_stragglers;
    }
    setTimer(request, std::nullopt);
}

void Dispatcher::Core::recordRunTime(PendingRequest& request, base::Microseconds runTime) const
{
    auto& kind = *request.kind;
    kind.runTimes.add(runTime);
    if (kind.declared == WorkClass::Patient || kind.runTimes.samples() < minClassSamples) {
        return;
    }
    const auto median = kind.runTimes.median();
    if (kind.learned == WorkClass::Short && median > m_options.shortRunTime * classHysteresis) {
        kind.learned = WorkClass::Long;
    } else if (kind.learned == WorkClass::Long && median * classHysteresis < m_options.shortRunTime) {
        kind.learned = WorkClass::Short;
    }
}

bool Dispatcher::Core::retry(base::MonotonicTime now, PendingRequest& request)
{
    const bool isSafe = request.isIdempotent || request.executionState == ExecutionState::NotStarted;
    const bool isAllowed = isSafe && request.attempts < m_options.maxAttempts && m_retryTokens >= 1.0
        && queued() <= queueBound(request.workClass) && m_pool.hasUntried(request.tried);
    if (!isAllowed || now + request.kind->runTimes.median() >= request.deadline) {
        return false;
    }
    m_retryTokens -= 1.0;
    scheduleRetry(now, request);
    return true;
}

void Dispatcher::Core::scheduleRetry(base::MonotonicTime now, PendingRequest& request)
{
    const auto doublings = std::min(std::max(request.attempts, 1U) - 1, maxBackoffDoublings);
    const auto longest = std::min(m_options.retryBackoff * (1U << doublings), m_options.maxRetryBackoff);
    const double jitter = 0.5 + base::randomUnit(m_random) / 2;
    const auto delay = static_cast<double>(base::Microseconds(longest).count()) * jitter;
    request.stage = Stage::Backoff;
    setTimer(request, now + base::Microseconds(static_cast<std::int64_t>(delay) + 1));
}

void Dispatcher::Core::expire(base::MonotonicTime now, PendingRequest& request)
{
    if (request.stage != Stage::Running) {
        refuseOrConclude(request, RefuseReason::DeadlinePassed);
        return;
    }
    abortAttempt(now, request, AbortReason::DeadlinePassed);
    conclude(request, outcomeOf(request.executionState), ConcludeReason::DeadlinePassed, 0);
}

void Dispatcher::Core::refuseOrConclude(PendingRequest& request, RefuseReason reason)
{
    if (request.executionState == ExecutionState::NotStarted) {
        const auto after = retryAfter(*request.kind, request.account->client);
        m_actions.emplace_back(Refuse { request.id, reason, after });
        removeRequest(request);
        return;
    }
    const auto why
        = reason == RefuseReason::NoBackend ? ConcludeReason::ConnectionBroken : ConcludeReason::DeadlinePassed;
    conclude(request, outcomeOf(request.executionState), why, 0);
}

void Dispatcher::Core::conclude(PendingRequest& request, Outcome outcome, ConcludeReason reason, AttemptId attempt)
{
    m_actions.emplace_back(Conclude { request.id, outcome, reason, attempt });
    removeRequest(request);
}

void Dispatcher::Core::removeRequest(PendingRequest& request)
{
    if (request.stage == Stage::Queued) {
        queueOf(request.workClass).remove(flowOf(request), request.deadline, request.id, request.cost);
    }
    setTimer(request, std::nullopt);
    m_timers.erase({ request.deadline, TimerKind::Deadline, request.id });
    releaseAccount(*request.account);
    m_requests.erase(RequestId(request.id));
}

} // namespace crocuscove::routing
