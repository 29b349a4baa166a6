#include "gateway.h"

#include "gateway_answers.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>
#include <utility>

namespace crocuscove::server {

namespace {

constexpr base::Milliseconds claimTimeout { 2000 };
constexpr base::Milliseconds settleTimeout { 10'000 };
/// Claims of an entry node that crashes stay in progress. Their outcome becomes unknown this long after the deadline
/// of the request.
constexpr base::Milliseconds claimExpiryMargin { 5000 };
constexpr std::size_t maxOpenRequests = 100'000;

http::HttpClientOptions httpClientOptions()
{
    http::HttpClientOptions options;
    options.maxIdlePerEndpoint = 64;
    // Slot leases are safe only if a request that cannot connect within the start margin is never sent.
    options.connectTimeout = routing::SlotOptions().startMargin;
    return options;
}

base::TeamId clientTeam(const http::Headers& headers)
{
    const std::string name(headers.get(clientHeader));
    return name.empty() ? base::TeamId("anonymous") : base::TeamId(name);
}

std::uint64_t requestDigest(const http::HttpRequest& request)
{
    const std::string text = request.method + ' ' + request.rawTarget + '\n' + request.body;
    return XXH3_64bits(text.data(), text.size());
}

routing::AttemptEnd classifyAttemptEnd(const http::ExchangeResult& result, const std::string& globalRequestId)
{
    if (!result.response) {
        return result.mayHaveStarted ? routing::AttemptEnd::Broken : routing::AttemptEnd::ConnectFailed;
    }
    const auto echoed = result.response->headers.find(requestIdHeader);
    if (echoed && *echoed != globalRequestId) {
        return routing::AttemptEnd::Broken;
    }
    if (result.response->status == 503 && result.response->headers.get(refusedHeader) == "1") {
        return routing::AttemptEnd::Refused;
    }
    constexpr std::array serverErrors { 500, 502, 503, 504 };
    const bool isServerError = std::ranges::find(serverErrors, result.response->status) != serverErrors.end();
    return isServerError ? routing::AttemptEnd::ServerError : routing::AttemptEnd::Answered;
}

} // namespace

Gateway::Gateway(http::EventLoop& loop, const ServerOptions& options, const base::Log& log, base::Random& random,
    Replica& replica, CommandSubmitter& submitter, BackendRegistry& backends,
    std::function<void(const base::ServiceId&)> onServiceAdded)
    : m_loop(loop)
    , m_options(options)
    , m_log(log)
    , m_random(random)
    , m_replica(replica)
    , m_submitter(submitter)
    , m_backends(backends)
    , m_onServiceAdded(std::move(onServiceAdded))
    , m_httpClient(loop, httpClientOptions())
    , m_requestIdPrefix(fmt::format("{}-{:x}", options.node.text(), base::wallNow().time_since_epoch().count()))
{
}

std::string Gateway::globalRequestId(routing::RequestId id) const
{
    return fmt::format("{}-{}", m_requestIdPrefix, id);
}

std::string_view Gateway::documentFreshness() const
{
    return m_replica.isCurrent(base::monotonicNow()) ? "current" : "stale";
}

void Gateway::handle(http::HttpRequest request, http::Responder responder)
{
    const auto id = m_nextRequest++;
    const auto match = routing::matchRoute(m_documents, request.headers.get("Host"), request.path, request.method);
    if (match.reason != routing::RouteReason::Matched) {
        const auto reason = routing::routeReasonNames.name(match.reason);
        m_log.info(
            "request_refused", { { "request", globalRequestId(id) }, { "path", request.path }, { "reason", reason } });
        ++m_counters.notExecuted;
        responder.respond(outcomeErrorResponse(404, routing::Outcome::NotExecuted, reason));
        return;
    }
    if (request.body.size() > match.document->limits.maxBodyBytes || m_requests.size() >= maxOpenRequests) {
        const bool isTooLarge = request.body.size() > match.document->limits.maxBodyBytes;
        const auto reason = isTooLarge ? "body-too-large" : "too-many-requests";
        m_log.info("request_refused",
            { { "request", globalRequestId(id) }, { "service", match.document->service.text() },
                { "reason", reason } });
        ++m_counters.notExecuted;
        responder.respond(outcomeErrorResponse(isTooLarge ? 413 : 503, routing::Outcome::NotExecuted, reason));
        return;
    }
    const std::string key(request.headers.get(idempotencyKeyHeader));
    base::TeamId client;
    try {
        client = clientTeam(request.headers);
        requireValidIdempotencyKey(key);
    } catch (const base::InvalidInput& error) {
        ++m_counters.notExecuted;
        responder.respond(outcomeErrorResponse(400, routing::Outcome::NotExecuted, error.what()));
        return;
    }
    const auto now = base::monotonicNow();
    const auto& service = match.document->service;
    const std::uint64_t revision = m_services.at(service).revision;
    responder.onDisconnect([this, id] { onClientDisconnected(id); });
    m_requests.emplace(id,
        ActiveRequest { std::move(request), std::move(responder), service, revision, match.kindIndex, match.kind->name,
            client, now, now + match.kind->deadline, {}, {} });
    if (!match.kind->isIdempotent && !key.empty()) {
        claimKey(id, key);
    } else {
        admit(id);
    }
}

void Gateway::admit(routing::RequestId id)
{
    const ActiveRequest& active = m_requests.at(id);
    const base::ServiceId service = active.service;
    const routing::Request request { id, active.kind, active.client, active.deadline };
    applyActions(service, m_services.at(service).dispatcher.arrive(base::monotonicNow(), request));
}

void Gateway::claimKey(routing::RequestId id, const std::string& key)
{
    const ActiveRequest& active = m_requests.at(id);
    const auto now = base::monotonicNow();
    const auto remaining = std::chrono::duration_cast<base::Milliseconds>(active.deadline - now);
    const state::ClaimIdempotencyKey claim { active.service, key, requestDigest(active.request), m_options.node,
        globalRequestId(id), base::wallNow() + remaining + claimExpiryMargin };
    m_submitter.submit(claim, std::min(active.deadline, base::MonotonicTime(now + claimTimeout)),
        [this, id, key](const ProposalResult& result) { handleClaimResult(id, key, result); });
}

void Gateway::handleClaimResult(routing::RequestId id, const std::string& key, const ProposalResult& result)
{
    const auto entry = m_requests.find(id);
    if (entry == m_requests.end()) {
        return;
    }
    const bool isGranted = result.outcome == ProposalOutcome::Applied
        && (result.result.code == state::ResultCode::Ok || result.result.code == state::ResultCode::Repeated);
    // If the outcome of the claim is unknown, the key may be claimed. Recording it here lets answer() release the key;
    // the request itself is not dispatched.
    if (isGranted || result.outcome == ProposalOutcome::Unknown) {
        entry->second.claimedKey = key;
    }
    if (isGranted) {
        admit(id);
        return;
    }
    if (result.outcome != ProposalOutcome::Applied) {
        answer(id, routing::Outcome::NotExecuted,
            outcomeErrorResponse(503, routing::Outcome::NotExecuted, "claim-unavailable"), "claim-unavailable");
        return;
    }
    auto refused = claimConflictResponse(result.result);
    answer(id, refused.outcome, std::move(refused.response), state::resultCodeName(result.result.code));
}

void Gateway::settleClaim(
    const ActiveRequest& request, routing::RequestId id, routing::Outcome outcome, const http::HttpResponse& answer)
{
    if (request.claimedKey.empty()) {
        return;
    }
    state::SettleIdempotencyKey settle { request.service, request.claimedKey, globalRequestId(id),
        outcome == routing::Outcome::Executed, outcome == routing::Outcome::Unknown, {} };
    if (outcome == routing::Outcome::Executed) {
        settle.answer = storedAnswer(answer);
    }
    m_submitter.submit(
        settle, base::monotonicNow() + settleTimeout, [this, name = globalRequestId(id)](const ProposalResult& result) {
            if (result.outcome != ProposalOutcome::Applied) {
                m_log.warning("claim_not_settled",
                    { { "request", name }, { "effect", "retries with this key receive the outcome unknown" } });
            }
        });
}

void Gateway::onClientDisconnected(routing::RequestId id)
{
    const auto entry = m_requests.find(id);
    // A request with a claimed key continues, so that a retry with the same key receives its response.
    if (entry == m_requests.end() || !entry->second.claimedKey.empty()) {
        return;
    }
    const base::ServiceId service = entry->second.service;
    applyActions(service, m_services.at(service).dispatcher.cancel(base::monotonicNow(), id));
}

void Gateway::applyActions(const base::ServiceId& service, const routing::Actions& actions)
{
    std::ranges::for_each(actions, [&](const routing::Action& action) {
        std::visit([&](const auto& alternative) { applyAction(service, alternative); }, action);
    });
    scheduleTimer(service);
}

void Gateway::applyAction(const base::ServiceId& service, const routing::Dispatch& action)
{
    ActiveRequest& active = m_requests.at(action.request);
    m_log.info("request_dispatched",
        { { "request", globalRequestId(action.request) }, { "service", service.text() },
            { "revision", active.revision }, { "documents", documentFreshness() }, { "kind", active.kindName },
            { "backend", action.backend.text() }, { "attempt", action.attempt },
            { "reason", routing::dispatchReasonNames.name(action.reason) } });
    ++m_counters.dispatched;
    m_counters.retried += action.reason == routing::DispatchReason::Retry ? 1 : 0;
    const auto [attempt, isNew] = active.attempts.emplace(action.attempt, Attempt { {}, action.backend, std::nullopt });
    attempt->second.call = m_httpClient.call(action.endpoint, buildForwardedRequest(action.request, active),
        action.deadline, [this, service, id = action.request, attemptId = action.attempt](http::ExchangeResult result) {
            finishAttempt(service, id, attemptId, std::move(result));
        });
}

void Gateway::applyAction(const base::ServiceId&, const routing::Refuse& action)
{
    const auto reason = routing::refuseReasonNames.name(action.reason);
    const int status = action.reason == routing::RefuseReason::ClientLimit ? 429 : 503;
    auto response = outcomeErrorResponse(status, routing::Outcome::NotExecuted, reason);
    response.headers.add(
        "Retry-After", fmt::format("{}", std::chrono::ceil<std::chrono::seconds>(action.retryAfter).count()));
    answer(action.request, routing::Outcome::NotExecuted, std::move(response), reason);
}

void Gateway::applyAction(const base::ServiceId&, const routing::Conclude& action)
{
    const auto reason = routing::concludeReasonNames.name(action.reason);
    ActiveRequest& active = m_requests.at(action.request);
    const auto attempt = active.attempts.find(action.attempt);
    if (attempt != active.attempts.end() && attempt->second.response) {
        answer(action.request, action.outcome, std::move(*attempt->second.response), reason);
        return;
    }
    const int status = action.reason == routing::ConcludeReason::DeadlinePassed ? 504 : 502;
    answer(action.request, action.outcome,
        outcomeErrorResponse(action.outcome == routing::Outcome::NotExecuted ? 503 : status, action.outcome, reason),
        reason);
}

void Gateway::applyAction(const base::ServiceId&, const routing::Abort& action)
{
    const auto entry = m_requests.find(action.request);
    if (entry == m_requests.end()) {
        return;
    }
    const auto attempt = entry->second.attempts.find(action.attempt);
    if (attempt != entry->second.attempts.end()) {
        m_log.info("attempt_aborted",
            { { "request", globalRequestId(action.request) }, { "backend", attempt->second.backend.text() },
                { "attempt", action.attempt }, { "reason", routing::abortReasonNames.name(action.reason) } });
        attempt->second.call.cancel();
        if (action.reason == routing::AbortReason::DeadlinePassed) {
            // A backend server that hangs never ends an attempt itself. Recording a failure here lets it be ejected.
            m_backends.observe(attempt->second.backend, routing::AttemptEnd::Broken);
        }
    }
}

void Gateway::finishAttempt(
    const base::ServiceId& service, routing::RequestId id, routing::AttemptId attemptId, http::ExchangeResult result)
{
    const auto entry = m_requests.find(id);
    if (entry == m_requests.end() || result.failure == http::ExchangeFailure::Cancelled) {
        return;
    }
    const auto end = classifyAttemptEnd(result, globalRequestId(id));
    Attempt& attempt = entry->second.attempts.at(attemptId);
    if (end != routing::AttemptEnd::Broken) {
        attempt.response = std::move(result.response);
    }
    m_backends.observe(attempt.backend, end);
    applyActions(service, m_services.at(service).dispatcher.finish(base::monotonicNow(), { attemptId, end }));
}

void Gateway::answer(
    routing::RequestId id, routing::Outcome outcome, http::HttpResponse response, std::string_view reason)
{
    auto node = m_requests.extract(id);
    const ActiveRequest& active = node.mapped();
    const auto elapsed = base::monotonicNow() - active.arrivedAt;
    m_log.info("request_concluded",
        { { "request", globalRequestId(id) }, { "service", active.service.text() }, { "revision", active.revision },
            { "documents", documentFreshness() }, { "kind", active.kindName }, { "client", active.client.text() },
            { "outcome", routing::outcomeNames.name(outcome) }, { "reason", reason }, { "status", response.status },
            { "elapsed_us", elapsed.count() } });
    m_counters.executed += outcome == routing::Outcome::Executed ? 1 : 0;
    m_counters.notExecuted += outcome == routing::Outcome::NotExecuted ? 1 : 0;
    m_counters.unknown += outcome == routing::Outcome::Unknown ? 1 : 0;
    std::ranges::for_each(node.mapped().attempts, [](auto& attempt) { attempt.second.call.cancel(); });
    settleClaim(active, id, outcome, response);
    prepareClientResponse(response, outcome, globalRequestId(id));
    active.responder.respond(response);
}

http::HttpRequest Gateway::buildForwardedRequest(routing::RequestId id, const ActiveRequest& request) const
{
    return forwardedRequest(request.request, globalRequestId(id));
}

void Gateway::scheduleTimer(const base::ServiceId& service)
{
    Service& entry = m_services.at(service);
    const auto next = entry.dispatcher.nextDeadline();
    if (!next) {
        entry.timer.cancel();
        return;
    }
    entry.timer = m_loop.runAt(*next,
        [this, service] { applyActions(service, m_services.at(service).dispatcher.tick(base::monotonicNow())); });
}

void Gateway::updateDocuments()
{
    for (const auto& [id, record] : m_replica.state().documents()) {
        const auto* document = std::get_if<document::ServiceDocument>(record.inForce.get());
        const auto existing = m_services.find(id);
        if (document == nullptr || (existing != m_services.end() && existing->second.revision == record.revision())) {
            continue;
        }
        m_documents.insert_or_assign(id, *document);
        m_log.info("document_applied", { { "service", id.text() }, { "revision", record.revision() } });
        if (existing == m_services.end()) {
            routing::DispatcherOptions options;
            options.dataCentre = m_options.dataCentre;
            m_services.emplace(id,
                Service { record.revision(), routing::Dispatcher(*document, options, base::Random(m_random())),
                    http::Timer() });
            m_onServiceAdded(id);
        } else {
            existing->second.revision = record.revision();
            applyActions(id, existing->second.dispatcher.updateDocument(base::monotonicNow(), *document));
        }
    }
}

void Gateway::updateBackends(const base::ServiceId& service, const std::vector<routing::BackendView>& views)
{
    const auto entry = m_services.find(service);
    if (entry != m_services.end()) {
        applyActions(service, entry->second.dispatcher.updateBackends(base::monotonicNow(), views));
    }
}

void Gateway::updateSlots(const base::ServiceId& service, const std::vector<routing::SlotLimit>& limits)
{
    const auto entry = m_services.find(service);
    if (entry != m_services.end()) {
        applyActions(service, entry->second.dispatcher.updateSlots(base::monotonicNow(), limits));
    }
}

std::vector<SlotUsage> Gateway::slotUsage(const base::ServiceId& service) const
{
    const auto entry = m_services.find(service);
    if (entry == m_services.end()) {
        return {};
    }
    const auto usage = entry->second.dispatcher.usage();
    const auto views = m_backends.directory().views(service);
    const std::size_t queued = entry->second.dispatcher.queued();
    std::vector<SlotUsage> result;
    std::ranges::transform(views, std::back_inserter(result), [&](const routing::BackendView& view) {
        const auto used = std::ranges::find(usage, view.backend, &routing::BackendUsage::backend);
        const auto inFlight = used == usage.end() ? 0 : used->inFlight;
        return SlotUsage { view.backend, inFlight,
            inFlight + routing::queuedShare(queued, views.size(), result.size()) };
    });
    return result;
}

std::uint32_t Gateway::inFlightAt(const base::ServiceId& service, const base::BackendId& backend) const
{
    const auto entry = m_services.find(service);
    if (entry == m_services.end()) {
        return 0;
    }
    const auto usage = entry->second.dispatcher.usage();
    const auto found = std::ranges::find(usage, backend, &routing::BackendUsage::backend);
    return found == usage.end() ? 0 : found->inFlight;
}

std::vector<ServiceLoad> Gateway::serviceLoads() const
{
    std::vector<ServiceLoad> loads;
    std::ranges::transform(m_services, std::back_inserter(loads), [](const auto& entry) {
        const auto& dispatcher = entry.second.dispatcher;
        return ServiceLoad { entry.first, static_cast<std::uint32_t>(dispatcher.inFlight()),
            static_cast<std::uint32_t>(dispatcher.queued()) };
    });
    return loads;
}

std::size_t Gateway::queued() const
{
    return std::accumulate(m_services.begin(), m_services.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& entry) { return sum + entry.second.dispatcher.queued(); });
}

} // namespace crocuscove::server
