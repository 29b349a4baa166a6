#include "routing/router.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace crocuscove::bench {
namespace {

using namespace routing;

class DispatcherRouter : public Router {
public:
    DispatcherRouter(const document::ServiceDocument& document, const DispatcherOptions& options, std::uint64_t seed)
        : m_dispatcher(document, options, base::Random(seed))
    {
    }

    Actions arrive(base::MonotonicTime now, const Request& request) override
    {
        return m_dispatcher.arrive(now, request);
    }
    Actions finish(base::MonotonicTime now, const AttemptResult& result) override
    {
        return m_dispatcher.finish(now, result);
    }
    Actions updateBackends(base::MonotonicTime now, const std::vector<BackendView>& views) override
    {
        return m_dispatcher.updateBackends(now, views);
    }
    Actions updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits) override
    {
        return m_dispatcher.updateSlots(now, limits);
    }
    Actions tick(base::MonotonicTime now) override { return m_dispatcher.tick(now); }
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const override
    {
        return m_dispatcher.nextDeadline();
    }
    [[nodiscard]] std::size_t queued() const override { return m_dispatcher.queued(); }
    [[nodiscard]] std::vector<BackendUsage> usage() const override { return m_dispatcher.usage(); }

private:
    Dispatcher m_dispatcher;
};

class BaselineRouter : public Router {
public:
    explicit BaselineRouter(const document::ServiceDocument& document)
        : m_document(document)
    {
    }

    Actions arrive(base::MonotonicTime now, const Request& request) override
    {
        if (m_queue.size() >= m_document.limits.maxQueued) {
            return { Refuse { request.id, RefuseReason::QueueFull, base::Milliseconds(1000) } };
        }
        const auto deadline = request.deadline.value_or(now + m_document.requests.at(request.kind).deadline);
        m_queue.push_back(request.id);
        m_requests[request.id] = { deadline, 0, {} };
        m_deadlines.insert({ deadline, request.id });
        return run(now);
    }

    Actions finish(base::MonotonicTime now, const AttemptResult& result) override
    {
        const auto attempt = m_attempts.find(result.attempt);
        if (attempt == m_attempts.end()) {
            return {};
        }
        const auto id = attempt->second;
        const bool hasRun = result.end == AttemptEnd::Answered || result.end == AttemptEnd::ServerError;
        m_actions.emplace_back(Conclude { id, hasRun ? Outcome::Executed : Outcome::Unknown,
            result.end == AttemptEnd::Answered ? ConcludeReason::Answered : ConcludeReason::ServerError,
            result.attempt });
        forget(id);
        return run(now);
    }

    Actions updateBackends(base::MonotonicTime now, const std::vector<BackendView>& views) override
    {
        m_views = views;
        return run(now);
    }

    Actions updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits) override
    {
        for (const auto& limit : limits) {
            m_slots[limit.backend].limit = limit.limit;
        }
        return run(now);
    }

    Actions tick(base::MonotonicTime now) override { return run(now); }
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const override
    {
        return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
    }
    [[nodiscard]] std::size_t queued() const override { return m_queue.size(); }
    [[nodiscard]] std::vector<BackendUsage> usage() const override
    {
        std::vector<BackendUsage> usage;
        for (const auto& [backend, slots] : m_slots) {
            usage.push_back({ backend, slots.inFlight, slots.limit });
        }
        return usage;
    }

private:
    struct Pending {
        base::MonotonicTime deadline;
        AttemptId attempt = 0;
        base::BackendId backend;
    };

    Actions run(base::MonotonicTime now)
    {
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const auto id = m_deadlines.begin()->second;
            const auto attempt = m_requests.at(id).attempt;
            if (attempt != 0) {
                m_actions.emplace_back(Abort { id, attempt, AbortReason::DeadlinePassed });
                m_actions.emplace_back(Conclude { id, Outcome::Unknown, ConcludeReason::DeadlinePassed, 0 });
            } else {
                m_actions.emplace_back(Refuse { id, RefuseReason::DeadlinePassed, base::Milliseconds(1000) });
                std::erase(m_queue, id);
            }
            forget(id);
        }
        while (!m_queue.empty()) {
            const auto* view = nextFree();
            if (view == nullptr) {
                break;
            }
            const auto id = m_queue.front();
            m_queue.pop_front();
            auto& request = m_requests.at(id);
            request.attempt = ++m_lastAttempt;
            request.backend = view->backend;
            m_attempts[request.attempt] = id;
            ++m_slots[view->backend].inFlight;
            m_actions.emplace_back(Dispatch {
                id, request.attempt, view->backend, view->endpoint, request.deadline, DispatchReason::FirstAttempt });
        }
        return std::exchange(m_actions, {});
    }

    const BackendView* nextFree()
    {
        for (std::size_t i = 0; i < m_views.size(); ++i) {
            const auto& view = m_views[m_turn++ % m_views.size()];
            const auto& slots = m_slots[view.backend];
            if (slots.inFlight < slots.limit) {
                return &view;
            }
        }
        return nullptr;
    }

    void forget(RequestId id)
    {
        const auto& request = m_requests.at(id);
        if (request.attempt != 0) {
            --m_slots[request.backend].inFlight;
            m_attempts.erase(request.attempt);
        }
        m_deadlines.erase({ request.deadline, id });
        m_requests.erase(id);
    }

    document::ServiceDocument m_document;
    std::vector<BackendView> m_views;
    std::map<base::BackendId, BackendUsage> m_slots;
    std::size_t m_turn = 0;
    std::deque<RequestId> m_queue;
    std::map<RequestId, Pending> m_requests;
    std::map<AttemptId, RequestId> m_attempts;
    std::set<std::pair<base::MonotonicTime, RequestId>> m_deadlines;
    AttemptId m_lastAttempt = 0;
    Actions m_actions;
};

} // namespace

std::unique_ptr<Router> dispatcherRouter(
    const document::ServiceDocument& document, const DispatcherOptions& options, std::uint64_t seed)
{
    return std::make_unique<DispatcherRouter>(document, options, seed);
}

std::unique_ptr<Router> baselineRouter(const document::ServiceDocument& document)
{
    return std::make_unique<BaselineRouter>(document);
}

} // namespace crocuscove::bench
