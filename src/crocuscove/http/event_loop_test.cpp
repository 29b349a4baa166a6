#include "crocuscove/http/event_loop.h"

#include "crocuscove/http/socket_testing.h"

#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>

namespace crocuscove::http {
namespace {

using testing::runUntil;

// Guards against timers that fire before their time, which would break deadlines.
TEST(EventLoopTest, TimersNeverFireEarly)
{
    EventLoop loop;
    int fired = 0;
    std::vector<Timer> timers;
    for (int index = 0; index < 50; ++index) {
        const auto when = base::monotonicNow() + base::Microseconds(index * 397);
        timers.push_back(loop.runAt(when, [&fired, when] {
            EXPECT_GE(base::monotonicNow(), when);
            ++fired;
        }));
    }
    EXPECT_TRUE(runUntil(loop, [&] { return fired == 50; }));
}

// Guards against callbacks that run after their handle is gone.
TEST(EventLoopTest, CancelledTimersNeverFire)
{
    EventLoop loop;
    bool isFired = false;
    Timer cancelled = loop.runAt(base::monotonicNow(), [&] { isFired = true; });
    cancelled.cancel();
    {
        const Timer destroyed = loop.runAt(base::monotonicNow(), [&] { isFired = true; });
    }
    bool isLastFired = false;
    const Timer last = loop.runAt(base::monotonicNow() + base::Milliseconds(5), [&] { isLastFired = true; });
    EXPECT_TRUE(runUntil(loop, [&] { return isLastFired; }));
    EXPECT_FALSE(isFired);
}

// Guards against use after free when a callback destroys or replaces its own handle.
TEST(EventLoopTest, CallbackMayDestroyItsHandle)
{
    EventLoop loop;
    int fired = 0;
    std::optional<Timer> timer;
    timer = loop.runEvery(base::Milliseconds(1), [&, text = std::string(100, 'x')] {
        timer.reset();
        fired += static_cast<int>(text.size());
    });
    EXPECT_TRUE(runUntil(loop, [&] { return fired == 100; }));
}

// Guards against a chain of posts that starves I/O.
TEST(EventLoopTest, PostingInTurnStarvesNoSocket)
{
    EventLoop loop;
    testing::RawServer server(loop);
    std::function<void()> again = [&] { loop.post(again); };
    loop.post(again);
    const testing::RawConnection client(loop, server.endpoint().port);
    EXPECT_TRUE(runUntil(loop, [&] { return server.connections.size() == 1; }));
}

// Guards against lost signals and against an error that vanishes in the C library.
TEST(EventLoopTest, DeliversSignalsAndErrors)
{
    EventLoop loop;
    int signals = 0;
    const Watch watch = loop.onSignal(SIGUSR1, [&] { ++signals; });
    raise(SIGUSR1);
    EXPECT_TRUE(runUntil(loop, [&] { return signals == 1; }));
    loop.post([] { throw std::runtime_error("from a callback"); });
    EXPECT_THROW(loop.run(), std::runtime_error);
    loop.stop();
    loop.run();
}

} // namespace
} // namespace crocuscove::http
