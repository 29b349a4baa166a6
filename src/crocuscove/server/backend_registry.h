#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/routing/backend_directory.h"
#include "node_table.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::server {

/// A backend server's count of its requests in flight, taken at or after `madeNotBefore`.
struct InFlightReport {
    base::BackendId backend;
    std::uint64_t incarnation = 0;
    std::uint32_t inFlight = 0;
    base::MonotonicTime madeNotBefore;
};

/// Functions that BackendRegistry calls.
struct BackendRegistryHooks {
    /// Sends encoded announcements to every other entry node.
    std::function<void(const std::string& payload)> broadcast;
    /// Called when the backend servers of a service, or their phases, change.
    std::function<void(const base::ServiceId& service)> onChanged;
    /// Called for each count of requests in flight that can be dated by this node's clock.
    std::function<void(const InFlightReport& report)> onReport;
    /// Returns the latest clock reading of each known node.
    std::function<ClockReadings()> clockReadings;
};

/// Keeps the backend servers known to this node, and broadcasts announcements received here to the other entry nodes.
class BackendRegistry {
public:
    BackendRegistry(http::EventLoop& loop, const base::Log& log, base::NodeId self, BackendRegistryHooks hooks);

    /// Handles an announcement that a backend server sent to this node.
    routing::MergeReason announce(const routing::Announcement& announcement);

    /// Handles announcements broadcast by another node. Throws base::Error when `payload` is malformed.
    void receive(const std::string& payload);

    /// Records the end of an attempt, which can eject a backend server or return it to service.
    void observe(const base::BackendId& backend, routing::AttemptEnd end);

    [[nodiscard]] const routing::BackendDirectory& directory() const { return m_directory; }

private:
    struct AcknowledgedAnnouncement {
        std::uint64_t incarnation = 0;
        /// Clock readings when the last announcement was answered. The next announcement is made after them.
        ClockReadings readings;
        /// Clock readings when the announcement before it was answered. The last announcement was made after them.
        ClockReadings previousReadings;
    };

    void recordAcknowledgement(const routing::Announcement& announcement);
    void reportInFlight(const routing::Announcement& announcement, const ClockReadings& readings) const;
    void flush();
    void tick();
    void report(const routing::PhaseChange& change);
    void logAnnouncement(const routing::Announcement& announcement, const routing::MergeResult& result) const;
    void notify(const routing::Announcement& announcement, const routing::MergeResult& result);

    const base::Log& m_log;
    BackendRegistryHooks m_hooks;
    base::NodeId m_self;
    routing::BackendDirectory m_directory;
    std::map<base::BackendId, AcknowledgedAnnouncement> m_acknowledged;
    /// Backend servers whose announcements arrived here since the last flush.
    std::set<base::BackendId> m_pendingBroadcast;
    http::Timer m_flushTimer;
    http::Timer m_tickTimer;
};

} // namespace crocuscove::server
