#include "crocuscove/routing/dispatcher.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace crocuscove::routing {
namespace {

struct PendingRequest {
    RequestId id = 0;
    base::MonotonicTime deadline;
    bool isIdempotent = false;
    /// 0 while queued.
    AttemptId attempt = 0;
    base::BackendId backend;
    std::uint32_t attempts = 0;
};

struct Backend {
    std::optional<BackendView> view;
    std::uint32_t limit = 0;
    std::uint32_t inFlight = 0;
};

} // namespace

class Dispatcher::Core {
public:
    Core(document::ServiceDocument serviceDocument, DispatcherOptions dispatcherOptions)
        : document(std::move(serviceDocument))
        , options(std::move(dispatcherOptions))
    {
    }

    void arrive(base::MonotonicTime now, const Request& request);
    void finish(base::MonotonicTime now, const AttemptResult& result);
    void cancel(base::MonotonicTime now, RequestId request);
    void updateBackends(const std::vector<BackendView>& backends);
    void updateSlots(const std::vector<SlotLimit>& limits);
    void expire(base::MonotonicTime now);
    void dispatchAll(base::MonotonicTime now);

    Actions takeActions() { return std::exchange(m_actions, {}); }

    document::ServiceDocument document;
    DispatcherOptions options;
    std::unordered_map<RequestId, PendingRequest> requests;
    std::unordered_map<AttemptId, RequestId> attempts;
    std::deque<RequestId> queue;
    std::size_t queued = 0;
    std::set<std::pair<base::MonotonicTime, RequestId>> deadlines;
    std::map<base::BackendId, Backend> backends;

private:
    void conclude(PendingRequest& request, Outcome outcome, ConcludeReason reason);
    void endAttempt(PendingRequest& request);
    void forget(PendingRequest& request);
    Backend* chooseBackend(base::MonotonicTime now);

    Actions m_actions;
    AttemptId m_lastAttempt = 0;
};

void Dispatcher::Core::arrive(base::MonotonicTime now, const Request& request)
{
    constexpr base::Milliseconds retryAfter { 1000 };
    if (request.kind >= document.requests.size()) {
        m_actions.emplace_back(Refuse { request.id, RefuseReason::UnknownKind, retryAfter });
        return;
    }
    if (queued >= document.limits.maxQueued) {
        m_actions.emplace_back(Refuse { request.id, RefuseReason::QueueFull, retryAfter });
        return;
    }
    const auto& kind = document.requests[request.kind];
    PendingRequest pending { request.id, request.deadline.value_or(now + kind.deadline), kind.isIdempotent, 0, {}, 0 };
    deadlines.insert({ pending.deadline, pending.id });
    requests.emplace(pending.id, pending);
    queue.push_back(pending.id);
    ++queued;
}

void Dispatcher::Core::finish(base::MonotonicTime, const AttemptResult& result)
{
    const auto attempt = attempts.find(result.attempt);
    if (attempt == attempts.end()) {
        return;
    }
    auto& request = requests.at(attempt->second);
    switch (result.end) {
    case AttemptEnd::Answered:
        return conclude(request, Outcome::Executed, ConcludeReason::Answered);
    case AttemptEnd::ServerError:
        return conclude(request, Outcome::Executed, ConcludeReason::ServerError);
    case AttemptEnd::Refused:
        return conclude(request, Outcome::NotExecuted, ConcludeReason::BackendRefused);
    case AttemptEnd::ConnectFailed:
        return conclude(request, Outcome::NotExecuted, ConcludeReason::ConnectFailed);
    case AttemptEnd::Broken:
        return conclude(request, Outcome::Unknown, ConcludeReason::ConnectionBroken);
    }
}

void Dispatcher::Core::cancel(base::MonotonicTime, RequestId id)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    auto& request = found->second;
    const bool isRunning = request.attempt != 0;
    if (isRunning) {
        m_actions.emplace_back(Abort { id, request.attempt, AbortReason::ClientGone });
    }
    conclude(request, isRunning ? Outcome::Unknown : Outcome::NotExecuted, ConcludeReason::ClientGone);
}

void Dispatcher::Core::updateBackends(const std::vector<BackendView>& views)
{
    for (auto& [id, backend] : backends) {
        backend.view.reset();
    }
    for (const auto& view : views) {
        backends[view.backend].view = view;
    }
    std::erase_if(backends, [](const auto& each) { return !each.second.view && each.second.inFlight == 0; });
}

void Dispatcher::Core::updateSlots(const std::vector<SlotLimit>& limits)
{
    for (auto& [id, backend] : backends) {
        backend.limit = 0;
    }
    for (const auto& limit : limits) {
        if (const auto backend = backends.find(limit.backend); backend != backends.end()) {
            backend->second.limit = limit.limit;
        }
    }
}

void Dispatcher::Core::expire(base::MonotonicTime now)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        auto& request = requests.at(deadlines.begin()->second);
        if (request.attempt != 0) {
            m_actions.emplace_back(Abort { request.id, request.attempt, AbortReason::DeadlinePassed });
            conclude(request, Outcome::Unknown, ConcludeReason::DeadlinePassed);
        } else {
            m_actions.emplace_back(Refuse { request.id, RefuseReason::DeadlinePassed, base::Milliseconds(1000) });
            forget(request);
        }
    }
}

void Dispatcher::Core::dispatchAll(base::MonotonicTime now)
{
    while (!queue.empty()) {
        const auto found = requests.find(queue.front());
        if (found == requests.end()) {
            queue.pop_front();
            continue;
        }
        auto* backend = chooseBackend(now);
        if (backend == nullptr) {
            return;
        }
        auto& request = found->second;
        queue.pop_front();
        --queued;
        request.attempt = ++m_lastAttempt;
        request.backend = backend->view->backend;
        ++request.attempts;
        ++backend->inFlight;
        attempts.emplace(request.attempt, request.id);
        m_actions.emplace_back(Dispatch { request.id, request.attempt, request.backend, backend->view->endpoint,
            request.deadline, DispatchReason::FirstAttempt });
    }
}

Backend* Dispatcher::Core::chooseBackend(base::MonotonicTime now)
{
    Backend* best = nullptr;
    for (auto& [id, backend] : backends) {
        const bool takesWork = backend.view && backend.view->leaseDeadline > now && backend.inFlight < backend.limit
            && backend.inFlight < backend.view->connections
            && (backend.view->phase == BackendPhase::InService || backend.view->phase == BackendPhase::SlowStart);
        if (takesWork && (best == nullptr || backend.inFlight < best->inFlight)) {
            best = &backend;
        }
    }
    return best;
}

void Dispatcher::Core::conclude(PendingRequest& request, Outcome outcome, ConcludeReason reason)
{
    m_actions.emplace_back(Conclude { request.id, outcome, reason, request.attempt });
    forget(request);
}

void Dispatcher::Core::endAttempt(PendingRequest& request)
{
    if (request.attempt == 0) {
        --queued;
        return;
    }
    attempts.erase(request.attempt);
    const auto backend = backends.find(request.backend);
    --backend->second.inFlight;
    if (!backend->second.view && backend->second.inFlight == 0) {
        backends.erase(backend);
    }
}

void Dispatcher::Core::forget(PendingRequest& request)
{
    endAttempt(request);
    deadlines.erase({ request.deadline, request.id });
    requests.erase(request.id);
}

Dispatcher::Dispatcher(document::ServiceDocument document, DispatcherOptions options, base::Random)
    : m_core(std::make_unique<Core>(std::move(document), std::move(options)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Actions Dispatcher::arrive(base::MonotonicTime now, const Request& request)
{
    m_core->expire(now);
    m_core->arrive(now, request);
    m_core->dispatchAll(now);
    return m_core->takeActions();
}

Actions Dispatcher::finish(base::MonotonicTime now, const AttemptResult& result)
{
    m_core->finish(now, result);
    m_core->expire(now);
    m_core->dispatchAll(now);
    return m_core->takeActions();
}

Actions Dispatcher::cancel(base::MonotonicTime now, RequestId request)
{
    m_core->cancel(now, request);
    m_core->expire(now);
    m_core->dispatchAll(now);
    return m_core->takeActions();
}

Actions Dispatcher::updateDocument(base::MonotonicTime now, document::ServiceDocument document)
{
    m_core->document = std::move(document);
    return tick(now);
}

Actions Dispatcher::updateBackends(base::MonotonicTime now, const std::vector<BackendView>& backends)
{
    m_core->updateBackends(backends);
    return tick(now);
}

Actions Dispatcher::updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits)
{
    m_core->updateSlots(limits);
    return tick(now);
}

Actions Dispatcher::tick(base::MonotonicTime now)
{
    m_core->expire(now);
    m_core->dispatchAll(now);
    return m_core->takeActions();
}

std::optional<base::MonotonicTime> Dispatcher::nextDeadline() const
{
    return m_core->deadlines.empty() ? std::nullopt : std::optional(m_core->deadlines.begin()->first);
}

std::size_t Dispatcher::queued() const { return m_core->queued; }

std::size_t Dispatcher::inFlight() const { return m_core->attempts.size(); }

std::vector<BackendUsage> Dispatcher::usage() const
{
    std::vector<BackendUsage> usage;
    for (const auto& [id, backend] : m_core->backends) {
        usage.push_back({ id, backend.inFlight, backend.limit });
    }
    return usage;
}

std::vector<SlotLimit> fixedSplit(const std::vector<BackendView>& backends, std::size_t entryNodes)
{
    std::vector<SlotLimit> limits;
    std::ranges::transform(backends, std::back_inserter(limits), [&](const auto& view) {
        return SlotLimit { view.backend,
            static_cast<std::uint32_t>(view.slots / std::max<std::size_t>(entryNodes, 1)) };
    });
    return limits;
}

} // namespace crocuscove::routing
