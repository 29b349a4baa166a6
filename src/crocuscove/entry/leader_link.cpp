#include "leader_link.h"

#include <algorithm>
#include <utility>

namespace crocuscove::entry {

namespace {

constexpr base::Milliseconds tickInterval { 50 };
constexpr base::Milliseconds viewInterval { 250 };
/// A control node that doesn't answer for this long is left: two views and a round trip.
constexpr base::Milliseconds silenceTimeout { 700 };
/// In the search for the leader, a node that names none is left after this time.
constexpr base::Milliseconds searchPause { 150 };
/// In the search for the leader, a node that hasn't answered yet is left after this time: the longest round trip
/// between regions and a pause of a busy node.
constexpr base::Milliseconds firstAnswerTimeout { 500 };
/// A leader that answered within this time counts as reachable.
constexpr base::Milliseconds readyWindow { 1'500 };
/// Once no leader has been known for this long, requests other than cancellings are refused at once: most elections
/// take half of it.
constexpr base::Milliseconds electionPatience { 1'500 };
/// A request that a lost leader can't have carried out waits this long for the next one.
constexpr base::Milliseconds nextLeaderPatience { 500 };
constexpr base::Milliseconds absenceLogInterval { 5'000 };
/// A node that the leader doesn't name for this long is no longer searched.
constexpr base::Milliseconds addressMemory { 5'000 };
constexpr std::size_t maxAddresses = 64;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusTooManyRequests = 429;
constexpr std::uint32_t statusUnavailable = 503;

/// Tells whether an answer says that a request that changes something has not been carried out.
bool isRefusal(const control::ForwardedRequest& request, std::uint32_t status)
{
    return request.method != "GET"
        && (status == statusNotFound || status == statusTooManyRequests || status == statusUnavailable);
}

/// Clients need not send a cancelling again after a refusal, and the job would then run on.
bool isCancelling(const control::ForwardedRequest& request) { return request.method == "DELETE"; }

} // namespace

LeaderLink::LeaderLink(http::EventLoop& loop, const EntryOptions& options, const base::Log& log)
    : m_loop(loop)
    , m_options(options)
    , m_log(log)
    , m_leaderLostAt(base::monotonicNow())
{
    std::ranges::for_each(options.seeds, [this](const auto& seed) { m_addresses[seed.host] = *m_leaderLostAt; });
    m_timer = loop.runEvery(tickInterval, [this] { tick(); });
    connectNext();
}

LeaderLink::~LeaderLink() = default;

bool LeaderLink::isReady(base::MonotonicTime now) const
{
    return m_leaderHeardAt && now - *m_leaderHeardAt < readyWindow;
}

void LeaderLink::request(
    control::ForwardedRequest request, base::MonotonicTime refuseAt, base::MonotonicTime deadline, Callback callback)
{
    const auto now = base::monotonicNow();
    if (!m_isLeader && !mayFindLeader(now) && !isCancelling(request)) {
        ++m_refused;
        callback({ RequestFailure::NotExecuted, 0, {} });
        return;
    }
    request.id = m_nextId++;
    const std::uint64_t id = request.id;
    m_pending.emplace(id, Pending { std::move(request), refuseAt, deadline, std::move(callback) });
    sendWaiting();
}

bool LeaderLink::mayFindLeader(base::MonotonicTime now) const
{
    return !m_leaderLostAt || now - *m_leaderLostAt < electionPatience;
}

bool LeaderLink::mayHaveRun(const Pending& pending)
{
    return pending.request.method != "GET" && (pending.wasSent || pending.isOutcomeOpen);
}

void LeaderLink::awaitLeader(Pending& pending, base::MonotonicTime now)
{
    pending.isWaiting = true;
    pending.refuseAt = std::max(pending.refuseAt, now + nextLeaderPatience);
}

void LeaderLink::tick()
{
    const auto now = base::monotonicNow();
    expire(now);
    logAbsence(now);
    if (!m_connection || now - m_heardAt > silenceTimeout) {
        disconnect("silent");
        connectNext();
        return;
    }
    const base::Milliseconds patience = m_hasAnswered ? searchPause : firstAnswerTimeout;
    if (!m_isLeader && now - m_heardAt > patience) {
        connectNext();
        return;
    }
    if (now - m_viewAskedAt >= viewInterval) {
        m_viewAskedAt = now;
        m_connection->send(control::encodeNodeMessage(control::ViewRequest {}));
    }
}

void LeaderLink::connectNext()
{
    if (m_addresses.empty()) {
        return;
    }
    // The search goes through all nodes in turn, whatever leader the last ones named.
    const auto next = m_addresses.upper_bound(m_searched);
    m_searched = next == m_addresses.end() ? m_addresses.begin()->first : next->first;
    connect(m_searched);
}

void LeaderLink::connect(const std::string& address)
{
    disconnect("moved");
    const auto now = base::monotonicNow();
    const std::uint64_t number = ++m_connectionNumber;
    m_target = address;
    m_hasAnswered = false;
    m_heardAt = now;
    m_viewAskedAt = now;
    link::FrameHooks hooks;
    hooks.onFrame = [this, number](std::string_view frame) { onFrame(number, frame); };
    hooks.onClosed = [this, number](std::string_view cause) {
        m_loop.post([this, number, cause = std::string(cause)] {
            if (number == m_connectionNumber) {
                disconnect(cause);
            }
        });
    };
    m_connection = link::FrameConnection::connect(
        m_loop, { address, m_options.internalPort }, link::FrameOptions {}, std::move(hooks));
    m_connection->send(control::encodeNodeMessage(control::Hello { "", m_options.listen.host }));
}

void LeaderLink::disconnect(std::string_view reason)
{
    const auto now = base::monotonicNow();
    if (std::exchange(m_isLeader, false)) {
        m_log.warning("leader_lost", { { "address", m_target }, { "reason", reason } });
        m_leaderLostAt = now;
        m_absenceLoggedAt = {};
    }
    m_connection.reset();
    for (auto& [id, pending] : m_pending) {
        if (!pending.isWaiting) {
            pending.isOutcomeOpen = true;
            awaitLeader(pending, now);
        }
    }
}

void LeaderLink::onLeaderFound(base::MonotonicTime now)
{
    const auto away = std::chrono::duration_cast<base::Milliseconds>(now - *m_leaderLostAt);
    m_log.info("leader_found",
        { { "address", m_target }, { "away_ms", away.count() }, { "refused", std::exchange(m_refused, 0) } });
    m_isLeader = true;
    m_leaderLostAt.reset();
}

void LeaderLink::logAbsence(base::MonotonicTime now)
{
    if (mayFindLeader(now) || now - m_absenceLoggedAt < absenceLogInterval) {
        return;
    }
    m_absenceLoggedAt = now;
    const auto away = std::chrono::duration_cast<base::Milliseconds>(now - *m_leaderLostAt);
    m_log.warning("no_leader",
        { { "away_ms", away.count() }, { "refused", m_refused }, { "waiting", m_pending.size() },
            { "addresses", m_addresses.size() } });
}

bool LeaderLink::isSeed(const std::string& address) const
{
    return std::ranges::any_of(m_options.seeds, [&](const auto& seed) { return seed.host == address; });
}

void LeaderLink::learn(const std::string& address, base::MonotonicTime now)
{
    m_addresses[address] = now;
    if (m_addresses.size() <= maxAddresses) {
        return;
    }
    const auto rank = [this](const auto& entry) { return std::pair(isSeed(entry.first), entry.second); };
    m_addresses.erase(std::ranges::min_element(m_addresses, {}, rank));
}

// Only the leader is sure to be in contact with the nodes that count.
void LeaderLink::forgetAddresses(base::MonotonicTime now)
{
    std::erase_if(m_addresses, [&](const auto& entry) {
        const bool isForgotten = now - entry.second > addressMemory && !isSeed(entry.first);
        if (isForgotten) {
            m_log.info("control_node_forgotten", { { "address", entry.first } });
        }
        return isForgotten;
    });
}

void LeaderLink::onFrame(std::uint64_t connectionNumber, std::string_view frame)
{
    if (connectionNumber != m_connectionNumber) {
        return;
    }
    m_heardAt = base::monotonicNow();
    m_hasAnswered = true;
    auto message = control::decodeNodeMessage(frame);
    // Handled on the next turn, since it may replace the connection that calls this.
    m_loop.post([this, connectionNumber, message = std::move(message)] {
        if (connectionNumber != m_connectionNumber) {
            return;
        }
        if (const auto* view = std::get_if<control::ClusterView>(&message)) {
            onView(*view);
        } else if (const auto* answer = std::get_if<control::ForwardedAnswer>(&message)) {
            onAnswer(*answer);
        }
    });
}

void LeaderLink::onView(const control::ClusterView& view)
{
    if (!m_connection) {
        // An answer that came before it in the same read has ended the connection.
        return;
    }
    const auto now = base::monotonicNow();
    std::ranges::for_each(view.nodes, [&](const auto& node) { learn(node.second, now); });
    if (view.leader == m_target) {
        if (!m_isLeader) {
            onLeaderFound(now);
        }
        m_leaderHeardAt = now;
        forgetAddresses(now);
        sendWaiting();
        return;
    }
    if (m_isLeader) {
        disconnect("no longer leads");
    }
    if (!view.leader.empty()) {
        learn(view.leader, now);
        connect(view.leader);
    }
}

void LeaderLink::sendWaiting()
{
    if (!m_isLeader) {
        return;
    }
    for (auto& [id, pending] : m_pending) {
        if (pending.isWaiting) {
            pending.isWaiting = false;
            pending.wasSent = true;
            m_connection->send(control::encodeNodeMessage(pending.request));
        }
    }
}

void LeaderLink::onAnswer(const control::ForwardedAnswer& answer)
{
    m_leaderHeardAt = base::monotonicNow();
    const auto found = m_pending.find(answer.id);
    if (found == m_pending.end()) {
        return;
    }
    Pending& pending = found->second;
    if (answer.outcome == control::ForwardOutcome::Answered) {
        // The earlier leader may have carried it out, or still do so.
        const bool isUnknown = pending.isOutcomeOpen && isRefusal(pending.request, answer.status);
        finish(answer.id,
            isUnknown ? RequestResult { RequestFailure::Unknown, 0, {} }
                      : RequestResult { std::nullopt, answer.status, answer.body });
        return;
    }
    if (answer.outcome == control::ForwardOutcome::NotLeader && !pending.isWaiting) {
        // It has not been carried out there.
        pending.wasSent = false;
        awaitLeader(pending, base::monotonicNow());
    }
    if (m_isLeader) {
        disconnect("does not lead");
    }
}

void LeaderLink::expire(base::MonotonicTime now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, pending] : m_pending) {
        const bool isRefused = pending.isWaiting && !mayHaveRun(pending) && pending.refuseAt <= now;
        if (isRefused || pending.deadline <= now) {
            expired.push_back(id);
        }
    }
    std::ranges::for_each(expired, [this](std::uint64_t id) {
        const Pending& pending = m_pending.at(id);
        const bool isUnknown = mayHaveRun(pending) || !pending.isWaiting;
        m_refused += isUnknown ? 0 : 1;
        finish(id, { isUnknown ? RequestFailure::Unknown : RequestFailure::NotExecuted, 0, {} });
    });
}

void LeaderLink::finish(std::uint64_t id, RequestResult result)
{
    auto pending = m_pending.extract(id);
    if (!pending.empty()) {
        pending.mapped().callback(std::move(result));
    }
}

} // namespace crocuscove::entry
