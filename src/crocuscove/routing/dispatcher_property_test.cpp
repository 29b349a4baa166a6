#include "crocuscove/routing/dispatcher.h"

#include "crocuscove/routing/test_support.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace crocuscove::routing {
namespace {

using document::WorkClass;
using testing::kind;
using testing::serviceDocument;

constexpr std::uint32_t maxQueued = 12;
constexpr std::uint32_t maxInFlightPerClient = 9;
constexpr std::int64_t attemptEnds = 5;

document::ServiceDocument boundedDocument()
{
    auto document = serviceDocument({ kind(WorkClass::Short, 300, true), kind(WorkClass::Short, 300, false),
        kind(WorkClass::Long, 2000, true), kind(WorkClass::Patient, 60000, false) });
    for (std::size_t i = 0; i < document.requests.size(); ++i) {
        document.requests[i].name = "kind" + std::to_string(i);
    }
    document.limits.maxQueued = maxQueued;
    document.limits.maxInFlightPerClient = maxInFlightPerClient;
    return document;
}

struct RequestRecord {
    bool isIdempotent = false;
    bool isConcluded = false;
    bool isGone = false;
    bool mayHaveRun = false;
    std::size_t client = 0;
    std::uint32_t dispatches = 0;
    /// Results of the finished attempts. The last attempt is running while there are fewer results than dispatches.
    std::vector<AttemptEnd> ends;
};

struct OpenAttempt {
    RequestId request = 0;
    std::string backend;
};

/// Drives a dispatcher with random events and checks every action against a model of the requests and backend servers.
class History {
public:
    explicit History(std::uint64_t seed)
        : m_dispatcher(boundedDocument(), {}, base::Random(seed))
    {
        for (const auto* name : { "b0", "b1", "b2", "b3" }) {
            m_views.push_back(testing::view(name));
            m_limits.push_back({ base::BackendId(name), 2 });
        }
        apply(m_dispatcher.updateBackends(m_now, m_views));
        apply(m_dispatcher.updateSlots(m_now, m_limits));
    }

    void step(std::uint32_t event)
    {
        const auto detail = event / 16;
        switch (event % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
        case 5:
            return arrive(detail);
        case 6:
        case 7:
        case 8:
        case 9:
            return finish(detail);
        case 10:
            return cancel(detail);
        case 11:
            return changeBackend(detail);
        case 12:
            return changeSlots(detail);
        default:
            return wait(base::Microseconds(detail % 200000));
        }
    }

    /// Finishes every attempt, advances the time past every deadline, and checks that nothing is left.
    void drain()
    {
        while (!m_attempts.empty()) {
            finish(0);
        }
        wait(base::Milliseconds(120000));
        while (!m_attempts.empty()) {
            finish(0);
        }
        for (const auto& [id, record] : m_records) {
            RC_ASSERT(record.isConcluded);
        }
        RC_ASSERT(m_dispatcher.queued() == 0U);
        RC_ASSERT(m_dispatcher.inFlight() == 0U);
    }

private:
    void arrive(std::uint32_t detail)
    {
        const auto id = ++m_lastRequest;
        const std::size_t kindIndex = detail % 4;
        const std::size_t client = detail / 4 % 3;
        m_records[id] = { kindIndex == 0 || kindIndex == 2, false, false, false, client, 0, {} };
        apply(m_dispatcher.arrive(m_now, { id, kindIndex, base::TeamId("t" + std::to_string(client)), {} }));
    }

    void finish(std::uint32_t detail)
    {
        if (m_attempts.empty()) {
            return;
        }
        const auto attempt = std::next(m_attempts.begin(), static_cast<std::ptrdiff_t>(detail % m_attempts.size()));
        const auto end = static_cast<AttemptEnd>(detail / 8 % attemptEnds);
        const auto id = attempt->first;
        auto& record = m_records.at(attempt->second.request);
        record.ends.push_back(end);
        record.mayHaveRun |= end != AttemptEnd::Refused && end != AttemptEnd::ConnectFailed;
        m_attempts.erase(attempt);
        apply(m_dispatcher.finish(m_now, { id, end }));
        // A second report of the same attempt must not count.
        apply(m_dispatcher.finish(m_now, { id, AttemptEnd::Answered }));
    }

    void cancel(std::uint32_t detail)
    {
        const RequestId id = detail % (m_lastRequest + 1);
        if (const auto record = m_records.find(id); record != m_records.end()) {
            record->second.isGone = true;
        }
        apply(m_dispatcher.cancel(m_now, id));
    }

    void changeBackend(std::uint32_t detail)
    {
        auto& view = m_views[detail % m_views.size()];
        view.phase = static_cast<BackendPhase>(detail / 4 % 5);
        view.slowStartSince = m_now;
        view.leaseDeadline = m_now + base::Milliseconds(detail / 32 % 8 == 0 ? 50 : 3000);
        apply(m_dispatcher.updateBackends(m_now, m_views));
    }

    void changeSlots(std::uint32_t detail)
    {
        auto& limit = m_limits[detail % m_limits.size()];
        limit.limit = detail / 4 % 4;
        limit.limitAfterDeadline = std::min(limit.limit, 1U);
        limit.deadline = m_now + base::Milliseconds(20);
        apply(m_dispatcher.updateSlots(m_now, m_limits));
    }

    void wait(base::Microseconds time)
    {
        const auto end = m_now + time;
        for (auto next = m_dispatcher.nextDeadline(); next && *next <= end; next = m_dispatcher.nextDeadline()) {
            m_now = std::max(m_now, *next);
            apply(m_dispatcher.tick(m_now));
            const auto after = m_dispatcher.nextDeadline();
            RC_ASSERT(!after || *after > m_now);
        }
        m_now = end;
    }

    void apply(const Actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([this](const auto& each) { take(each); }, action);
        }
        RC_ASSERT(m_dispatcher.queued() <= maxQueued);
        std::map<std::size_t, std::uint32_t> open;
        for (const auto& [id, record] : m_records) {
            open[record.client] += record.isConcluded ? 0 : 1;
            RC_ASSERT(open[record.client] <= maxInFlightPerClient);
        }
        const auto bound = DispatcherOptions().retryBurst + DispatcherOptions().retryBudget * m_firstDispatches;
        RC_ASSERT(m_retries <= bound + 1e-9);
    }

    void take(const Dispatch& dispatch)
    {
        auto& record = m_records.at(dispatch.request);
        RC_ASSERT(!record.isConcluded);
        RC_ASSERT(!record.isGone);
        RC_ASSERT(dispatch.deadline > m_now);
        RC_ASSERT(record.dispatches == record.ends.size());
        RC_ASSERT(record.isIdempotent || !record.mayHaveRun);
        const auto view = std::ranges::find(m_views, dispatch.backend, &BackendView::backend);
        RC_ASSERT(view->leaseDeadline > m_now);
        RC_ASSERT(view->phase != BackendPhase::Leaving && view->phase != BackendPhase::Ejected);
        RC_ASSERT(view->phase != BackendPhase::Probing || record.isIdempotent);
        const auto limit = std::ranges::find(m_limits, dispatch.backend, &SlotLimit::backend);
        const auto inFlight = std::ranges::count_if(
            m_attempts, [&](const auto& attempt) { return attempt.second.backend == dispatch.backend.text(); });
        const auto allowed = m_now < limit->deadline ? limit->limit : limit->limitAfterDeadline;
        RC_ASSERT(inFlight < static_cast<std::int64_t>(allowed));
        RC_ASSERT(
            m_attempts.emplace(dispatch.attempt, OpenAttempt { dispatch.request, dispatch.backend.text() }).second);
        (record.dispatches == 0 ? m_firstDispatches : m_retries) += 1;
        ++record.dispatches;
    }

    void take(const Refuse& refuse)
    {
        auto& record = m_records.at(refuse.request);
        RC_ASSERT(!record.mayHaveRun);
        RC_ASSERT(record.dispatches == record.ends.size());
        RC_ASSERT(refuse.retryAfter.count() > 0);
        conclude(record);
    }

    void take(const Conclude& conclusion)
    {
        auto& record = m_records.at(conclusion.request);
        RC_ASSERT(record.dispatches == record.ends.size());
        RC_ASSERT((conclusion.outcome == Outcome::NotExecuted) == !record.mayHaveRun);
        const bool hasRun = std::ranges::any_of(
            record.ends, [](auto end) { return end == AttemptEnd::Answered || end == AttemptEnd::ServerError; });
        RC_ASSERT((conclusion.outcome == Outcome::Executed) == hasRun);
        conclude(record);
    }

    void take(const Abort& abort)
    {
        auto& record = m_records.at(abort.request);
        record.ends.push_back(AttemptEnd::Broken);
        record.mayHaveRun = true;
        RC_ASSERT(m_attempts.erase(abort.attempt) == 1U);
    }

    static void conclude(RequestRecord& record)
    {
        RC_ASSERT(!record.isConcluded);
        record.isConcluded = true;
    }

    base::MonotonicTime m_now { base::Milliseconds(1000) };
    Dispatcher m_dispatcher;
    std::vector<BackendView> m_views;
    std::vector<SlotLimit> m_limits;
    RequestId m_lastRequest = 0;
    std::map<RequestId, RequestRecord> m_records;
    std::map<AttemptId, OpenAttempt> m_attempts;
    double m_firstDispatches = 0;
    double m_retries = 0;
};

// Guards against a request that is answered twice or never, a non-idempotent request that is executed twice, a wrong
// outcome "not-executed", dispatches to a leaving, ejected or expired backend server, and exceeded limits of slots,
// queues or retries.
RC_GTEST_PROP(DispatcherProperty, KeepsItsPromisesOverAnyHistory, (std::uint64_t seed))
{
    const auto length = *rc::gen::inRange<std::size_t>(1, 400);
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(length, rc::gen::arbitrary<std::uint32_t>());
    History history(seed);
    for (const auto event : events) {
        history.step(event);
    }
    history.drain();
}

} // namespace
} // namespace crocuscove::routing
