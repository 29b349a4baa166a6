#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/control/node_message.h"
#include "crocuscove/entry/entry_options.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/link/frame_connection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocuscove::entry {

enum class RequestFailure {
    /// No leader was found in time, and no leader was ever given the request: it has not run.
    NotExecuted,
    /// A leader was given the request, and whether it ran is not known.
    Unknown,
};

struct RequestResult {
    std::optional<RequestFailure> failure;
    std::uint32_t status = 0;
    std::string body;
};

/// The entry node's connection to the leader of the control nodes. It finds the leader, follows it, and sends requests
/// again to the next one; that is safe because requests are idempotent by the job's id.
class LeaderLink {
public:
    using Callback = std::function<void(RequestResult)>;

    LeaderLink(http::EventLoop& loop, const EntryOptions& options, const base::Log& log);
    ~LeaderLink();
    LeaderLink(const LeaderLink&) = delete;
    LeaderLink& operator=(const LeaderLink&) = delete;

    /// Forwards a request until it is answered or `deadline` has passed. A request that no leader was given by
    /// `refuseAt` is given up; one that cancels nothing at once when the last leader was lost longer ago than an
    /// election takes. `callback` runs exactly once, perhaps before this returns.
    void request(control::ForwardedRequest request, base::MonotonicTime refuseAt, base::MonotonicTime deadline,
        Callback callback);

    /// Tells whether a leader has answered lately.
    [[nodiscard]] bool isReady(base::MonotonicTime now) const;

    /// Since when no leader has been known; nothing while there is one.
    [[nodiscard]] std::optional<base::MonotonicTime> leaderLostAt() const { return m_leaderLostAt; }

private:
    struct Pending {
        control::ForwardedRequest request;
        base::MonotonicTime refuseAt;
        base::MonotonicTime deadline;
        Callback callback;
        /// A leader was given it, and hasn't refused it as not the leader.
        bool wasSent = false;
        /// A connection was lost that had carried it, so that its outcome there stays open.
        bool isOutcomeOpen = false;
        /// Waits to be sent to the leader.
        bool isWaiting = true;
    };

    void tick();
    void connectNext();
    void connect(const std::string& address);
    void disconnect(std::string_view reason);
    void onFrame(std::uint64_t connectionNumber, std::string_view frame);
    void onView(const control::ClusterView& view);
    void onAnswer(const control::ForwardedAnswer& answer);
    void onLeaderFound(base::MonotonicTime now);
    void learn(const std::string& address, base::MonotonicTime now);
    void forgetAddresses(base::MonotonicTime now);
    [[nodiscard]] bool isSeed(const std::string& address) const;
    void sendWaiting();
    void expire(base::MonotonicTime now);
    void logAbsence(base::MonotonicTime now);
    void finish(std::uint64_t id, RequestResult result);
    /// Tells whether a leader to come may still serve a request in time.
    [[nodiscard]] bool mayFindLeader(base::MonotonicTime now) const;
    /// Lets a request wait for the next leader.
    static void awaitLeader(Pending& pending, base::MonotonicTime now);
    [[nodiscard]] static bool mayHaveRun(const Pending& pending);

    http::EventLoop& m_loop;
    const EntryOptions& m_options;
    const base::Log& m_log;
    /// Addresses of control nodes, and when a node named them last.
    std::map<std::string, base::MonotonicTime> m_addresses;
    std::string m_target;
    /// The node that was asked last in the search for the leader.
    std::string m_searched;
    std::unique_ptr<link::FrameConnection> m_connection;
    /// Tells the frames of an earlier connection apart.
    std::uint64_t m_connectionNumber = 0;
    bool m_isLeader = false;
    /// The connection has carried an answer.
    bool m_hasAnswered = false;
    std::optional<base::MonotonicTime> m_leaderHeardAt;
    std::optional<base::MonotonicTime> m_leaderLostAt;
    /// Requests that were refused since then.
    std::uint64_t m_refused = 0;
    base::MonotonicTime m_absenceLoggedAt;
    base::MonotonicTime m_heardAt;
    base::MonotonicTime m_viewAskedAt;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextId = 1;
    http::Timer m_timer;
};

} // namespace crocuscove::entry
