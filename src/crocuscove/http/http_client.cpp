#include "crocuscove/http/http_client.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"
#include "crocuscove/http/client_connection.h"
#include "crocuscove/http/request_writer.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace crocuscove::http {

namespace {

constexpr auto failureNames = base::enumNames<ExchangeFailure>({
    { ExchangeFailure::None, "none" },
    { ExchangeFailure::ConnectFailed, "connect-failed" },
    { ExchangeFailure::Deadline, "deadline" },
    { ExchangeFailure::Reset, "reset" },
    { ExchangeFailure::Truncated, "truncated" },
    { ExchangeFailure::Oversized, "oversized" },
    { ExchangeFailure::Malformed, "malformed" },
    { ExchangeFailure::Cancelled, "cancelled" },
    { ExchangeFailure::Withdrawn, "withdrawn" },
});

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure) { return failureNames.name(failure); }

struct Call::State {
    std::unique_ptr<ClientConnection> connection;
    HttpClient::Callback callback;
    /// Fails the call when no connection may be opened.
    Timer refusal;
    std::function<void(ExchangeFailure)> refuse;
};

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(EventLoop& loop, HttpClientOptions options)
        : m_loop(loop)
        , m_options(options)
    {
    }

    Call call(const base::Endpoint& endpoint, const HttpRequest& request, base::MonotonicTime deadline,
        Callback callback, MaySend maySend)
    {
        std::string bytes = writeRequest(request, endpoint);
        auto state = std::make_shared<Call::State>();
        state->callback = std::move(callback);
        auto finished
            = [this, key = std::weak_ptr(state)](ExchangeResult result) { finish(key.lock(), std::move(result)); };
        if (m_running.size() >= m_options.maxOpenCalls) {
            state->refuse = [finished](ExchangeFailure failure) { finished({ std::nullopt, failure, false }); };
            state->refusal = m_loop.runAt(
                base::monotonicNow(), [refuse = state->refuse] { refuse(ExchangeFailure::ConnectFailed); });
        } else {
            state->connection = takeConnection(endpoint);
            state->connection->start(
                std::move(bytes), request.method, deadline, std::move(finished), std::move(maySend));
        }
        m_running.insert(state);
        return Call(state);
    }

    [[nodiscard]] std::size_t openCalls() const { return m_running.size(); }
    [[nodiscard]] std::size_t idleConnections() const { return m_idleAges.size(); }

private:
    struct IdleAge {
        std::string key;
        ClientConnection* connection = nullptr;
    };
    struct Idle {
        std::unique_ptr<ClientConnection> connection;
        /// Its place in m_idleAges.
        std::list<IdleAge>::iterator age;
    };
    using IdleList = std::list<Idle>;

    std::unique_ptr<ClientConnection> takeConnection(const base::Endpoint& endpoint)
    {
        const auto entry = m_idle.find(endpoint.text());
        std::unique_ptr<ClientConnection> connection;
        while (entry != m_idle.end() && !entry->second.empty() && !connection) {
            connection = std::move(entry->second.back().connection);
            m_idleAges.erase(entry->second.back().age);
            entry->second.pop_back();
            if (!connection->isReusable()) {
                connection.reset();
            }
        }
        if (entry != m_idle.end() && entry->second.empty()) {
            m_idle.erase(entry);
        }
        if (connection) {
            return connection;
        }
        return std::make_unique<ClientConnection>(m_loop, m_options, endpoint);
    }

    void finish(const std::shared_ptr<Call::State>& state, ExchangeResult result)
    {
        const auto self = shared_from_this();
        m_running.erase(state);
        std::unique_ptr<ClientConnection> connection = std::move(state->connection);
        state->refusal.cancel();
        if (connection && connection->isReusable()) {
            keep(std::move(connection));
        }
        connection.reset();
        const Callback callback = std::exchange(state->callback, nullptr);
        callback(std::move(result));
    }

    void keep(std::unique_ptr<ClientConnection> connection)
    {
        const std::string key = connection->endpoint().text();
        const auto known = m_idle.find(key);
        const std::size_t kept = known == m_idle.end() ? 0 : known->second.size();
        if (kept >= m_options.maxIdlePerEndpoint || m_options.maxIdleConnections == 0) {
            return;
        }
        if (m_idleAges.size() >= m_options.maxIdleConnections) {
            // The endpoints called last are the ones most likely to be called again.
            const IdleAge oldest = m_idleAges.front();
            drop(oldest.key, *oldest.connection);
        }
        ClientConnection& idle = *connection;
        const auto age = m_idleAges.insert(m_idleAges.end(), { key, &idle });
        m_idle[key].push_back({ std::move(connection), age });
        idle.keepIdle([this, key, &idle] { drop(key, idle); });
    }

    void drop(const std::string& key, const ClientConnection& connection)
    {
        const auto entry = m_idle.find(key);
        const auto idle = std::ranges::find_if(
            entry->second, [&](const Idle& candidate) { return candidate.connection.get() == &connection; });
        m_idleAges.erase(idle->age);
        entry->second.erase(idle);
        if (entry->second.empty()) {
            m_idle.erase(entry);
        }
    }

    EventLoop& m_loop;
    HttpClientOptions m_options;
    std::unordered_set<std::shared_ptr<Call::State>> m_running;
    std::unordered_map<std::string, IdleList> m_idle;
    /// All idle connections, the longest idle first.
    std::list<IdleAge> m_idleAges;
};

Call::Call() = default;
Call::Call(std::weak_ptr<State> state)
    : m_state(std::move(state))
{
}

void Call::cancel()
{
    const auto state = m_state.lock();
    if (!state || !state->callback) {
        return;
    }
    if (state->connection) {
        state->connection->fail(ExchangeFailure::Cancelled);
    } else if (state->refuse) {
        const auto refuse = state->refuse;
        refuse(ExchangeFailure::Cancelled);
    }
}

bool Call::isRunning() const
{
    const auto state = m_state.lock();
    return state && state->callback;
}

HttpClient::HttpClient(EventLoop& loop, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(loop, options))
{
}

HttpClient::~HttpClient() = default;

Call HttpClient::call(const base::Endpoint& endpoint, const HttpRequest& request, base::MonotonicTime deadline,
    Callback callback, MaySend maySend)
{
    return m_impl->call(endpoint, request, deadline, std::move(callback), std::move(maySend));
}

std::size_t HttpClient::openCalls() const { return m_impl->openCalls(); }
std::size_t HttpClient::idleConnections() const { return m_impl->idleConnections(); }

} // namespace crocuscove::http
