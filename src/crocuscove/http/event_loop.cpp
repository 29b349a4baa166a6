#include "crocuscove/http/event_loop.h"

#include "crocuscove/base/error.h"

#include <event2/event.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace crocuscove::http {

namespace {

timeval timevalOf(base::Microseconds duration)
{
    const auto count = std::max<base::Microseconds::rep>(0, duration.count());
    return { static_cast<time_t>(count / 1'000'000), static_cast<suseconds_t>(count % 1'000'000) };
}

} // namespace

struct EventHandle::Source : std::enable_shared_from_this<Source> {
    Source(EventLoop& owner, std::function<void()> function)
        : loop(owner)
        , callback(std::move(function))
    {
    }

    ~Source() { cancel(); }

    Source(const Source&) = delete;
    Source& operator=(const Source&) = delete;

    void cancel()
    {
        if (handle != nullptr) {
            event_free(std::exchange(handle, nullptr));
        }
    }

    void create(int fd, short flags)
    {
        handle = event_new(loop.base(), fd, flags, &Source::onEvent, this);
        if (handle == nullptr) {
            throw base::Error("libevent can't create an event");
        }
    }

    void add(std::optional<base::Microseconds> delay)
    {
        timeval time = timevalOf(delay.value_or(base::Microseconds(0)));
        if (event_add(handle, delay ? &time : nullptr) != 0) {
            throw base::Error("libevent can't watch for an event");
        }
    }

    static void onEvent(evutil_socket_t, short, void* argument)
    {
        // Keeps the callback alive when it destroys its own handle.
        const auto self = static_cast<Source*>(argument)->shared_from_this();
        self->loop.guard([&] { self->fire(); });
    }

    void fire()
    {
        // libevent computes a timeout from its cached time, so a timer can fire a little early.
        if (when && base::monotonicNow() < *when) {
            add(*when - base::monotonicNow());
            return;
        }
        callback();
    }

    EventLoop& loop;
    std::function<void()> callback;
    std::optional<base::MonotonicTime> when;
    event* handle = nullptr;
};

EventHandle::EventHandle() = default;
EventHandle::EventHandle(std::shared_ptr<Source> source)
    : m_source(std::move(source))
{
}
EventHandle::EventHandle(EventHandle&& other) noexcept = default;
EventHandle& EventHandle::operator=(EventHandle&& other) noexcept
{
    if (this != &other) {
        cancel();
        m_source = std::move(other.m_source);
    }
    return *this;
}
EventHandle::~EventHandle() { cancel(); }

void EventHandle::cancel()
{
    if (m_source) {
        m_source->cancel();
        m_source.reset();
    }
}

void EventLoop::BaseDeleter::operator()(event_base* base) const { event_base_free(base); }

EventLoop::EventLoop()
{
    event_config* config = event_config_new();
    // Without this flag timers have the resolution of the coarse clock, about 4 ms.
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    m_base.reset(event_base_new_with_config(config));
    event_config_free(config);
    if (!m_base) {
        throw base::Error("libevent can't create an event loop");
    }
}

EventLoop::~EventLoop() { m_postedTimer.cancel(); }

void EventLoop::run()
{
    if (!std::exchange(m_isStopped, false)) {
        event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
        m_isStopped = false;
    }
    if (m_exception) {
        std::rethrow_exception(std::exchange(m_exception, nullptr));
    }
}

void EventLoop::stop()
{
    m_isStopped = true;
    event_base_loopbreak(m_base.get());
}

Timer EventLoop::runAt(base::MonotonicTime when, std::function<void()> callback)
{
    auto source = std::make_shared<EventHandle::Source>(*this, std::move(callback));
    source->when = when;
    source->create(-1, 0);
    source->add(when - base::monotonicNow());
    return Timer(std::move(source));
}

Timer EventLoop::runEvery(base::Milliseconds interval, std::function<void()> callback)
{
    auto source = std::make_shared<EventHandle::Source>(*this, std::move(callback));
    source->create(-1, EV_PERSIST);
    source->add(interval);
    return Timer(std::move(source));
}

void EventLoop::post(std::function<void()> callback)
{
    m_posted.push_back(std::move(callback));
    if (m_posted.size() == 1) {
        // A timer of zero length runs after the next poll, so that posting in turn can't starve I/O.
        m_postedTimer = runAt(base::monotonicNow(), [this] { runPosted(); });
    }
}

void EventLoop::runPosted()
{
    const auto posted = std::exchange(m_posted, {});
    std::ranges::for_each(posted, [&](const auto& callback) { guard(callback); });
}

Watch EventLoop::onReadable(int fd, std::function<void()> callback)
{
    auto source = std::make_shared<EventHandle::Source>(*this, std::move(callback));
    source->create(fd, EV_READ | EV_PERSIST);
    source->add(std::nullopt);
    return Watch(std::move(source));
}

Watch EventLoop::onSignal(int signal, std::function<void()> callback)
{
    auto source = std::make_shared<EventHandle::Source>(*this, std::move(callback));
    source->create(signal, EV_SIGNAL | EV_PERSIST);
    source->add(std::nullopt);
    return Watch(std::move(source));
}

void EventLoop::guard(const std::function<void()>& callback)
{
    try {
        callback();
    } catch (...) {
        if (!m_exception) {
            m_exception = std::current_exception();
        }
        stop();
    }
}

} // namespace crocuscove::http
