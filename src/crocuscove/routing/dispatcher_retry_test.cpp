#include "crocuscove/routing/dispatcher.h"

#include "crocuscove/routing/test_support.h"

#include <gtest/gtest.h>

namespace crocuscove::routing {
namespace {

using document::WorkClass;
using testing::at;
using testing::kind;
using testing::only;
using testing::serviceDocument;
using testing::view;

Dispatcher dispatcher(bool isIdempotent, const std::vector<BackendView>& views)
{
    Dispatcher dispatcher(serviceDocument({ kind(WorkClass::Short, 1000, isIdempotent) }), {}, base::Random(3));
    EXPECT_TRUE(dispatcher.updateBackends(at(0), views).empty());
    EXPECT_TRUE(dispatcher.updateSlots(at(0), fixedSplit(views, 1)).empty());
    return dispatcher;
}

Dispatch first(Dispatcher& routing)
{
    const auto dispatches = only<Dispatch>(routing.arrive(at(0), { 1, 0, {}, {} }));
    EXPECT_EQ(dispatches.size(), 1U);
    return dispatches.at(0);
}

// Guards against executing a non-idempotent request twice, and against reporting it as not executed.
TEST(DispatcherRetry, NeverRepeatsWhatMayHaveRun)
{
    for (const auto end : { AttemptEnd::Broken, AttemptEnd::ServerError }) {
        auto routing = dispatcher(false, { view("b1"), view("b2") });
        const auto conclusions = only<Conclude>(routing.finish(at(1), { first(routing).attempt, end }));
        ASSERT_EQ(conclusions.size(), 1U);
        EXPECT_NE(conclusions[0].outcome, Outcome::NotExecuted);
    }
}

// Guards against giving up on a request that was certainly not executed, and against a retry at the same backend
// server.
TEST(DispatcherRetry, RepeatsWhatDidNotStartElsewhere)
{
    for (const auto end : { AttemptEnd::Refused, AttemptEnd::ConnectFailed }) {
        auto routing = dispatcher(false, { view("b1"), view("b2") });
        const auto dispatch = first(routing);
        EXPECT_TRUE(routing.finish(at(1), { dispatch.attempt, end }).empty());
        EXPECT_EQ(routing.queued(), 1U);
        const auto again = only<Dispatch>(routing.tick(at(10)));
        ASSERT_EQ(again.size(), 1U);
        EXPECT_EQ(again[0].reason, DispatchReason::Retry);
        EXPECT_NE(again[0].backend, dispatch.backend);
    }
}

// Guards against a retry in the rack that just failed while another rack has free slots.
TEST(DispatcherRetry, PrefersOtherFailureDomain)
{
    std::vector views { view("b1"), view("b2"), view("b3"), view("b4") };
    for (std::size_t i = 0; i < views.size(); ++i) {
        views[i].dataCentre = base::DataCentreId("dc");
        views[i].rack = base::RackId(i < 2 ? "r1" : "r2");
    }
    for (int round = 0; round < 20; ++round) {
        auto routing = dispatcher(true, views);
        const auto dispatch = first(routing);
        EXPECT_TRUE(routing.finish(at(1), { dispatch.attempt, AttemptEnd::Broken }).empty());
        const auto again = only<Dispatch>(routing.tick(at(10)));
        ASSERT_EQ(again.size(), 1U);
        const auto isFirstRack = [](const auto& backend) { return backend.text() < "b3"; };
        EXPECT_NE(isFirstRack(dispatch.backend), isFirstRack(again[0].backend));
    }
}

// Guards against retrying a request whose client has disconnected.
TEST(DispatcherRetry, StopsWhenClientIsGone)
{
    auto routing = dispatcher(true, { view("b1"), view("b2") });
    EXPECT_TRUE(routing.finish(at(1), { first(routing).attempt, AttemptEnd::Broken }).empty());
    const auto conclusions = only<Conclude>(routing.cancel(at(2), 1));
    ASSERT_EQ(conclusions.size(), 1U);
    EXPECT_EQ(conclusions[0].outcome, Outcome::Unknown);
    EXPECT_TRUE(routing.tick(at(900)).empty());
}

// Guards against reporting "not-executed" for a request whose first attempt may have been executed.
TEST(DispatcherRetry, RemembersThatAnAttemptMayHaveRun)
{
    auto routing = dispatcher(true, { view("b1"), view("b2") });
    EXPECT_TRUE(routing.finish(at(1), { first(routing).attempt, AttemptEnd::Broken }).empty());
    const auto again = only<Dispatch>(routing.tick(at(10)));
    ASSERT_EQ(again.size(), 1U);
    const auto conclusions = only<Conclude>(routing.finish(at(11), { again[0].attempt, AttemptEnd::ConnectFailed }));
    ASSERT_EQ(conclusions.size(), 1U);
    EXPECT_EQ(conclusions[0].outcome, Outcome::Unknown);
}

// Guards against retries that multiply the load of a service whose backend servers all fail.
TEST(DispatcherRetry, KeepsToItsBudget)
{
    auto routing = dispatcher(true, { view("b1"), view("b2"), view("b3") });
    int firsts = 0;
    int retries = 0;
    std::vector<AttemptId> open;
    const auto count = [&](const Actions& actions) {
        for (const auto& dispatch : only<Dispatch>(actions)) {
            ++(dispatch.reason == DispatchReason::Retry ? retries : firsts);
            open.push_back(dispatch.attempt);
        }
    };
    for (std::int64_t i = 0; i < 2000; ++i) {
        count(routing.arrive(at(i * 10), { static_cast<RequestId>(i + 1), 0, {}, {} }));
        count(routing.tick(at(i * 10 + 9)));
        for (const auto attempt : std::exchange(open, {})) {
            count(routing.finish(at(i * 10 + 9), { attempt, AttemptEnd::ServerError }));
        }
    }
    EXPECT_GT(retries, 100);
    EXPECT_LE(retries, 0.1 * firsts + 10);
}

} // namespace
} // namespace crocuscove::routing
