#include "crocuscove/routing/dispatcher_core.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::routing {
namespace {

/// Share of the time to the deadline that is reserved for running a request whose kind has too few samples.
constexpr double unknownRunShare = 0.1;

/// Retry-After for a request of a kind that is not in the document.
constexpr base::Milliseconds unknownRetryAfter { 1000 };

} // namespace

Dispatcher::Core::Core(document::ServiceDocument document, DispatcherOptions options, base::Random random)
    : m_options(std::move(options))
    , m_random(random)
    , m_pool(m_options)
    , m_retryTokens(m_options.retryBurst)
{
    updateDocument(std::move(document));
}

void Dispatcher::Core::updateDocument(document::ServiceDocument document)
{
    m_document = std::move(document);
    std::map<std::string, std::shared_ptr<KindStatistics>> kinds;
    m_kindsInForce.clear();
    for (const auto& kind : m_document.requests) {
        auto& statistics = kinds[kind.name];
        if (const auto known = m_kinds.find(kind.name); statistics == nullptr && known != m_kinds.end()) {
            statistics = known->second;
        }
        if (statistics == nullptr || statistics->declared != kind.workClass) {
            statistics = std::make_shared<KindStatistics>();
            statistics->declared = kind.workClass;
            statistics->learned = kind.workClass;
        }
        m_kindsInForce.push_back(statistics);
    }
    m_kinds = std::move(kinds);
}

void Dispatcher::Core::arrive(base::MonotonicTime now, const Request& request)
{
    if (m_requests.contains(request.id)) {
        throw base::Error(fmt::format("request id {} is in use", request.id));
    }
    const bool isKnown = request.kind < m_document.requests.size();
    if (isKnown) {
        recordShortArrival(now, *m_kindsInForce[request.kind]);
    }
    const auto kindDeadline = isKnown ? m_document.requests[request.kind].deadline : base::Milliseconds(0);
    const auto deadline = request.deadline.value_or(now + kindDeadline);
    if (const auto reason = refusal(now, request, deadline)) {
        const auto after = isKnown ? retryAfter(*m_kindsInForce[request.kind], request.client) : unknownRetryAfter;
        m_actions.emplace_back(Refuse { request.id, *reason, after });
        return;
    }
    auto& account = accountOf(request.client);
    ++account.requests;
    auto& pending = m_requests[request.id];
    pending.id = request.id;
    pending.deadline = deadline;
    pending.latestStart = deadline - std::chrono::duration_cast<base::Microseconds>((deadline - now) * unknownRunShare);
    pending.kind = m_kindsInForce[request.kind];
    pending.account = &account;
    pending.workClass = pending.kind->learned;
    pending.isIdempotent = m_document.requests[request.kind].isIdempotent;
    m_timers.insert({ deadline, TimerKind::Deadline, request.id });
    enqueue(now, pending);
}

void Dispatcher::Core::cancel(base::MonotonicTime now, RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    auto& request = found->second;
    if (request.stage == Stage::Running) {
        abortAttempt(now, request, AbortReason::ClientGone);
    }
    conclude(request, outcomeOf(request.executionState), ConcludeReason::ClientGone, 0);
}

} // namespace crocuscove::routing
