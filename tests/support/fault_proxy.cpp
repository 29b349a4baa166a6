#include "support/fault_proxy.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"
#include "crocuscove/http/socket_address.h"
#include "support/proxied_connection.h"

#include <event2/listener.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuscove::testing {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::size_t maxConnections = 10'000;
constexpr std::int64_t maxFaultMs = 600'000;
constexpr std::int64_t maxTruncateBytes = 1'000'000'000;

constexpr auto cutNames = base::enumNames<Cut>({
    { Cut::None, "none" },
    { Cut::ToTarget, "to-target" },
    { Cut::ToClient, "to-client" },
    { Cut::Both, "both" },
});

std::int64_t numberOf(const nlohmann::json& value, std::string_view field, std::int64_t maximum)
{
    if (!value.is_number_integer() || value.get<std::int64_t>() < 0 || value.get<std::int64_t>() > maximum) {
        throw base::InvalidInput(fmt::format("{}: must be a whole number from 0 to {}", field, maximum));
    }
    return value.get<std::int64_t>();
}

Cut cutOf(const nlohmann::json& value)
{
    const auto cut = value.is_string() ? cutNames.parse(value.get<std::string>()) : std::nullopt;
    if (!cut) {
        throw base::InvalidInput("cut: must be none, to-target, to-client or both");
    }
    return *cut;
}

} // namespace

ProxyFaults parseProxyFaults(const nlohmann::json& json)
{
    if (!json.is_object()) {
        throw base::InvalidInput("faults must be a JSON object");
    }
    ProxyFaults faults;
    for (const auto& [field, value] : json.items()) {
        if (field == "delayMs") {
            faults.delayMs = numberOf(value, field, maxFaultMs);
        } else if (field == "jitterMs") {
            faults.jitterMs = numberOf(value, field, maxFaultMs);
        } else if (field == "reorderWindowMs") {
            faults.reorderWindowMs = numberOf(value, field, maxFaultMs);
        } else if (field == "truncateAfterBytes") {
            faults.truncateAfterBytes = numberOf(value, field, maxTruncateBytes);
        } else if (field == "cut") {
            faults.cut = cutOf(value);
        } else if (field == "refuse" && value.is_boolean()) {
            faults.isRefusing = value.get<bool>();
        } else {
            throw base::InvalidInput(fmt::format("{}: unknown field or wrong type", field));
        }
    }
    return faults;
}

nlohmann::ordered_json describe(const ProxyFaults& faults)
{
    return { { "delayMs", faults.delayMs }, { "jitterMs", faults.jitterMs }, { "cut", cutNames.name(faults.cut) },
        { "truncateAfterBytes", faults.truncateAfterBytes }, { "reorderWindowMs", faults.reorderWindowMs },
        { "refuse", faults.isRefusing } };
}

class FaultProxy::Impl {
public:
    Impl(http::EventLoop& loop, const ProxyOptions& options)
        : m_state { loop, options.target, {}, {}, base::Random(options.seed) }
    {
        const http::SocketAddress address = http::socketAddress(options.listen);
        m_listener = evconnlistener_new_bind(loop.base(), &Impl::onAccept, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog, address.get(),
            static_cast<int>(address.size));
        if (m_listener == nullptr) {
            throw base::Error(fmt::format("can't listen on {}: {}", options.listen.text(), std::strerror(errno)));
        }
    }

    ~Impl() { evconnlistener_free(m_listener); }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    [[nodiscard]] std::uint16_t port() const { return http::boundPort(evconnlistener_get_fd(m_listener)); }
    [[nodiscard]] ProxyState& state() { return m_state; }
    [[nodiscard]] std::size_t openConnections() const { return m_connections.size(); }

    void setFaults(const ProxyFaults& faults)
    {
        m_state.faults = faults;
        std::ranges::for_each(m_connections, [](const auto& entry) { entry.second->deliver(); });
    }

    void resetConnections()
    {
        std::ranges::for_each(m_connections, [](const auto& entry) { entry.second->reset(); });
    }

private:
    static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self)
    {
        auto* proxy = static_cast<Impl*>(self);
        proxy->m_state.loop.guard([&] { proxy->accept(fd); });
    }

    void accept(int fd)
    {
        if (m_state.faults.isRefusing || m_connections.size() >= maxConnections) {
            const linger hard { 1, 0 };
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            ::close(fd);
            ++m_state.counters.reset;
            return;
        }
        ++m_state.counters.connections;
        const std::uint64_t id = m_nextId++;
        m_connections.emplace(id, std::make_unique<ProxiedConnection>(m_state, fd, [this, id] { discard(id); }));
    }

    /// Destroys the connection on the next turn, because its own functions are still running.
    void discard(std::uint64_t id)
    {
        m_closed.push_back(id);
        m_discardTimer = m_state.loop.runAt(base::monotonicNow(), [this] {
            for (const std::uint64_t closed : std::exchange(m_closed, {})) {
                m_connections.erase(closed);
            }
        });
    }

    ProxyState m_state;
    evconnlistener* m_listener = nullptr;
    std::unordered_map<std::uint64_t, std::unique_ptr<ProxiedConnection>> m_connections;
    std::uint64_t m_nextId = 0;
    std::vector<std::uint64_t> m_closed;
    http::Timer m_discardTimer;
};

FaultProxy::FaultProxy(http::EventLoop& loop, const ProxyOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options))
{
}

FaultProxy::~FaultProxy() = default;

std::uint16_t FaultProxy::port() const { return m_impl->port(); }
void FaultProxy::setTarget(const base::Endpoint& target) { m_impl->state().target = target; }
void FaultProxy::setFaults(const ProxyFaults& faults) { m_impl->setFaults(faults); }
const ProxyFaults& FaultProxy::faults() const { return m_impl->state().faults; }
void FaultProxy::resetConnections() { m_impl->resetConnections(); }
const ProxyCounters& FaultProxy::counters() const { return m_impl->state().counters; }
std::size_t FaultProxy::openConnections() const { return m_impl->openConnections(); }

} // namespace crocuscove::testing
