// Orders to one worker: starts, stops and paces.

#include "worker_session.h"

#include "platform/task_name.h"
#include "worker_timing.h"

#include <algorithm>
#include <utility>

namespace crocuscove::control {

namespace {

/// Starts sent to one worker at the same time, so that a burst reuses connections.
constexpr std::uint32_t maxStartsInFlight = 4;
constexpr std::uint32_t fullPercent = 100;
constexpr int statusOk = 200;

} // namespace

void WorkerSession::update()
{
    const auto& assigned = m_state.tasksOf(m_number);
    std::erase_if(m_orders, [&](const auto& order) {
        const jobs::Job* job = m_state.findJob(order.first.job);
        return !assigned.contains(order.first) || job->find(order.first)->run != order.second.run;
    });
    if (!m_silentSince) {
        m_hasSuspectedTask = std::ranges::any_of(assigned, [this](const auto& key) { return isSuspected(key); });
    }
    settleStarts();
    if (m_laterIncarnation || !m_clock.isKnown()) {
        armRetry();
        return;
    }
    m_hasPaceableTask = false;
    const auto plan = planOverCapacity();
    for (const jobs::TaskKey& key : assigned) {
        if (m_state.unsettledStarts().contains(key)) {
            continue;
        }
        const jobs::Job& job = *m_state.findJob(key.job);
        const auto [order, isNew] = m_orders.try_emplace(key, Order { .run = job.find(key)->run });
        m_hasPaceableTask = m_hasPaceableTask || job.spec.steps[key.step].usesLeftover;
        updateOrder(key, job, order->second, plan);
    }
    armRetry();
}

void WorkerSession::settleStarts()
{
    if (!hasRecordedUnsettledStart()) {
        return;
    }
    const auto now = base::monotonicNow();
    for (const jobs::TaskKey& key : m_state.tasksOf(m_number)) {
        if (!m_state.unsettledStarts().contains(key)) {
            continue;
        }
        Order& order
            = m_orders.try_emplace(key, Order { .run = m_state.findJob(key.job)->find(key)->run }).first->second;
        if (order.phase != OrderPhase::Settled && order.sendAgainAt <= now) {
            stopOrder(key, order, "start-unsettled");
        }
    }
}

jobs::ClaimPhase WorkerSession::claimPhase(const jobs::TaskKey& key, std::uint32_t run) const
{
    const auto order = m_orders.find(key);
    if (order != m_orders.end() && (order->second.wasToldToStop || order->second.phase == OrderPhase::Settled)) {
        return jobs::ClaimPhase::Stopping;
    }
    const bool isUnsent = order == m_orders.end() || order->second.phase == OrderPhase::Unsent;
    const bool isListed = std::ranges::any_of(
        m_running, [&](const platform::RunningTask& task) { return task.task == key && task.run == run; });
    return isUnsent && !isListed ? jobs::ClaimPhase::Unsent : jobs::ClaimPhase::Running;
}

std::optional<jobs::StartPlan> WorkerSession::planOverCapacity() const
{
    const jobs::Worker* current = worker();
    if (current == nullptr || current->reserved.fitsInto(current->report.capacity)) {
        return std::nullopt;
    }
    std::vector<jobs::CapacityClaim> claims;
    for (const jobs::TaskKey& key : m_state.tasksOf(m_number)) {
        const jobs::Job& job = *m_state.findJob(key.job);
        const jobs::StepSpec& step = job.spec.steps[key.step];
        claims.push_back({ key, step.reservation(), claimPhase(key, job.find(key)->run), step.isGang, job.acceptedMs });
    }
    return jobs::planStarts(current->report.capacity, std::move(claims));
}

void WorkerSession::updateOrder(
    const jobs::TaskKey& key, const jobs::Job& job, Order& order, const std::optional<jobs::StartPlan>& plan)
{
    const jobs::Worker* current = worker();
    const auto now = base::monotonicNow();
    if (order.sendAgainAt > now) {
        return;
    }
    if (order.wasToldToStop && (order.phase == OrderPhase::Unsent || order.phase == OrderPhase::Sending)) {
        // Whoever stops a task that has started repeats it, as long as it may still be interrupted.
        stopOrder(key, order, "stop-unconfirmed");
        return;
    }
    const bool isUnsent = order.phase == OrderPhase::Unsent && job.isActive();
    if (isUnsent && current->report.isDraining) {
        // An order that was sent before, also by an earlier leader, may be carried out late; a confirmed stop prevents
        // that, and the task starts elsewhere.
        stopOrder(key, order, "worker-draining");
        return;
    }
    if (isUnsent && (order.wasToldToStop || (plan && plan->stop.contains(key)))) {
        stopOrder(key, order, "capacity-shrunk");
        return;
    }
    if (isUnsent) {
        const bool fits = !plan || plan->send.contains(key);
        if (fits && !m_mayHaveLeft && !m_otherSeenAt && m_startsInFlight < maxStartsInFlight && m_health.unanswered == 0
            && m_hooks.mayOrder()) {
            start(key, order);
        }
        return;
    }
    const jobs::StepSpec& step = job.spec.steps[key.step];
    const bool mustMove = current->report.isDraining && (step.isLongRunning || step.hasCheckpoints);
    if (!job.isActive() && order.phase != OrderPhase::Settled) {
        stopOrder(key, order, "job-ended");
    } else if (mustMove && order.phase == OrderPhase::Started) {
        stopOrder(key, order, "worker-draining");
    }
}

void WorkerSession::start(const jobs::TaskKey& key, Order& order)
{
    const auto now = base::monotonicNow();
    const jobs::Job& job = *m_state.findJob(key.job);
    platform::StartOrder message;
    message.task = key;
    message.run = order.run;
    message.payload = job.spec.payload;
    message.checkpoint = job.find(key)->checkpoint;
    // Renewals extend the lease of what has started.
    message.leaseDeadlineMs = m_clock.grant(std::min(startValidity, m_options.taskLease), now).value_or(0);
    m_grantedAt = now;
    order.phase = OrderPhase::Sending;
    order.isInFlight = true;
    const bool wasSentBefore = std::exchange(order.wasSent, true);
    ++m_startsInFlight;
    call(
        platform::startRequest(target(), message), answerTimeout,
        [this, key, run = order.run, now, wasSentBefore](const http::ExchangeResult& result) {
            m_hooks.onOrder(http::exchangeFailureName(result.failure), now);
            --m_startsInFlight;
            onStartAnswer(key, run, result, now, wasSentBefore);
            update();
        },
        [this, key, run = order.run] { return isStartWanted(key, run); });
}

bool WorkerSession::isStartWanted(const jobs::TaskKey& key, std::uint32_t run) const
{
    const jobs::Worker* current = worker();
    const jobs::Job* job = m_state.findJob(key.job);
    const auto order = m_orders.find(key);
    return current != nullptr && !current->report.isDraining && !m_isRemoving && !m_laterIncarnation && !m_otherSeenAt
        && m_health.unanswered == 0 && job != nullptr && job->isActive() && order != m_orders.end()
        && order->second.run == run && !order->second.isStopping;
}

void WorkerSession::onStartAnswer(const jobs::TaskKey& key, std::uint32_t run, const http::ExchangeResult& result,
    base::MonotonicTime sentAt, bool wasSentBefore)
{
    const auto now = base::monotonicNow();
    const std::int64_t waitedMs = std::chrono::duration_cast<base::Milliseconds>(now - sentAt).count();
    if (!result.response && result.mayHaveStarted) {
        noteUnanswered(key, sentAt);
    }
    const auto found = m_orders.find(key);
    if (found == m_orders.end() || found->second.run != run) {
        return;
    }
    Order& order = found->second;
    order.isInFlight = false;
    const auto answer = result.response ? std::optional(platform::decodeOrderAnswer(*result.response)) : std::nullopt;
    const bool isOtherId = answer && answer->outcome == platform::OrderOutcome::OtherIncarnation;
    const bool isLater = answer && answer->incarnation && m_incarnation != 0 && *answer->incarnation > m_incarnation;
    if (isLater && !isOtherId) {
        order.mayBeOnOther = true;
        noteLaterIncarnation(*answer->incarnation);
        return;
    }
    const bool isOther = answer && noteStartAnswer(order, *answer, sentAt);
    if (order.phase != OrderPhase::Sending) {
        return;
    }
    order.wasSent = wasSentBefore || result.mayHaveStarted;
    if (result.failure == http::ExchangeFailure::Withdrawn) {
        order.phase = OrderPhase::Unsent;
        order.sendAgainAt = now + retryPause;
        return;
    }
    if (!answer) {
        // The same run may be sent again: a worker that has it already answers that it does.
        countUnanswered();
        order.phase = OrderPhase::Unsent;
        order.sendAgainAt = now + retryPause;
        m_log.warning("start_unanswered",
            { { "task", platform::taskName(key) }, { "run", run }, { "worker", m_id },
                { "failure", http::exchangeFailureName(result.failure) }, { "waited_ms", waitedMs } });
        return;
    }
    m_log.info("task_start",
        { { "task", platform::taskName(key) }, { "run", run }, { "worker", m_id }, { "incarnation", m_incarnation },
            { "outcome", platform::orderOutcomeName(answer->outcome) }, { "waited_ms", waitedMs },
            { "answered_by", answer->incarnation.value_or(0) }, { "clock_ms", answer->clockMs.value_or(-1) },
            { "clock_expected_ms", m_clock.earliestClockMs(sentAt).value_or(-1) } });
    order.wasSent = wasSentBefore || order.isUnproven;
    switch (answer->outcome) {
    case platform::OrderOutcome::Accepted:
        order.phase = OrderPhase::Started;
        order.since = now;
        order.wasAccepted = !isOther;
        break;
    case platform::OrderOutcome::StaleRun:
        order.phase = OrderPhase::Settled;
        order.since = now;
        break;
    case platform::OrderOutcome::DeadlinePassed:
        order.phase = OrderPhase::Unsent;
        order.sendAgainAt = now + retryPause;
        break;
    case platform::OrderOutcome::OtherIncarnation:
        remove("other-incarnation", RemovalCause::Restarted);
        break;
    case platform::OrderOutcome::Unhealthy:
        m_health.failureShare += failureWeight * (1.0 - m_health.failureShare);
        [[fallthrough]];
    default:
        // An order that was sent before and got no answer may still be carried out; a confirmed stop prevents that.
        stopOrder(key, order, "start-refused");
        break;
    }
}

// A clock without an incarnation isn't observed: a mixture of two clocks would end leases too early.
bool WorkerSession::noteStartAnswer(Order& order, const platform::OrderAnswer& answer, base::MonotonicTime sentAt)
{
    const auto now = base::monotonicNow();
    const bool isOther = answer.clockMs && !m_clock.mayHaveShown(*answer.clockMs, sentAt, now);
    if (isOther) {
        m_otherSeenAt = now;
    } else if (answer.outcome != platform::OrderOutcome::OtherIncarnation) {
        m_aliveAt = now;
    }
    const bool hasRun
        = answer.outcome == platform::OrderOutcome::Accepted || answer.outcome == platform::OrderOutcome::StaleRun;
    order.answeredAt = now;
    order.isUnproven = hasRun;
    order.isOther = hasRun && isOther;
    return isOther;
}

void WorkerSession::stopOrder(const jobs::TaskKey& key, Order& order, std::string_view reason)
{
    if (order.isStopping) {
        return;
    }
    order.wasToldToStop = true;
    if (!m_hooks.mayOrder()) {
        order.sendAgainAt = base::monotonicNow() + retryPause;
        return;
    }
    order.isStopping = true;
    m_log.info("task_stop",
        { { "task", platform::taskName(key) }, { "run", order.run }, { "worker", m_id }, { "reason", reason } });
    call(platform::stopRequest(target(), key, order.run), answerTimeout,
        [this, key, run = order.run, incarnation = intendedIncarnation()](const http::ExchangeResult& result) {
            const auto found = m_orders.find(key);
            if (found == m_orders.end() || found->second.run != run || incarnation != intendedIncarnation()) {
                return;
            }
            const auto now = base::monotonicNow();
            const bool isStopped = isConfirmed(key, run, result);
            if (isStopped) {
                found->second.phase = OrderPhase::Settled;
                found->second.since = now + base::Milliseconds(0);
            } else {
                // Many starts may be unsettled for long while a worker is silent; each repeat takes a connection.
                const bool isHeld = m_silentSince && m_state.unsettledStarts().contains(key);
                found->second.sendAgainAt = now + (isHeld ? renewWait : retryPause);
            }
            found->second.isStopping = isStopped;
            update();
        });
}

void WorkerSession::stop(const jobs::TaskKey& task, std::uint32_t run, std::string_view reason)
{
    const auto found = m_orders.find(task);
    if (found != m_orders.end() && found->second.run == run) {
        stopOrder(task, found->second, reason);
        return;
    }
    if (!m_hooks.mayOrder()) {
        return;
    }
    m_log.info("task_stop",
        { { "task", platform::taskName(task) }, { "run", run }, { "worker", m_id }, { "reason", reason } });
    call(platform::stopRequest(target(), task, run), answerTimeout,
        [this, task, run](const http::ExchangeResult& result) {
            // A task that still runs is listed again, and stopped again.
            static_cast<void>(isConfirmed(task, run, result));
        });
}

bool WorkerSession::isConfirmed(const jobs::TaskKey& task, std::uint32_t run, const http::ExchangeResult& result) const
{
    const auto answer = result.response ? platform::decodeOrderAnswer(*result.response) : platform::OrderAnswer {};
    const bool isOther = answer.incarnation && m_incarnation != 0 && *answer.incarnation != intendedIncarnation();
    if (result.response && result.response->status == statusOk && !isOther) {
        return true;
    }
    m_log.warning("stop_unconfirmed",
        { { "task", platform::taskName(task) }, { "run", run }, { "worker", m_id },
            { "failure", http::exchangeFailureName(result.failure) },
            { "status", result.response ? result.response->status : 0 } });
    return false;
}

bool WorkerSession::isAtWork(const jobs::TaskKey& task, std::uint32_t run) const
{
    const auto order = m_orders.find(task);
    // What a silent worker said last proves nothing.
    if (!isUsable(base::monotonicNow()) || order == m_orders.end() || order->second.run != run
        || order->second.phase != OrderPhase::Started || order->second.wasToldToStop) {
        return false;
    }
    return std::ranges::any_of(m_running, [&](const platform::RunningTask& running) {
        return running.task == task && running.run == run && running.percent >= fullPercent;
    });
}

bool WorkerSession::hasStarted(const jobs::TaskKey& task) const
{
    const auto order = m_orders.find(task);
    return order != m_orders.end()
        && (order->second.phase == OrderPhase::Started
            || (order->second.phase == OrderPhase::Settled && !order->second.wasToldToStop));
}

bool WorkerSession::mayPace(const jobs::TaskKey& task, base::MonotonicTime now) const
{
    const auto paced = m_pacedAt.find(task);
    return m_hooks.mayOrder() && (paced == m_pacedAt.end() || now - paced->second > renewWait + answerTimeout);
}

void WorkerSession::pace(const jobs::TaskKey& task, std::uint32_t run, std::uint32_t percent)
{
    m_log.info("task_pace",
        { { "task", platform::taskName(task) }, { "run", run }, { "worker", m_id }, { "percent", percent } });
    std::erase_if(m_pacedAt, [this](const auto& paced) { return !m_orders.contains(paced.first); });
    m_pacedAt[task] = base::monotonicNow();
    call(platform::paceRequest(target(), task, run, percent), answerTimeout, [](const http::ExchangeResult&) {
        // The next answer of the worker shows the pace in force.
    });
}

void WorkerSession::armRetry()
{
    const auto now = base::monotonicNow();
    const bool hasUnsent
        = std::ranges::any_of(m_orders, [&](const auto& order) { return order.second.sendAgainAt > now; });
    if (hasUnsent) {
        m_retryTimer = m_loop.runAt(now + retryPause, [this] { update(); });
    }
}

} // namespace crocuscove::control
