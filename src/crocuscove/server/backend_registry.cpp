#include "backend_registry.h"

#include "crocuscove/base/codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

/// Announcements are broadcast in batches, since backend servers renew them only every second.
constexpr base::Milliseconds flushInterval { 200 };
constexpr base::Milliseconds tickInterval { 100 };

/// An announcement as nodes broadcast it. Its count of requests in flight was taken after the clock readings.
struct BroadcastAnnouncement {
    routing::Announcement announcement;
    ClockReadings readings;
};

CROCUSCOVE_FIELDS(BroadcastAnnouncement, v.announcement, v.readings)

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
        recordAcknowledgement(announcement);
        reportInFlight(announcement, m_acknowledged.at(announcement.backend).previousReadings);
        m_pendingBroadcast.insert(announcement.backend);
    }
    if (result.isNewlyLeaving) {
        flush();
    }
    return result.reason;
}

void BackendRegistry::receive(const std::string& payload)
{
    const auto now = base::monotonicNow();
    for (const auto& received : base::decode<std::vector<BroadcastAnnouncement>>(payload)) {
        notify(received.announcement, m_directory.merge(now, received.announcement));
        reportInFlight(received.announcement, received.readings);
    }
}

void BackendRegistry::recordAcknowledgement(const routing::Announcement& announcement)
{
    AcknowledgedAnnouncement& answered = m_acknowledged[announcement.backend];
    const bool isSameProcess = answered.incarnation == announcement.incarnation;
    answered.previousReadings = isSameProcess ? std::move(answered.readings) : ClockReadings();
    answered.incarnation = announcement.incarnation;
    answered.readings = m_hooks.clockReadings();
}

void BackendRegistry::reportInFlight(const routing::Announcement& announcement, const ClockReadings& readings) const
{
    const auto ownReading = readings.find(m_self);
    if (ownReading != readings.end()) {
        m_hooks.onReport({ announcement.backend, announcement.incarnation, announcement.inFlight,
            base::MonotonicTime(base::Microseconds(ownReading->second)) });
    }
}

void BackendRegistry::observe(const base::BackendId& backend, routing::AttemptEnd end)
{
    std::ranges::for_each(m_directory.observe(base::monotonicNow(), backend, end),
        [this](const routing::PhaseChange& change) { report(change); });
}

void BackendRegistry::notify(const routing::Announcement& announcement, const routing::MergeResult& result)
{
    const bool shouldLog = result.reason != routing::MergeReason::Renewed || result.isNewlyLeaving;
    if (result.hasChanged && shouldLog) {
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
    if (m_pendingBroadcast.empty()) {
        return;
    }
    const auto now = base::monotonicNow();
    std::vector<BroadcastAnnouncement> announcements;
    for (const base::BackendId& backend : m_pendingBroadcast) {
        if (auto announcement = m_directory.announcement(now, backend)) {
            announcements.push_back({ std::move(*announcement), m_acknowledged.at(backend).previousReadings });
        }
    }
    m_pendingBroadcast.clear();
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
        m_acknowledged.erase(change.backend);
        m_pendingBroadcast.erase(change.backend);
    }
    m_hooks.onChanged(change.service);
}

} // namespace crocuscove::server
