#include "crocuscove/routing/dispatcher_core.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

using document::WorkClass;

constexpr std::uint64_t minSamples = 10;
/// Charge in seconds for a request whose kind has too few samples.
constexpr double unknownCost = 0.001;

} // namespace

std::size_t Dispatcher::Core::longSlots() const
{
    const auto slots = static_cast<double>(m_pool.slots());
    const auto reserved = std::ceil(slots * m_options.shortReserve);
    return static_cast<std::size_t>(std::max(slots - reserved, 1.0));
}

void Dispatcher::Core::recordShortArrival(base::MonotonicTime now, const KindStatistics& kind)
{
    if (kind.learned != WorkClass::Short) {
        return;
    }
    m_shortDemand = shortDemand(now)
        + static_cast<double>(kind.runTimes.mean().count())
            / static_cast<double>(base::Microseconds(m_options.shortDemandPeriod).count());
    m_shortDemandSince = now;
}

double Dispatcher::Core::shortDemand(base::MonotonicTime now) const
{
    const auto passed = std::chrono::duration<double>(now - m_shortDemandSince);
    return m_shortDemand * std::exp(-passed / std::chrono::duration<double>(m_options.shortDemandPeriod));
}

std::size_t Dispatcher::Core::currentLongSlots(base::MonotonicTime now) const
{
    const auto slots = static_cast<double>(m_pool.slots());
    const double reserve = std::min(shortDemand(now) * m_options.shortHeadroom, slots * m_options.maxShortReserve);
    const auto left = static_cast<std::size_t>(std::max(std::floor(slots - reserve), 1.0));
    return std::min(left, longSlots());
}

void Dispatcher::Core::enqueue(base::MonotonicTime now, PendingRequest& request)
{
    const auto& runTimes = request.kind->runTimes;
    request.stage = Stage::Queued;
    request.cost = runTimes.samples() < minSamples ? unknownCost : static_cast<double>(runTimes.mean().count()) * 1e-6;
    queueOf(request.workClass).push(now, flowOf(request), request.deadline, request.id, request.cost);
}

bool Dispatcher::Core::isStarved(
    base::MonotonicTime now, WorkClass workClass, double floor, base::Milliseconds age) const
{
    const auto& queue = queueOf(workClass);
    const auto owed = std::max(std::floor(floor * m_pool.slots()), 1.0);
    return !queue.empty() && now >= queue.waitingSince() + age && static_cast<double>(runningOf(workClass)) < owed;
}

std::optional<WorkClass> Dispatcher::Core::nextClass(base::MonotonicTime now) const
{
    const auto longRunning = runningOf(WorkClass::Long) + runningOf(WorkClass::Patient);
    const bool hasLongSlot = longRunning < longSlots();
    if (hasLongSlot && isStarved(now, WorkClass::Patient, m_options.minPatientShare, m_options.maxPatientWait)) {
        return WorkClass::Patient;
    }
    if (hasLongSlot && isStarved(now, WorkClass::Long, m_options.minLongShare, m_options.maxLongWait)) {
        return WorkClass::Long;
    }
    if (!queueOf(WorkClass::Short).empty()) {
        return WorkClass::Short;
    }
    const bool hasStragglerSlot
        = static_cast<double>(m_stragglers) < std::max(m_options.stragglerShare * m_pool.slots(), 1.0);
    if (longRunning >= currentLongSlots(now) || !hasStragglerSlot) {
        return std::nullopt;
    }
    if (!queueOf(WorkClass::Long).empty()) {
        return WorkClass::Long;
    }
    return queueOf(WorkClass::Patient).empty() ? std::nullopt : std::optional(WorkClass::Patient);
}

bool Dispatcher::Core::willMissDeadline(base::MonotonicTime now, const PendingRequest& request) const
{
    const auto& runTimes = request.kind->runTimes;
    if (runTimes.samples() < minSamples) {
        return now > request.latestStart;
    }
    return now + std::min(runTimes.p90(), runTimes.median() * 2) > request.deadline;
}

void Dispatcher::Core::dispatchAll(base::MonotonicTime now)
{
    while (m_pool.hasFree() || m_pool.chooseProbe(now) != nullptr) {
        const auto workClass = nextClass(now);
        if (!workClass) {
            return;
        }
        auto& request = m_requests.at(*queueOf(*workClass).front());
        if (willMissDeadline(now, request)) {
            refuseOrConclude(request, RefuseReason::DeadlineUnreachable);
        } else if (!dispatchOne(now, request)) {
            return;
        }
    }
}

bool Dispatcher::Core::dispatchOne(base::MonotonicTime now, PendingRequest& request)
{
    if (!request.tried.empty()) {
        auto* other = m_pool.chooseUntried(request.tried, m_document.pool.failureDomain);
        if (other != nullptr) {
            start(now, request, *other, DispatchReason::Retry);
            return true;
        }
        if (!m_pool.hasUntried(request.tried)) {
            refuseOrConclude(request, RefuseReason::NoBackend);
            return true;
        }
        queueOf(request.workClass).remove(flowOf(request), request.deadline, request.id, request.cost);
        scheduleRetry(now, request);
        return true;
    }
    // A failed probe may lead to a retry, so a probe requires an available retry token.
    const bool mayProbe = request.isIdempotent && m_retryTokens >= 1.0;
    if (auto* probe = mayProbe ? m_pool.chooseProbe(now) : nullptr) {
        start(now, request, *probe, DispatchReason::Probe);
        return true;
    }
    auto* backend = m_pool.choose(m_random);
    if (backend == nullptr) {
        return false;
    }
    start(now, request, *backend, DispatchReason::FirstAttempt);
    return true;
}

void Dispatcher::Core::start(
    base::MonotonicTime now, PendingRequest& request, PooledBackend& backend, DispatchReason reason)
{
    queueOf(request.workClass).dispatch(now, flowOf(request), request.deadline, request.id, request.cost);
    request.stage = Stage::Running;
    request.attempt = ++m_lastAttempt;
    request.backend = &backend;
    request.started = now;
    ++request.attempts;
    if (request.attempts == 1) {
        m_retryTokens = std::min(m_retryTokens + m_options.retryBudget, m_options.retryBurst);
    }
    ++runningOf(request.workClass);
    m_attempts.emplace(request.attempt, request.id);
    m_pool.acquire(backend);
    const auto& runTimes = request.kind->runTimes;
    if (runTimes.samples() >= minSamples) {
        const auto threshold = static_cast<double>(runTimes.median().count()) * m_options.stragglerFactor;
        setTimer(request, now + base::Microseconds(static_cast<std::int64_t>(threshold)));
    }
    m_actions.emplace_back(
        Dispatch { request.id, request.attempt, backend.id, backend.view.endpoint, request.deadline, reason });
}

void Dispatcher::Core::setTimer(PendingRequest& request, std::optional<base::MonotonicTime> moment)
{
    if (request.timer) {
        m_timers.erase({ *request.timer, TimerKind::Request, request.id });
    }
    request.timer = moment;
    if (moment) {
        m_timers.insert({ *moment, TimerKind::Request, request.id });
    }
}

void Dispatcher::Core::applyTimers(base::MonotonicTime now)
{
    while (!m_timers.empty() && std::get<0>(*m_timers.begin()) <= now) {
        const auto [moment, kind, id] = *m_timers.begin();
        auto& request = m_requests.at(id);
        if (kind == TimerKind::Deadline) {
            expire(now, request);
        } else {
            applyTimer(now, request);
        }
    }
}

void Dispatcher::Core::applyTimer(base::MonotonicTime now, PendingRequest& request)
{
    setTimer(request, std::nullopt);
    if (request.stage == Stage::Backoff) {
        enqueue(now, request);
    } else if (request.stage == Stage::Running) {
        request.isStraggler = true;
        ++m_stragglers;
    }
}

std::optional<base::MonotonicTime> Dispatcher::Core::nextDeadline() const
{
    auto next = m_pool.nextDeadline();
    if (!m_timers.empty()) {
        next = std::min(next.value_or(base::MonotonicTime::max()), std::get<0>(*m_timers.begin()));
    }
    return next;
}

Actions Dispatcher::Core::advance(base::MonotonicTime now)
{
    m_pool.advance(now);
    applyTimers(now);
    dispatchAll(now);
    return std::exchange(m_actions, {});
}

} // namespace crocuscove::routing
