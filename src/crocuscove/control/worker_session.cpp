#include "worker_session.h"

#include "crocuscove/base/enum_names.h"
#include "platform/json_fields.h"
#include "platform/task_name.h"
#include "run_names.h"
#include "worker_timing.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace crocuscove::control {

namespace {

/// A worker that answered nothing for this long gets no new tasks: a renewal's wait and its timeout.
constexpr base::Milliseconds usableWindow { 1'800 };
/// A worker lists at most this many ends in one answer (PROTOCOL).
constexpr std::size_t maxListedEnds = 500;
/// A long-running task waits at most this long after its start can no longer arrive: it has to be at work again 7 s
/// after trouble has ended (RULES, LOST), and orders that are carried out late count as trouble until then.
constexpr base::Milliseconds longRunningHold { 5'000 };
/// Margin for orders of an earlier leader that were still on their way.
constexpr base::Milliseconds earlierLeaderMargin { 1'000 };

/// A worker refuses orders with a lower fencing token than it has seen. Terms come first; within a term each
/// incarnation of a worker has a higher number, so that it refuses what is still on its way to an earlier one.
std::uint64_t fencingTokenOf(std::uint64_t term, jobs::WorkerNumber worker)
{
    constexpr unsigned workerBits = 32;
    return term << workerBits | (worker & ((std::uint64_t { 1 } << workerBits) - 1));
}

/// Orders for an earlier incarnation count for nothing after this age of a later one: the delay of an order, the
/// longest lease and a step of the time of day.
constexpr base::Milliseconds predecessorWindow { 60'000 };

constexpr auto addressHolderNames = base::enumNames<AddressHolder>({
    { AddressHolder::KnownIncarnation, "known-incarnation" },
    { AddressHolder::OtherIncarnation, "other-incarnation" },
    { AddressHolder::OtherWorker, "other-worker" },
    { AddressHolder::Unknown, "unknown" },
});

AddressHolder holderOf(const http::ExchangeResult& result, std::int64_t incarnation)
{
    if (!result.response) {
        return AddressHolder::Unknown;
    }
    const auto answer = platform::decodeOrderAnswer(*result.response);
    if (answer.outcome == platform::OrderOutcome::OtherIncarnation) {
        return AddressHolder::OtherWorker;
    }
    if (answer.outcome != platform::OrderOutcome::Accepted || !answer.incarnation) {
        return AddressHolder::Unknown;
    }
    return *answer.incarnation == incarnation ? AddressHolder::KnownIncarnation : AddressHolder::OtherIncarnation;
}

/// Returns how long a lease may last by the local clock.
base::Milliseconds longestLease(base::Milliseconds lease)
{
    return std::chrono::ceil<base::Milliseconds>(lease / jobs::LeaseClock::minClockRate);
}

} // namespace

std::string_view addressHolderName(AddressHolder holder) { return addressHolderNames.name(holder); }

WorkerSession::WorkerSession(http::EventLoop& loop, http::HttpClient& client, const ControlOptions& options,
    const base::Log& log, const jobs::FleetState& state, const jobs::Worker& worker, std::uint64_t term,
    SessionHooks hooks)
    : m_loop(loop)
    , m_client(client)
    , m_options(options)
    , m_log(log)
    , m_state(state)
    , m_hooks(std::move(hooks))
    , m_number(worker.number)
    , m_id(worker.report.id)
    , m_incarnation(worker.report.incarnation)
    , m_service(worker.report.service)
    , m_rack(jobs::rackOf(worker.report))
    , m_knownSince(base::monotonicNow())
    , m_mayHoldLongestLease(state.hasPredecessor(worker.number)
          && (state.hasEarlierStart(worker)
              || base::wallNow().time_since_epoch()
                  < base::Milliseconds(worker.report.incarnation) + predecessorWindow))
    , m_endpoint(base::parseEndpoint(worker.report.address))
    , m_fencingToken(fencingTokenOf(term, worker.number))
    , m_lateStarts(options.maxOrderDelay)
{
    const auto lease = m_mayHoldLongestLease ? options.maxTaskLease : options.taskLease;
    m_clock.assumeGranted(base::monotonicNow() + longestLease(lease) + earlierLeaderMargin);
    for (const jobs::TaskKey& key : state.tasksOf(m_number)) {
        m_inheritedRuns[key] = state.findJob(key.job)->find(key)->run;
    }
    m_lateStarts.load(state.unansweredStarts().of(m_id));
    settleStarts();
    renew();
}

WorkerSession::~WorkerSession() { *m_isAlive = false; }

void WorkerSession::call(const http::HttpRequest& request, base::Milliseconds timeout,
    std::function<void(const http::ExchangeResult&)> callback, std::function<bool()> isWanted)
{
    m_client.call(
        m_endpoint, request, base::monotonicNow() + timeout,
        [alive = m_isAlive, callback = std::move(callback)](const http::ExchangeResult& result) {
            if (*alive) {
                callback(result);
            }
        },
        [this, alive = m_isAlive, isWanted = std::move(isWanted)] {
            return *alive && m_hooks.mayOrder() && (!isWanted || isWanted());
        });
}

bool WorkerSession::isUsable(base::MonotonicTime now) const
{
    return !m_isRemoving && !m_laterIncarnation && !m_otherSeenAt && !m_mayHaveLeft && m_clock.isKnown() && m_answeredAt
        && now - *m_answeredAt < usableWindow;
}

void WorkerSession::scheduleRenew(base::Milliseconds pause)
{
    m_renewTimer = m_loop.runAt(base::monotonicNow() + pause, [this] { renew(); });
}

void WorkerSession::renew()
{
    const jobs::Worker* current = worker();
    if (m_isRenewing || m_isRecording || m_isRemoving || current == nullptr) {
        return;
    }
    if (!m_hooks.mayOrder()) {
        scheduleRenew(retryPause);
        return;
    }
    const auto now = base::monotonicNow();
    platform::RenewOrder order;
    // A silent worker may still get what is sent, so that each order with a deadline would put off the moment by which
    // its leases have certainly ended. A later incarnation counts its ends anew and would forget those that this one's
    // number covers.
    if (m_answeredAt && m_health.unanswered == 0 && !m_laterIncarnation && !m_otherSeenAt) {
        order.lastRecordedEnd = current->lastRecordedEnd;
        order.leaseDeadlineMs = m_clock.grant(m_options.taskLease, now);
        m_grantedAt = now;
    }
    order.waitMs = order.leaseDeadlineMs && !hasRecordedUnsettledStart() ? renewWait.count() : 0;
    m_isRenewing = true;
    call(platform::renewRequest(target(), order), base::Milliseconds(order.waitMs) + answerTimeout,
        [this, now](const http::ExchangeResult& result) { onRenewed(result, now); });
}

void WorkerSession::onRenewed(const http::ExchangeResult& result, base::MonotonicTime sentAt)
{
    m_isRenewing = false;
    if (result.failure == http::ExchangeFailure::Withdrawn) {
        // Nothing was sent, so that this is no silence.
        scheduleRenew(retryPause);
        return;
    }
    if (!result.response) {
        countUnanswered();
        onSilence();
        return;
    }
    if (result.response->status != 200) {
        const auto answer = platform::decodeOrderAnswer(*result.response);
        if (answer.outcome == platform::OrderOutcome::OtherIncarnation) {
            remove("other-incarnation", RemovalCause::Restarted);
            return;
        }
        m_log.warning("renew_refused",
            { { "worker", m_id }, { "outcome", platform::orderOutcomeName(answer.outcome) },
                { "status", result.response->status } });
        onSilence();
        return;
    }
    try {
        onStatus(platform::decodeWorkerStatus(result.response->body), sentAt);
    } catch (const platform::MalformedMessage& error) {
        m_log.warning("worker_status_malformed", { { "worker", m_id }, { "cause", error.what() } });
        onSilence();
    }
}

void WorkerSession::askHolder(std::function<void(AddressHolder)> callback) const
{
    m_client.call(
        m_endpoint, platform::renewRequest(target(), {}), base::monotonicNow() + holderTimeout,
        [incarnation = m_incarnation, callback = std::move(callback)](
            const http::ExchangeResult& result) { callback(holderOf(result, incarnation)); },
        [this, alive = m_isAlive] { return *alive && m_hooks.mayOrder(); });
}

void WorkerSession::checkLeave()
{
    const auto now = base::monotonicNow();
    const bool isRepeated = now < m_leaveWindowEnd;
    m_leaveWindowEnd = now + leaveWindow;
    if (!isRepeated) {
        m_mayHaveLeft = true;
        m_leaveProbeAt = now + leaveProbeDelay;
        m_leaveTimer = m_loop.runAt(m_leaveProbeAt, [this] { probeLeave(); });
    }
}

void WorkerSession::probeLeave()
{
    const jobs::Worker* current = worker();
    if (m_isProbing || m_isRemoving || m_laterIncarnation || current == nullptr) {
        return;
    }
    m_isProbing = true;
    // Without a deadline and a number of ends, so that the question extends no lease and loses nothing.
    call(platform::renewRequest(target(), {}), leaveProbeTimeout,
        [this](const http::ExchangeResult& result) { onLeaveProbed(result); });
}

// A message that a worker leaves names no incarnation. That the worker drains, or that no process listens at its
// address, shows that the message is its own; otherwise a silent worker may only be cut off, and its lease decides.
void WorkerSession::onLeaveProbed(const http::ExchangeResult& result)
{
    m_isProbing = false;
    const jobs::Worker* current = worker();
    if (current == nullptr || m_isRemoving || m_laterIncarnation) {
        return;
    }
    if (result.failure == http::ExchangeFailure::Withdrawn) {
        return; // Nothing was sent, so that this is no silence.
    }
    if (!result.response) {
        if (result.wasRefused || current->report.isDraining) {
            remove("left", RemovalCause::Left);
        }
        return;
    }
    const auto answer = platform::decodeOrderAnswer(*result.response);
    const bool isIdentified = answer.incarnation || m_incarnation == 0;
    const bool isOther = answer.incarnation && m_incarnation != 0 && *answer.incarnation != m_incarnation;
    const bool isOtherId = answer.outcome == platform::OrderOutcome::OtherIncarnation;
    if (isOther && !isOtherId) {
        noteListedIncarnation(*answer.incarnation);
        return;
    }
    if (isOtherId) {
        remove("other-incarnation", RemovalCause::Restarted);
        return;
    }
    if (!isIdentified) {
        m_log.warning("worker_status_unidentified", { { "worker", m_id }, { "incarnation", m_incarnation } });
        return;
    }
    m_log.info("leave_refuted", { { "worker", m_id }, { "incarnation", m_incarnation } });
    m_mayHaveLeft = false;
    update();
}

void WorkerSession::countUnanswered()
{
    ++m_health.unanswered;
    if (!m_silentSince) {
        m_silentSince = base::monotonicNow();
    }
}

// The worker's tasks may run until their lease has certainly ended; only then may they start elsewhere.
void WorkerSession::onSilence()
{
    const auto now = base::monotonicNow();
    if (now > m_clock.latestLeaseExpiry()) {
        std::vector<jobs::UnsettledStart> held = findHeldStarts(now);
        if (held.empty()) {
            remove("lease-ended", RemovalCause::Silent);
            return;
        }
        freeAllBut(std::move(held));
    }
    if (now < m_leaveWindowEnd) {
        probeLeave();
    }
    scheduleRenew(retryPause);
}

std::vector<jobs::UnsettledStart> WorkerSession::findHeldStarts(base::MonotonicTime now) const
{
    std::vector<jobs::UnsettledStart> result;
    for (const jobs::TaskKey& key : m_state.tasksOf(m_number)) {
        const std::uint32_t run = m_state.findJob(key.job)->find(key)->run;
        if (otherLeaseExpiry(key, run) >= now) {
            result.push_back({ key, run });
        }
    }
    return result;
}

base::MonotonicTime WorkerSession::otherLeaseExpiry(const jobs::TaskKey& task, std::uint32_t run) const
{
    base::MonotonicTime result {};
    if (m_otherSeenAt && isUnsettled(task, run)) {
        result = std::max(*m_otherSeenAt, m_grantedAt + answerTimeout) + longestLease(m_options.maxTaskLease);
    }
    const auto late = m_lateStarts.find(task);
    if (m_state.findJob(task.job)->spec.steps[task.step].isLongRunning) {
        return late && late->wasWorkerSeen ? std::max(result, late->until + longRunningHold) : result;
    }
    if (!late && !isInFlight(task, run)) {
        return result;
    }
    // A renewal may be as late as a start, and extends the lease of what that one has begun.
    const auto extendedUntil
        = std::max(late ? late->until : base::MonotonicTime {}, m_grantedAt + m_options.maxOrderDelay);
    return std::max(result, extendedUntil + longestLease(m_options.maxTaskLease));
}

void WorkerSession::freeAllBut(std::vector<jobs::UnsettledStart> held)
{
    if (m_isRecordingUnsettled || held.size() == m_state.tasksOf(m_number).size()) {
        return;
    }
    if (auto record = m_isCrashRecorded ? std::nullopt : crash(false)) {
        m_isCrashRecorded = true;
        m_hooks.onCrash(std::move(*record), 0);
    }
    proposeUnsettled(std::move(held));
}

void WorkerSession::remove(std::string_view reason, RemovalCause cause)
{
    m_isRemoving = true;
    m_hasLeft = cause == RemovalCause::Left;
    auto record = m_laterIncarnation || m_isCrashRecorded ? std::nullopt : crash(cause == RemovalCause::Restarted);
    if (record && cause != RemovalCause::Left) {
        m_hooks.onCrash(std::move(*record), 0);
    }
    m_log.warning("worker_removed",
        { { "worker", m_id }, { "incarnation", m_incarnation }, { "later", m_laterIncarnation.value_or(0) },
            { "reason", reason }, { "tasks", m_state.tasksOf(m_number).size() } });
    m_hooks.propose(removal(cause), [this, alive = m_isAlive](bool isApplied) {
        if (*alive && !isApplied) {
            m_isRemoving = false;
            m_hasLeft = false;
            scheduleRenew(retryPause);
        }
    });
}

jobs::Command WorkerSession::removal(RemovalCause cause) const
{
    if (cause == RemovalCause::Left) {
        return jobs::RemoveLeftWorker { m_number };
    }
    // Only a list makes this session adopt an incarnation whose start lies earlier.
    if (m_laterIncarnation && *m_laterIncarnation < m_incarnation) {
        return jobs::RemoveReplacedWorker { m_number, *m_laterIncarnation };
    }
    return jobs::RemoveWorker { m_number };
}

void WorkerSession::onStatus(const platform::WorkerStatus& status, base::MonotonicTime sentAt)
{
    if (m_incarnation != 0 && !status.incarnation) {
        m_log.warning("worker_status_unidentified", { { "worker", m_id }, { "incarnation", m_incarnation } });
        onSilence();
        return;
    }
    if (status.incarnation && m_incarnation != 0 && *status.incarnation != m_incarnation) {
        onOtherIncarnation(status, sentAt);
        return;
    }
    if (m_laterIncarnation) {
        scheduleRenew(retryPause);
        return;
    }
    const auto now = base::monotonicNow();
    const bool isFirst = !m_clock.isKnown();
    m_clock.observe(status.clockMs, sentAt, now);
    if (m_otherSeenAt && *m_otherSeenAt < sentAt) {
        m_otherSeenAt.reset();
    }
    std::ranges::for_each(m_lateStarts.noteWorkerSeen(sentAt), [this](const auto& task) { recordUnanswered(task); });
    m_isCrashRecorded = false;
    m_answeredAt = now;
    m_aliveAt = now;
    m_health.unanswered = 0;
    m_silentSince.reset();
    m_mayHaveLeft = m_mayHaveLeft && sentAt < m_leaveProbeAt;
    m_running = status.running;
    reconcile(status, sentAt);
    recordEnds(status);
    update();
    if (status.skippedRows > 0) {
        m_log.warning("worker_rows_skipped", { { "worker", m_id }, { "count", status.skippedRows } });
    }
    if (!m_isRecording && status.skippedRows == 0 && !hasRecordedUnsettledStart()) {
        renew();
    } else if (!m_isRecording) {
        // An end that is skipped is never confirmed, so that the worker answers at once.
        scheduleRenew(retryPause);
    }
    if (isFirst && m_mayHoldLongestLease) {
        // Until it has taken this leader's first order, orders for an earlier incarnation may have extended its lease.
        m_clock.assumeGranted(now + longestLease(m_options.maxTaskLease));
    }
    if (isFirst) {
        m_log.info("worker_reached", { { "worker", m_id }, { "running", status.running.size() } });
    }
}

void WorkerSession::onOtherIncarnation(const platform::WorkerStatus& status, base::MonotonicTime sentAt)
{
    noteListedIncarnation(*status.incarnation);
    if (areStartsSettled(status, sentAt)) {
        remove("restarted", RemovalCause::Restarted);
        return;
    }
    update();
    scheduleRenew(retryPause);
}

// A list is of the incarnation that is there now. Its start may lie earlier by a time of day that was set back.
void WorkerSession::noteListedIncarnation(std::int64_t incarnation)
{
    if (m_laterIncarnation != incarnation) {
        adoptIncarnation(incarnation);
    }
    recordUnsettledStarts();
}

void WorkerSession::noteLaterIncarnation(std::int64_t incarnation)
{
    if (!m_laterIncarnation || *m_laterIncarnation < incarnation) {
        adoptIncarnation(incarnation);
    }
    recordUnsettledStarts();
}

void WorkerSession::adoptIncarnation(std::int64_t incarnation)
{
    if (!m_laterIncarnation) {
        if (auto record = crash(incarnation > m_incarnation)) {
            m_hooks.onCrash(std::move(*record), incarnation);
        }
    }
    m_laterIncarnation = incarnation;
    m_otherSeenAt = base::monotonicNow();
    // What an earlier incarnation has confirmed doesn't hold for this one.
    for (const jobs::UnsettledStart& start : findUnsettledStarts()) {
        if (isInFlight(start.task, start.run)) {
            // The session of the later incarnation takes over before the answer comes.
            noteUnanswered(start.task, *m_otherSeenAt);
        }
        m_orders[start.task] = Order { .run = start.run, .mayBeOnOther = true };
    }
}

bool WorkerSession::isUnsettled(const jobs::TaskKey& task, std::uint32_t run) const
{
    const auto inherited = m_inheritedRuns.find(task);
    if (m_state.unsettledStarts().contains(task) || (inherited != m_inheritedRuns.end() && inherited->second == run)
        || m_lateStarts.find(task)) {
        return true;
    }
    const auto order = m_orders.find(task);
    return order != m_orders.end() && order->second.run == run
        && (order->second.mayBeOnOther || order->second.isUnproven || order->second.isInFlight);
}

bool WorkerSession::isInFlight(const jobs::TaskKey& task, std::uint32_t run) const
{
    const auto order = m_orders.find(task);
    return order != m_orders.end() && order->second.run == run && order->second.isInFlight;
}

std::vector<jobs::UnsettledStart> WorkerSession::findUnsettledStarts() const
{
    std::vector<jobs::UnsettledStart> result;
    for (const jobs::TaskKey& key : m_state.tasksOf(m_number)) {
        const std::uint32_t run = m_state.findJob(key.job)->find(key)->run;
        if (isUnsettled(key, run)) {
            result.push_back({ key, run });
        }
    }
    return result;
}

bool WorkerSession::hasRecordedUnsettledStart() const
{
    const auto& unsettled = m_state.unsettledStarts();
    return !unsettled.empty()
        && std::ranges::any_of(m_state.tasksOf(m_number), [&](const auto& key) { return unsettled.contains(key); });
}

void WorkerSession::noteUnanswered(const jobs::TaskKey& task, base::MonotonicTime sentAt)
{
    m_lateStarts.add(task, sentAt);
    recordUnanswered(task);
}

void WorkerSession::recordUnanswered(const jobs::TaskKey& task)
{
    const auto late = m_lateStarts.find(task);
    const std::int64_t nowMs = base::wallNow().time_since_epoch().count();
    const auto left = std::chrono::ceil<base::Milliseconds>(late->until - base::monotonicNow());
    // A run that such a start begins lasts for the longest lease.
    m_hooks.propose(jobs::RecordUnansweredStart { m_id, task, { nowMs + left.count(), late->wasWorkerSeen },
                        nowMs - longestLease(m_options.maxTaskLease).count() },
        nullptr);
}

void WorkerSession::recordUnsettledStarts()
{
    std::vector<jobs::UnsettledStart> starts = findUnsettledStarts();
    const bool isRecorded = std::ranges::all_of(
        starts, [this](const auto& start) { return m_state.unsettledStarts().contains(start.task); });
    if (!m_isRecordingUnsettled && !isRecorded) {
        proposeUnsettled(std::move(starts));
    }
}

void WorkerSession::proposeUnsettled(std::vector<jobs::UnsettledStart> starts)
{
    const auto lastingTasks = std::ranges::count_if(starts, [this](const jobs::UnsettledStart& start) {
        return m_state.findJob(start.task.job)->spec.steps[start.task.step].isLongRunning;
    });
    m_log.warning("starts_unsettled",
        { { "worker", m_id }, { "incarnation", m_incarnation }, { "later", m_laterIncarnation.value_or(0) },
            { "starts", starts.size() }, { "long_running", lastingTasks }, { "tasks", runNames(starts) } });
    m_isRecordingUnsettled = true;
    m_hooks.propose(
        jobs::RecordUnsettledStarts { m_number, std::move(starts) }, [this, alive = m_isAlive](bool /*isApplied*/) {
            if (*alive) {
                m_isRecordingUnsettled = false;
                update();
            }
        });
}

bool WorkerSession::areStartsSettled(const platform::WorkerStatus& status, base::MonotonicTime sentAt) const
{
    if (m_isRecordingUnsettled || *status.incarnation != *m_laterIncarnation) {
        return false;
    }
    const auto isListed = [&](const jobs::UnsettledStart& start) {
        return std::ranges::any_of(status.running, [&](const auto& task) {
            return task.task == start.task && task.run == start.run;
        }) || std::ranges::any_of(status.ended, [&](const jobs::TaskEnd& end) {
            // Only the session of the later incarnation can take note of its ends.
            return end.task == start.task && end.run == start.run && end.kind == jobs::TaskEndReason::Done;
        });
    };
    return std::ranges::all_of(findUnsettledStarts(), [&](const jobs::UnsettledStart& start) {
        const auto order = m_orders.find(start.task);
        return order != m_orders.end() && order->second.phase == OrderPhase::Settled && order->second.since < sentAt
            && !isListed(start);
    });
}

void WorkerSession::recordEnds(const platform::WorkerStatus& status)
{
    const jobs::Worker* current = worker();
    if (current == nullptr) {
        return;
    }
    jobs::RecordTaskEnds command;
    command.worker = m_number;
    command.nowMs = base::wallNow().time_since_epoch().count();
    std::ranges::copy_if(status.ended, std::back_inserter(command.ends),
        [&](const jobs::TaskEnd& end) { return end.number > current->lastRecordedEnd; });
    if (command.ends.empty()) {
        return;
    }
    std::ranges::sort(command.ends, {}, &jobs::TaskEnd::number);
    const auto now = base::monotonicNow();
    for (const jobs::TaskEnd& end : command.ends) {
        const auto order = m_orders.find(end.task);
        if (order != m_orders.end() && order->second.run == end.run && end.kind == jobs::TaskEndReason::Done
            && order->second.phase == OrderPhase::Started) {
            m_hooks.onRunTime(
                end.task, std::chrono::duration_cast<base::Milliseconds>(now - order->second.since).count());
        }
        if (end.kind == jobs::TaskEndReason::Done || end.kind == jobs::TaskEndReason::Failed) {
            const double outcome = end.kind == jobs::TaskEndReason::Failed ? 1.0 : 0.0;
            m_health.failureShare += failureWeight * (outcome - m_health.failureShare);
        }
        m_log.info("task_ended",
            { { "task", platform::taskName(end.task) }, { "run", end.run }, { "worker", m_id },
                { "kind", jobs::taskEndReasonName(end.kind) }, { "end", end.number } });
    }
    m_isRecording = true;
    m_hooks.propose(std::move(command), [this, alive = m_isAlive](bool /*isApplied*/) {
        if (*alive) {
            m_isRecording = false;
            renew();
        }
    });
}

void WorkerSession::reconcile(const platform::WorkerStatus& status, base::MonotonicTime sentAt)
{
    const auto isRunning = [&](const jobs::TaskKey& key, std::uint32_t run) {
        return std::ranges::any_of(
            status.running, [&](const auto& task) { return task.task == key && task.run == run; });
    };
    const auto hasEnded = [&](const jobs::TaskKey& key, std::uint32_t run) {
        return std::ranges::any_of(status.ended, [&](const auto& end) { return end.task == key && end.run >= run; });
    };
    const auto& assigned = m_state.tasksOf(m_number);
    for (const platform::RunningTask& task : status.running) {
        const auto known = m_orders.find(task.task);
        const bool isOurs
            = assigned.contains(task.task) && m_state.findJob(task.task.job)->find(task.task)->run == task.run;
        if (isNeverOrdered(task)) {
            m_log.warning("run_never_ordered",
                { { "task", platform::taskName(task.task) }, { "run", task.run }, { "worker", m_id } });
        } else if (!isOurs) {
            // A late order of an earlier run was carried out after all.
            stop(task.task, task.run, "not-assigned");
        } else if (known == m_orders.end()) {
            m_orders[task.task]
                = Order { .run = task.run, .phase = OrderPhase::Started, .since = sentAt, .wasSent = true };
        }
    }
    for (auto& [key, order] : m_orders) {
        // Incarnations of an id follow each other, so that an answer before this list was requested is of this one too.
        const bool isProven = order.answeredAt < sentAt || isRunning(key, order.run) || hasEnded(key, order.run);
        if (order.isUnproven && isProven) {
            order.isUnproven = false;
            order.wasAccepted = order.wasAccepted || order.isOther;
            order.isOther = false;
        }
    }
    if (status.listedEnds >= maxListedEnds) {
        return;
    }
    for (const auto& [key, order] : m_orders) {
        const bool isSettled = order.phase == OrderPhase::Started || order.phase == OrderPhase::Settled;
        const bool mayBeElsewhere = order.isInFlight || order.isUnproven;
        if (isSettled && !mayBeElsewhere && order.since < sentAt && !isRunning(key, order.run)
            && !hasEnded(key, order.run)) {
            release(key, order.run, "not-listed");
        }
    }
}

// A stop ends every run of the task up to its number, so that one of a run that nobody has ordered would end the true
// run.
bool WorkerSession::isNeverOrdered(const platform::RunningTask& running) const
{
    const jobs::Job* job = m_state.findJob(running.task.job);
    const jobs::Task* known = job == nullptr ? nullptr : job->find(running.task);
    return known != nullptr && running.run > known->run;
}

bool WorkerSession::mayHaveExecuted(const jobs::TaskKey& key) const
{
    if (!m_answeredAt) {
        // An earlier leader may have started what is assigned.
        return true;
    }
    const auto order = m_orders.find(key);
    if (order == m_orders.end() || order->second.phase == OrderPhase::Settled || order->second.isOther) {
        return false;
    }
    return order->second.phase == OrderPhase::Started || order->second.wasSent;
}

bool WorkerSession::mayBeInProbation(const jobs::TaskKey& key) const
{
    const auto order = m_orders.find(key);
    const bool isStarted = order != m_orders.end() && order->second.phase == OrderPhase::Started;
    return !isStarted || !m_aliveAt || *m_aliveAt - order->second.since < jobs::crashProbation;
}

std::optional<jobs::RecordCrash> WorkerSession::crash(bool isConfirmed) const
{
    const jobs::Worker* current = worker();
    if (current == nullptr || current->report.isDraining || m_hooks.isReserved(m_id)) {
        return std::nullopt;
    }
    std::vector<jobs::RunAtCrash> runs;
    for (const jobs::TaskKey& key : m_state.tasksOf(m_number)) {
        const jobs::Job& job = *m_state.findJob(key.job);
        const bool isYoung = mayBeInProbation(key);
        // A long-running task is not given up, so that one that has proven itself needs no count.
        if (!job.isActive() || !mayHaveExecuted(key) || (!isYoung && job.spec.steps[key.step].isLongRunning)) {
            continue;
        }
        const auto order = m_orders.find(key);
        const bool isStartKnown = order != m_orders.end() && order->second.wasAccepted;
        runs.push_back({ key, job.find(key)->run, isYoung, isStartKnown, m_state.crashes().contains(key) });
    }
    if (runs.empty() && !isConfirmed) {
        return std::nullopt;
    }
    const std::int64_t nowMs = base::wallNow().time_since_epoch().count();
    return jobs::RecordCrash { m_id, m_incarnation, jobs::suspectsOf(runs), isConfirmed, nowMs };
}

bool WorkerSession::isSuspected(const jobs::TaskKey& key) const
{
    const auto lost = m_state.lostRuns().find(key);
    return lost != m_state.lostRuns().end() && lost->second.runs >= jobs::suspectedLostRuns
        && !m_state.findJob(key.job)->spec.steps[key.step].isLongRunning;
}

std::optional<jobs::WorkerContact> WorkerSession::contact() const
{
    if (m_hasLeft || m_hooks.isReserved(m_id)) {
        return std::nullopt;
    }
    return jobs::WorkerContact { m_number, m_service, m_rack, m_knownSince, m_silentSince, m_hasSuspectedTask };
}

std::int64_t WorkerSession::unprovenMs(const jobs::TaskKey& task, base::MonotonicTime now) const
{
    const auto order = m_orders.find(task);
    if (order == m_orders.end() || order->second.phase == OrderPhase::Unsent
        || order->second.phase == OrderPhase::Sending) {
        return jobs::crashProbation.count();
    }
    if (order->second.phase == OrderPhase::Settled) {
        return 0;
    }
    const auto left = std::chrono::ceil<base::Milliseconds>(order->second.since + jobs::crashProbation - now);
    return std::max<std::int64_t>(0, left.count());
}

std::int64_t WorkerSession::ranMs(const jobs::TaskKey& task, base::MonotonicTime now) const
{
    const auto order = m_orders.find(task);
    const bool isStarted = order != m_orders.end() && order->second.phase == OrderPhase::Started;
    return isStarted ? std::chrono::duration_cast<base::Milliseconds>(now - order->second.since).count() : 0;
}

void WorkerSession::release(const jobs::TaskKey& key, std::uint32_t run, std::string_view reason)
{
    m_log.info("task_released",
        { { "task", platform::taskName(key) }, { "run", run }, { "worker", m_id }, { "reason", reason } });
    m_hooks.propose(jobs::ReleaseTask { key, run }, nullptr);
}

} // namespace crocuscove::control
