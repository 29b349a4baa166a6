#include "backend_registry.h"

#include "crocuscove/base/codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

/// Renewals are spread in batches, since they are due only every second.
constexpr base::Milliseconds flushInterval { 200 };
constexpr base::Milliseconds tickInterval { 100 };

/// An announcement as nodes spread it. The report in it was made after the moments of `stamps`.
struct SpreadAnnouncement {
    routing::Announcement announcement;
    ClockStamps stamps;
};

CROCUSCOVE_FIELDS(SpreadAnnouncement, v.announcement, v.stamps)

} // namespace

BackendRegistry::BackendRegistry(
    http::EventLoop& loop, const base::Log& log, base::NodeId self, BackendRegistryHooks hooks)
    : m_log(log)
    , m_hooks(std::move(hooks))
    , m_self(std::move(self))
    , m_flushTimer(loop.runEvery(flushInterval, [this] { flush(); }))
    , m_tickTimer(loop.runEvery(tickInterval, [this] { tick(); }))
{
}

routing::MergeReason BackendRegistry::announce(const routing::Announcement& announcement)
{
    const auto result = m_directory.announce(base::monotonicNow(), announcement);
    notify(announcement, result);
    const bool isAccepted = result.reason == routing::MergeReason::Added
        || result.reason == routing::MergeReason::Renewed || result.reason == routing::MergeReason::Restarted;
    if (isAccepted) {
        noteAnswer(announcement);
        reportInFlight(announcement, m_answered.at(announcement.backend).earlierStamps);
        m_unsent.insert(announcement.backend);
    }
    if (result.isNewlyLeaving) {
        flush();
    }
    return result.reason;
}

void BackendRegistry::receive(const std::string& payload)
{
    const auto now = base::monotonicNow();
    for (const auto& spread : base::decode<std::vector<SpreadAnnouncement>>(payload)) {
        notify(spread.announcement, m_directory.merge(now, spread.announcement));
        reportInFlight(spread.announcement, spread.stamps);
    }
}

void BackendRegistry::noteAnswer(const routing::Announcement& announcement)
{
    Answered& answered = m_answered[announcement.backend];
    const bool isSameProcess = answered.incarnation == announcement.incarnation;
    answered.earlierStamps = isSameProcess ? std::move(answered.stamps) : ClockStamps();
    answered.incarnation = announcement.incarnation;
    answered.stamps = m_hooks.clockStamps();
}

void BackendRegistry::reportInFlight(const routing::Announcement& announcement, const ClockStamps& stamps) const
{
    const auto own = stamps.find(m_self);
    if (own != stamps.end()) {
        m_hooks.onReport({ announcement.backend, announcement.incarnation, announcement.inFlight,
            base::MonotonicTime(base::Microseconds(own->second)) });
    }
}

void BackendRegistry::observe(const base::BackendId& backend, routing::AttemptEnd end)
{
    std::ranges::for_each(m_directory.observe(base::monotonicNow(), backend, end),
        [this](const routing::PhaseChange& change) { report(change); });
}

void BackendRegistry::notify(const routing::Announcement& announcement, const routing::MergeResult& result)
{
    const bool isNews = result.reason != routing::MergeReason::Renewed || result.isNewlyLeaving;
    if (result.hasChanged && isNews) {
        logAnnouncement(announcement, result);
    }
    if (result.hasChanged) {
        m_hooks.onChanged(announcement.service);
    }
}

void BackendRegistry::logAnnouncement(
    const routing::Announcement& announcement, const routing::MergeResult& result) const
{
    m_log.info("backend_announced",
        { { "backend", announcement.backend.text() }, { "service", announcement.service.text() },
            { "vm", announcement.vm.text() }, { "incarnation", announcement.incarnation },
            { "state", routing::backendStateNames.name(announcement.state) },
            { "reason", routing::mergeReasonNames.name(result.reason) } });
}

void BackendRegistry::flush()
{
    if (m_unsent.empty()) {
        return;
    }
    const auto now = base::monotonicNow();
    std::vector<SpreadAnnouncement> announcements;
    for (const base::BackendId& backend : m_unsent) {
        if (auto announcement = m_directory.announcement(now, backend)) {
            announcements.push_back({ std::move(*announcement), m_answered.at(backend).earlierStamps });
        }
    }
    m_unsent.clear();
    m_hooks.broadcast(base::encode(announcements));
}

void BackendRegistry::tick()
{
    std::ranges::for_each(
        m_directory.tick(base::monotonicNow()), [this](const routing::PhaseChange& change) { report(change); });
}

void BackendRegistry::report(const routing::PhaseChange& change)
{
    m_log.info("backend_phase_changed",
        { { "backend", change.backend.text() }, { "service", change.service.text() },
            { "phase", change.phase ? routing::backendPhaseNames.name(*change.phase) : "expired" },
            { "reason", routing::phaseReasonNames.name(change.reason) } });
    if (!change.phase) {
        m_answered.erase(change.backend);
        m_unsent.erase(change.backend);
    }
    m_hooks.onChanged(change.service);
}

} // namespace crocuscove::server
