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

Dispatcher dispatcher(std::vector<document::RequestKind> kinds, const std::vector<BackendView>& backends)
{
    Dispatcher dispatcher(serviceDocument(std::move(kinds)), {}, base::Random(1));
    EXPECT_TRUE(dispatcher.updateBackends(at(0), backends).empty());
    EXPECT_TRUE(dispatcher.updateSlots(at(0), fixedSplit(backends, 1)).empty());
    return dispatcher;
}

// Guards against more requests at a backend server than this node's slots there.
TEST(Dispatcher, QueuesBeyondSlots)
{
    auto routing = dispatcher({ kind(WorkClass::Short, 1000, true) }, { view("b1", 1) });
    const auto first = only<Dispatch>(routing.arrive(at(0), { 1, 0, {}, {} }));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(routing.arrive(at(0), { 2, 0, {}, {} }).empty());
    const auto next = routing.finish(at(10), { first[0].attempt, AttemptEnd::Answered });
    ASSERT_EQ(only<Conclude>(next).size(), 1U);
    EXPECT_EQ(only<Conclude>(next)[0].outcome, Outcome::Executed);
    ASSERT_EQ(only<Dispatch>(next).size(), 1U);
    EXPECT_EQ(only<Dispatch>(next)[0].request, 2U);
}

// Guards against a client that waits past its deadline, and against telling it that a started request did not run.
TEST(Dispatcher, ConcludesAtDeadline)
{
    auto routing = dispatcher({ kind(WorkClass::Short, 1000, false) }, { view("b1", 1) });
    EXPECT_EQ(only<Dispatch>(routing.arrive(at(0), { 1, 0, {}, {} })).size(), 1U);
    EXPECT_TRUE(routing.arrive(at(0), { 2, 0, {}, {} }).empty());
    EXPECT_EQ(routing.nextDeadline(), at(1000));
    const auto actions = routing.tick(at(1000));
    ASSERT_EQ(only<Conclude>(actions).size(), 1U);
    EXPECT_EQ(only<Conclude>(actions)[0].outcome, Outcome::Unknown);
    EXPECT_EQ(only<Abort>(actions).size(), 1U);
    ASSERT_EQ(only<Refuse>(actions).size(), 1U);
    EXPECT_EQ(only<Refuse>(actions)[0].reason, RefuseReason::DeadlinePassed);
}

// Guards against a backend server without slots being left out of the reported use, so that none are asked for.
TEST(Dispatcher, ReportsUseOfEveryBackend)
{
    Dispatcher routing(serviceDocument({ kind(WorkClass::Short, 1000, true) }), {}, base::Random(1));
    EXPECT_TRUE(routing.updateBackends(at(0), { view("b1"), view("b2") }).empty());
    EXPECT_EQ(routing.usage().size(), 2U);
}

// Guards against executing requests of a client that has disconnected.
TEST(Dispatcher, CancelsQueuedAndRunning)
{
    auto routing = dispatcher({ kind(WorkClass::Short, 1000, true) }, { view("b1", 1) });
    EXPECT_EQ(routing.arrive(at(0), { 1, 0, {}, {} }).size(), 1U);
    EXPECT_TRUE(routing.arrive(at(0), { 2, 0, {}, {} }).empty());
    EXPECT_EQ(only<Conclude>(routing.cancel(at(1), 2)).size(), 1U);
    const auto actions = routing.cancel(at(1), 1);
    EXPECT_EQ(only<Abort>(actions).size(), 1U);
    EXPECT_EQ(only<Dispatch>(actions).size(), 0U);
    EXPECT_TRUE(routing.cancel(at(2), 1).empty());
}

} // namespace
} // namespace crocuscove::routing
