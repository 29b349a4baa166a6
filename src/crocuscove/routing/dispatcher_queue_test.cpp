#include "crocuscove/routing/dispatcher.h"

#include "crocuscove/routing/test_support.h"

#include <gtest/gtest.h>

#include <map>

namespace crocuscove::routing {
namespace {

using document::WorkClass;
using testing::at;
using testing::kind;
using testing::only;
using testing::serviceDocument;
using testing::view;

/// Runs every dispatched request for the run time of its kind, in virtual time.
class Driver {
public:
    Driver(std::vector<document::RequestKind> kinds, std::uint32_t slots, std::vector<std::int64_t> runTimesMs)
        : m_runTimesMs(std::move(runTimesMs))
        , dispatcher(documentOf(std::move(kinds)), {}, base::Random(7))
    {
        const std::vector views { view("b1", slots) };
        apply(dispatcher.updateBackends(at(0), views));
        apply(dispatcher.updateSlots(at(0), fixedSplit(views, 1)));
    }

    void arrive(std::int64_t now, std::size_t kindIndex, const std::string& client)
    {
        advance(now);
        const auto id = ++m_lastRequest;
        m_requests[id] = { kindIndex, client, now };
        apply(dispatcher.arrive(at(now), { id, kindIndex, base::TeamId(client), {} }));
    }

    void advance(std::int64_t until)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= until) {
            const auto [moment, attempt] = *m_ends.begin();
            m_ends.erase(m_ends.begin());
            m_now = moment;
            apply(dispatcher.finish(at(moment), { attempt, AttemptEnd::Answered }));
        }
        m_now = until;
        apply(dispatcher.tick(at(until)));
    }

    [[nodiscard]] int dispatched(const std::string& client) const
    {
        return m_byClient.contains(client) ? m_byClient.at(client) : 0;
    }
    [[nodiscard]] int dispatched(std::size_t kindIndex) const
    {
        return m_byKind.contains(kindIndex) ? m_byKind.at(kindIndex) : 0;
    }
    [[nodiscard]] std::int64_t longestWait(std::size_t kindIndex) const
    {
        return m_longestWait.contains(kindIndex) ? m_longestWait.at(kindIndex) : -1;
    }

private:
    struct Sent {
        std::size_t kindIndex = 0;
        std::string client;
        std::int64_t arrived = 0;
    };

    static document::ServiceDocument documentOf(std::vector<document::RequestKind> kinds)
    {
        auto document = serviceDocument(std::move(kinds));
        for (std::size_t i = 0; i < document.requests.size(); ++i) {
            document.requests[i].name = "kind" + std::to_string(i);
        }
        document.limits.maxInFlightPerClient = 100000;
        document.limits.maxQueued = 100000;
        document.queue.clientShares = { { base::TeamId("heavy"), 3 } };
        return document;
    }

    void apply(const Actions& actions)
    {
        std::ranges::copy(only<Refuse>(actions), std::back_inserter(refused));
        for (const auto& dispatch : only<Dispatch>(actions)) {
            const auto& sent = m_requests.at(dispatch.request);
            m_ends.insert({ m_now + m_runTimesMs[sent.kindIndex], dispatch.attempt });
            ++m_byClient[sent.client];
            ++m_byKind[sent.kindIndex];
            auto& longest = m_longestWait[sent.kindIndex];
            longest = std::max(longest, m_now - sent.arrived);
        }
    }

    std::int64_t m_now = 0;
    std::vector<std::int64_t> m_runTimesMs;
    RequestId m_lastRequest = 0;
    std::map<RequestId, Sent> m_requests;
    std::set<std::pair<std::int64_t, AttemptId>> m_ends;
    std::map<std::string, int> m_byClient;
    std::map<std::size_t, int> m_byKind;
    std::map<std::size_t, std::int64_t> m_longestWait;

public:
    std::vector<Refuse> refused;
    Dispatcher dispatcher;
};

// Guards against a client that sends much taking the slots of one that sends little, and against ignored weights.
TEST(DispatcherQueue, SharesSlotsByWeight)
{
    Driver driver({ kind(WorkClass::Short, 3600000, true) }, 4, { 10 });
    for (int i = 0; i < 4000; ++i) {
        driver.arrive(0, 0, "light");
    }
    for (int i = 0; i < 1500; ++i) {
        driver.arrive(0, 0, "heavy");
    }
    const int before = driver.dispatched("light");
    driver.advance(2000);
    const int light = driver.dispatched("light") - before;
    const int heavy = driver.dispatched("heavy");
    EXPECT_GT(light + heavy, 780);
    EXPECT_NEAR(heavy / static_cast<double>(light + heavy), 0.75, 0.05);
}

// Guards against short work waiting behind long work that holds every slot.
TEST(DispatcherQueue, KeepsSlotsForShortWork)
{
    Driver driver({ kind(WorkClass::Long, 3600000, true), kind(WorkClass::Short, 1000, true) }, 8, { 5000, 10 });
    for (int i = 0; i < 100; ++i) {
        driver.arrive(0, 0, "a");
    }
    EXPECT_EQ(driver.dispatched(std::size_t { 0 }), 6);
    driver.arrive(1, 1, "b");
    EXPECT_EQ(driver.longestWait(1), 0);
}

// Guards against patient and long work that never runs while short work fills every slot.
TEST(DispatcherQueue, StarvesNoClass)
{
    Driver driver({ kind(WorkClass::Short, 1000, true), kind(WorkClass::Long, 3600000, true),
                      kind(WorkClass::Patient, 86400000, true) },
        2, { 10, 10, 10 });
    for (int i = 0; i < 10; ++i) {
        driver.arrive(0, 1, "a");
        driver.arrive(0, 2, "a");
    }
    for (std::int64_t now = 0; now < 60000; now += 2) {
        driver.arrive(now, 0, "b");
    }
    EXPECT_EQ(driver.dispatched(std::size_t { 1 }), 10);
    EXPECT_EQ(driver.dispatched(std::size_t { 2 }), 10);
}

// Guards against a client that waits for an answer which can't come in time.
TEST(DispatcherQueue, RefusesWhatCannotMeetItsDeadline)
{
    Driver driver({ kind(WorkClass::Short, 500, true) }, 1, { 100 });
    for (std::int64_t i = 0; i < 20; ++i) {
        driver.arrive(i * 200, 0, "a");
    }
    ASSERT_TRUE(driver.refused.empty());
    for (int i = 0; i < 10; ++i) {
        driver.arrive(10000, 0, "a");
    }
    EXPECT_GE(driver.refused.size(), 5U);
    EXPECT_LE(driver.refused.size(), 7U);
    EXPECT_EQ(driver.refused.front().reason, RefuseReason::DeadlineUnreachable);
    const auto atOnce = driver.refused.size();
    driver.advance(20000);
    EXPECT_EQ(driver.refused.size(), atOnce);
}

// Guards against a kind that declares short but runs long holding the slots kept for short work.
TEST(DispatcherQueue, LearnsClassFromRunTimes)
{
    Driver driver({ kind(WorkClass::Short, 3600000, true), kind(WorkClass::Short, 1000, true) }, 8, { 3000, 10 });
    for (std::int64_t i = 0; i < 40; ++i) {
        driver.arrive(i * 3000, 0, "a");
    }
    const int before = driver.dispatched(std::size_t { 0 });
    for (int i = 0; i < 100; ++i) {
        driver.arrive(200000, 0, "a");
    }
    EXPECT_EQ(driver.dispatched(std::size_t { 0 }) - before, 6);
    driver.arrive(200001, 1, "b");
    EXPECT_EQ(driver.longestWait(1), 0);
}

// Guards against long work that fills the queue so that short work is refused.
TEST(DispatcherQueue, KeepsQueueForShortWork)
{
    auto document = serviceDocument({ kind(WorkClass::Long, 3600000, true), kind(WorkClass::Short, 1000, true) });
    document.limits = { 1024, 8, 1000 };
    Dispatcher dispatcher(document, {}, base::Random(1));
    EXPECT_TRUE(dispatcher.updateBackends(at(0), { view("b1", 1) }).empty());
    for (RequestId id = 1; id <= 20; ++id) {
        const auto refused = only<Refuse>(dispatcher.arrive(at(0), { id, 0, {}, {} }));
        EXPECT_EQ(refused.empty(), id <= 6) << id;
    }
    EXPECT_TRUE(dispatcher.arrive(at(0), { 100, 1, {}, {} }).empty());
}

// Guards against a first request that waits for slots, is sent just before its deadline, and is then told "unknown".
TEST(DispatcherStart, DoesNotSendAnUnknownKindJustBeforeItsDeadline)
{
    Dispatcher dispatcher(serviceDocument({ kind(WorkClass::Short, 2000, true) }), {}, base::Random(7));
    const std::vector views { view("b1", 8) };
    EXPECT_TRUE(only<Dispatch>(dispatcher.updateBackends(at(0), views)).empty());
    EXPECT_TRUE(only<Dispatch>(dispatcher.arrive(at(0), { 1, 0, base::TeamId("shops"), {} })).empty());
    const auto actions = dispatcher.updateSlots(at(1990), fixedSplit(views, 1));
    EXPECT_TRUE(only<Dispatch>(actions).empty());
    ASSERT_EQ(only<Refuse>(actions).size(), 1U);
    EXPECT_EQ(only<Refuse>(actions).front().reason, RefuseReason::DeadlineUnreachable);
}

} // namespace
} // namespace crocuscove::routing
