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

/// A backend server's count of requests in flight, made after `madeNotBefore`.
struct InFlightReport {
    base::BackendId backend;
    std::uint64_t incarnation = 0;
    std::uint32_t inFlight = 0;
    base::MonotonicTime madeNotBefore;
};

struct BackendRegistryHooks {
    /// Sends encoded announcements to every other entry node.
    std::function<void(const std::string& payload)> broadcast;
    /// The backend servers of a service, or their phases, changed.
    std::function<void(const base::ServiceId& service)> onChanged;
    std::function<void(const InFlightReport& report)> onReport;
    /// Clock readings that this node knows now.
    std::function<ClockStamps()> clockStamps;
};

/// The backend servers known to this node. Spreads what was announced here to the other nodes.
class BackendRegistry {
public:
    BackendRegistry(http::EventLoop& loop, const base::Log& log, base::NodeId self, BackendRegistryHooks hooks);

    /// Takes an announcement that a backend server made here.
    routing::MergeReason announce(const routing::Announcement& announcement);

    /// Takes announcements that another node spread.
    void receive(const std::string& payload);

    /// Takes the end of an attempt, for ejection and return.
    void observe(const base::BackendId& backend, routing::AttemptEnd end);

    [[nodiscard]] const routing::BackendDirectory& directory() const { return m_directory; }

private:
    struct Answered {
        std::uint64_t incarnation = 0;
        /// What was known when the last announcement was answered. The next one is made later.
        ClockStamps stamps;
        /// What was known when the one before was answered.
        ClockStamps earlierStamps;
    };

    void noteAnswer(const routing::Announcement& announcement);
    void reportInFlight(const routing::Announcement& announcement, const ClockStamps& stamps) const;
    void flush();
    void tick();
    void report(const routing::PhaseChange& change);
    void logAnnouncement(const routing::Announcement& announcement, const routing::MergeResult& result) const;
    void notify(const routing::Announcement& announcement, const routing::MergeResult& result);

    const base::Log& m_log;
    BackendRegistryHooks m_hooks;
    base::NodeId m_self;
    routing::BackendDirectory m_directory;
    std::map<base::BackendId, Answered> m_answered;
    /// Backend servers that announced themselves here since the last flush.
    std::set<base::BackendId> m_unsent;
    http::Timer m_flushTimer;
    http::Timer m_tickTimer;
};

} // namespace crocuscove::server
