#pragma once

#include "crocuscove/base/time.h"

#include <csignal>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace crocuscove::http {

/// Handle of a timer or watch. Destroying or resetting it cancels; the callback then never runs again. It must not
/// outlive its loop. The callback may destroy its own handle.
class EventHandle {
public:
    struct Source;

    EventHandle();
    explicit EventHandle(std::shared_ptr<Source> source);
    EventHandle(EventHandle&& other) noexcept;
    EventHandle& operator=(EventHandle&& other) noexcept;
    ~EventHandle();

    void cancel();

private:
    std::shared_ptr<Source> m_source;
};

using Timer = EventHandle;
using Watch = EventHandle;

/// One libevent loop on one thread. An exception thrown by a callback stops the loop and leaves run().
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs callbacks until stop().
    void run();

    /// Ends run() after the current callback. Before run(), makes the next run() return at once.
    void stop();

    /// Runs `callback` once, never before `when`.
    [[nodiscard]] Timer runAt(base::MonotonicTime when, std::function<void()> callback);

    /// Runs `callback` repeatedly, first after one interval.
    [[nodiscard]] Timer runEvery(base::Milliseconds interval, std::function<void()> callback);

    /// Runs `callback` on the next turn, after pending I/O has been looked at. For callers on the loop's thread.
    void post(std::function<void()> callback);

    /// Runs `callback` whenever `fd` is readable (level-triggered). The caller keeps owning `fd`.
    [[nodiscard]] Watch onReadable(int fd, std::function<void()> callback);

    /// Runs `callback` on the loop whenever the process gets `signal`.
    [[nodiscard]] Watch onSignal(int signal, std::function<void()> callback);

    /// For code that hands the loop to libevent.
    [[nodiscard]] event_base* base() const { return m_base.get(); }

    /// Runs `callback`; an exception is kept for run(), because libevent's C frames can't carry it.
    void guard(const std::function<void()>& callback);

private:
    struct BaseDeleter {
        void operator()(event_base* base) const;
    };

    void runPosted();

    std::unique_ptr<event_base, BaseDeleter> m_base;
    std::vector<std::function<void()>> m_posted;
    Timer m_postedTimer;
    std::exception_ptr m_exception;
    bool m_isStopped = false;
};

} // namespace crocuscove::http
