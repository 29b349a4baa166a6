#include "crocuscove/routing/dispatcher_core.h"

#include <algorithm>
#include <cmath>

namespace crocuscove::routing {
namespace {

using document::WorkClass;

/// Bound on accounts that are kept without requests.
constexpr std::size_t maxIdleAccounts = 1024;
constexpr std::uint64_t minSamples = 10;
constexpr base::Milliseconds minRetryAfter { 100 };
constexpr base::Milliseconds maxRetryAfter { 30000 };
/// Largest part of the time to the deadline that is set aside for a slow run. Without it a kind whose slowest
/// runs take longer than its deadline would be refused always.
constexpr double maxRunShare = 0.5;
/// Allowance for the error of the estimated wait. Too low an estimate wastes slots on work that is cut at its deadline;
/// too high a one only shortens the queue.
constexpr double waitMargin = 1.25;

base::Microseconds seconds(double value) { return base::Microseconds(static_cast<std::int64_t>(value * 1e6)); }

} // namespace

std::size_t Dispatcher::Core::queueBound(WorkClass workClass) const
{
    // A quarter of the queue is kept for short work, so that waiting long work can't make the queue full for it.
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
    if (m_pool.usable() == 0) {
        return RefuseReason::NoBackend;
    }
    if (deadline <= now) {
        return RefuseReason::DeadlinePassed;
    }
    if (kind.runTimes.samples() < minSamples) {
        return std::nullopt;
    }
    // Work that is started with too little time for a slow run is likely to be aborted at its deadline.
    const auto slowRun = std::min(
        kind.runTimes.slowest(), seconds(maxRunShare * std::chrono::duration<double>(deadline - now).count()));
    const auto run = std::max(slowRun, kind.runTimes.usual());
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
    double ahead = queue.work();
    if (workClass != WorkClass::Short) {
        ahead += queueOf(WorkClass::Short).work();
    }
    if (workClass == WorkClass::Patient) {
        ahead += queueOf(WorkClass::Long).work();
    }
    const auto account = m_accounts.find(client);
    const double weight = shareOf(client);
    const double own
        = account == m_accounts.end() ? 0.0 : account->second.flows[static_cast<std::size_t>(workClass)].work;
    const bool isActive = own > 0.0;
    const double activeWeight = queue.activeWeight() + (isActive ? 0.0 : weight);
    // A client with a small part of the queued work waits for its share of the slots only.
    const double fair = workClass == WorkClass::Short ? own * activeWeight / weight : ahead;
    // A running request ends first, on average after one run time over the number of slots.
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

bool Dispatcher::Core::owesService(const ClientAccount& account) const
{
    for (std::size_t i = 0; i < workClasses; ++i) {
        if (account.flows[i].tag > m_queues[i].virtualTime()) {
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
    if (!owesService(account)) {
        m_accounts.erase(base::TeamId(account.client));
        return;
    }
    m_idleAccounts.push_back(account.client);
    forgetIdleAccounts();
}

void Dispatcher::Core::forgetIdleAccounts()
{
    // Two a call, so that the list shrinks while it is given one at a time.
    for (int i = 0; i < 2 && !m_idleAccounts.empty(); ++i) {
        const auto found = m_accounts.find(m_idleAccounts.front());
        const bool isIdle = found != m_accounts.end() && found->second.requests == 0;
        if (isIdle && owesService(found->second) && m_idleAccounts.size() <= maxIdleAccounts) {
            m_idleAccounts.push_back(m_idleAccounts.front());
        } else if (isIdle) {
            m_accounts.erase(found);
        }
        m_idleAccounts.pop_front();
    }
}

} // namespace crocuscove::routing
