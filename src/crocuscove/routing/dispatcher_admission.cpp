#include "crocuscove/routing/dispatcher_core.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

using document::WorkClass;

/// Maximum number of accounts without requests that are kept.
constexpr std::size_t maxIdleAccounts = 1024;
constexpr std::uint64_t minSamples = 10;
constexpr base::Milliseconds minRetryAfter { 100 };
constexpr base::Milliseconds maxRetryAfter { 30000 };
/// Largest share of the time to the deadline that is reserved for a slow run. Without this bound, a kind whose 99th
/// percentile exceeds its deadline would be refused whenever it has to wait.
constexpr double maxRunShare = 0.5;
/// Safety factor for the estimated wait. An estimate that is too low wastes slots on requests that are aborted at their
/// deadline; one that is too high only shortens the queue.
constexpr double waitMargin = 1.25;

base::Microseconds seconds(double value) { return base::Microseconds(static_cast<std::int64_t>(value * 1e6)); }

} // namespace

std::size_t Dispatcher::Core::queueBound(WorkClass workClass) const
{
    // A quarter of the queue is reserved for short work, so that queued long work can't block it.
    const std::size_t bound = m_document.limits.maxQueued;
    return workClass == WorkClass::Short ? bound : std::max<std::size_t>(bound - bound / 4, 1);
}

std::optional<RefuseReason> Dispatcher::Core::refusal(
    base::MonotonicTime now, const Request& request, base::MonotonicTime deadline) const
{
    if (request.kind >= m_document.requests.size()) {
        return RefuseReason::UnknownKind;
    }
    const auto account = m_accounts.find(request.client);
    if (account != m_accounts.end() && account->second.requests >= m_document.limits.maxInFlightPerClient) {
        return RefuseReason::ClientLimit;
    }
    const auto& kind = *m_kindsInForce[request.kind];
    if (queued() >= queueBound(kind.learned)) {
        return RefuseReason::QueueFull;
    }
    if (m_pool.usableBackends() == 0) {
        return RefuseReason::NoBackend;
    }
    if (deadline <= now) {
        return RefuseReason::DeadlinePassed;
    }
    if (kind.runTimes.samples() < minSamples) {
        return std::nullopt;
    }
    // A request that starts with too little time for a slow run is likely to be aborted at its deadline.
    const auto slowRun
        = std::min(kind.runTimes.p99(), seconds(maxRunShare * std::chrono::duration<double>(deadline - now).count()));
    const auto run = std::max(slowRun, kind.runTimes.p90());
    const auto wait = estimateWait(kind, request.client);
    return wait.count() > 0 && now + std::chrono::duration_cast<base::Microseconds>(wait * waitMargin) + run > deadline
        ? std::optional(RefuseReason::DeadlineUnreachable)
        : std::nullopt;
}

base::Microseconds Dispatcher::Core::estimateWait(const KindStatistics& kind, const base::TeamId& client) const
{
    const auto workClass = kind.learned;
    const auto slots = m_pool.slots();
    const auto& queue = queueOf(workClass);
    if (slots == 0 || (queue.empty() && m_pool.hasFree())) {
        return base::Microseconds(0);
    }
    const auto longRunning = runningOf(WorkClass::Long) + runningOf(WorkClass::Patient);
    const auto available = workClass == WorkClass::Short
        ? std::max<std::size_t>(slots - std::min<std::size_t>(longRunning, longSlots()), 1)
        : longSlots();
    double ahead = queue.queuedCost();
    if (workClass != WorkClass::Short) {
        ahead += queueOf(WorkClass::Short).queuedCost();
    }
    if (workClass == WorkClass::Patient) {
        ahead += queueOf(WorkClass::Long).queuedCost();
    }
    const auto account = m_accounts.find(client);
    const double weight = shareOf(client);
    const double own
        = account == m_accounts.end() ? 0.0 : account->second.flows[static_cast<std::size_t>(workClass)].queuedCost;
    const bool isActive = own > 0.0;
    const double activeWeight = queue.activeWeight() + (isActive ? 0.0 : weight);
    // A client with little queued work waits only for its own requests, at its weighted share of the slots.
    const double fair = workClass == WorkClass::Short ? own * activeWeight / weight : ahead;
    // First a running request must end, which takes on average the mean run time divided by the number of slots.
    const double running = static_cast<double>(kind.runTimes.mean().count()) * 1e-6;
    return seconds((std::min(ahead, fair) + running) / static_cast<double>(available));
}

base::Milliseconds Dispatcher::Core::retryAfter(const KindStatistics& kind, const base::TeamId& client) const
{
    const auto wait = std::chrono::duration_cast<base::Milliseconds>(estimateWait(kind, client));
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

double Dispatcher::Core::shareOf(const base::TeamId& client) const
{
    const auto share = m_document.queue.clientShares.find(client);
    return std::max(1U, share == m_document.queue.clientShares.end() ? m_document.queue.defaultShare : share->second);
}

ClientAccount& Dispatcher::Core::accountOf(const base::TeamId& client)
{
    const auto [found, isNew] = m_accounts.try_emplace(client);
    auto& account = found->second;
    if (isNew) {
        account.client = client;
        for (auto& flow : account.flows) {
            flow.serial = ++m_lastSerial;
        }
    }
    for (auto& flow : account.flows) {
        if (flow.requests.empty()) {
            flow.weight = shareOf(client);
        }
    }
    return account;
}

bool Dispatcher::Core::hasOutstandingCharge(const ClientAccount& account) const
{
    for (std::size_t i = 0; i < workClasses; ++i) {
        if (account.flows[i].startTag > m_queues[i].virtualTime()) {
            return true;
        }
    }
    return false;
}

void Dispatcher::Core::releaseAccount(ClientAccount& account)
{
    --account.requests;
    if (account.requests != 0) {
        return;
    }
    if (!hasOutstandingCharge(account)) {
        m_accounts.erase(base::TeamId(account.client));
        return;
    }
    m_idleAccounts.push_back(account.client);
    eraseIdleAccounts();
}

void Dispatcher::Core::eraseIdleAccounts()
{
    // Each call checks two accounts, so that the list shrinks although one account is added per call.
    for (int i = 0; i < 2 && !m_idleAccounts.empty(); ++i) {
        const auto found = m_accounts.find(m_idleAccounts.front());
        const bool isIdle = found != m_accounts.end() && found->second.requests == 0;
        if (isIdle && hasOutstandingCharge(found->second) && m_idleAccounts.size() <= maxIdleAccounts) {
            m_idleAccounts.push_back(m_idleAccounts.front());
        } else if (isIdle) {
            m_accounts.erase(found);
        }
        m_idleAccounts.pop_front();
    }
}

} // namespace crocuscove::routing
