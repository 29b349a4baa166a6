#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/routing/backend_directory.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::server {

struct BackendRegistryHooks {
    /// Sends encoded announcements to every other entry node.
    std::function<void(const std::string& payload)> broadcast;
    /// The backend servers of a service, or their phases, changed.
    std::function<void(const base::ServiceId& service)> onChanged;
};

/// The backend servers known to this node. Spreads what was announced here to the other nodes.
class BackendRegistry {
public:
    BackendRegistry(http::EventLoop& loop, const base::Log& log, BackendRegistryHooks hooks);

    /// Takes an announcement that a backend server made here.
    routing::MergeReason announce(const routing::Announcement& announcement);

    /// Takes announcements that another node spread.
    void receive(const std::string& payload);

    /// Takes the end of an attempt, for ejection and return.
    void observe(const base::BackendId& backend, routing::AttemptEnd end);

    [[nodiscard]] const routing::BackendDirectory& directory() const { return m_directory; }

private:
    void flush();
    void tick();
    void report(const routing::PhaseChange& change);
    void notify(const routing::Announcement& announcement, const routing::MergeResult& result);

    const base::Log& m_log;
    BackendRegistryHooks m_hooks;
    routing::BackendDirectory m_directory;
    /// Backend servers that announced themselves here since the last flush.
    std::set<base::BackendId> m_unsent;
    http::Timer m_flushTimer;
    http::Timer m_tickTimer;
};

} // namespace crocuscove::server
