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
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusTooManyRequests = 429;
constexpr std::uint32_t statusUnavailable = 503;

/// Tells whether an answer says that a request that changes something has not been carried out.
bool isRefusal(const control::ForwardedRequest& request, std::uint32_t status)
{
    return request.method != "GET"
        && (status == statusNotFound || status == statusTooManyRequests || status == statusUnavailable);
}

} // namespace

LeaderLink::LeaderLink(http::EventLoop& loop, const EntryOptions& options, const base::Log& log)
    : m_loop(loop)
    , m_options(options)
    , m_log(log)
{
    std::ranges::transform(
        options.seeds, std::inserter(m_addresses, m_addresses.end()), [](const auto& seed) { return seed.host; });
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
    request.id = m_nextId++;
    const std::uint64_t id = request.id;
    m_pending.emplace(id, Pending { std::move(request), refuseAt, deadline, std::move(callback) });
    sendWaiting();
}

void LeaderLink::tick()
{
    const auto now = base::monotonicNow();
    expire(now);
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
    m_searched = next == m_addresses.end() ? *m_addresses.begin() : *next;
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
    if (m_isLeader) {
        m_log.warning("leader_lost", { { "address", m_target }, { "reason", reason } });
    }
    m_isLeader = false;
    m_connection.reset();
    for (auto& [id, pending] : m_pending) {
        pending.isOutcomeOpen = pending.isOutcomeOpen || !pending.isWaiting;
        pending.isWaiting = true;
    }
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
    std::ranges::for_each(view.nodes, [this](const auto& node) { m_addresses.insert(node.second); });
    const auto now = base::monotonicNow();
    if (view.leader == m_target) {
        if (!m_isLeader) {
            m_log.info("leader_found", { { "address", m_target } });
        }
        m_isLeader = true;
        m_leaderHeardAt = now;
        sendWaiting();
        return;
    }
    if (m_isLeader) {
        disconnect("no longer leads");
    }
    if (!view.leader.empty()) {
        m_addresses.insert(view.leader);
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
    // It has not been carried out there.
    pending.isWaiting = pending.isWaiting || answer.outcome == control::ForwardOutcome::NotLeader;
    if (m_isLeader) {
        disconnect("does not lead");
    }
}

void LeaderLink::expire(base::MonotonicTime now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, pending] : m_pending) {
        const bool isRefused = !pending.wasSent && pending.refuseAt <= now;
        if (isRefused || pending.deadline <= now) {
            expired.push_back(id);
        }
    }
    std::ranges::for_each(expired, [this](std::uint64_t id) {
        const bool wasSent = m_pending.at(id).wasSent;
        finish(id, { wasSent ? RequestFailure::Unknown : RequestFailure::NotExecuted, 0, {} });
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
