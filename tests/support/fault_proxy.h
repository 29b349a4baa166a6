#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>

namespace crocuscove::testing {

enum class Cut {
    None,
    /// Bytes to the target wait; the other way is open.
    ToTarget,
    ToClient,
    Both,
};

/// What a proxy does to the connections through it. TCP can't lose single bytes unnoticed, so a cut holds them back,
/// which is what both ends see of a silent partition; healing delivers them.
struct ProxyFaults {
    std::int64_t delayMs = 0;
    /// Added to the delay of each piece, uniformly drawn. The order within a connection stays.
    std::int64_t jitterMs = 0;
    Cut cut = Cut::None;
    /// Closes a connection after so many bytes to the client. 0 for never.
    std::int64_t truncateAfterBytes = 0;
    /// Reverses the order between connections: within each window of this length, later pieces are delivered first.
    std::int64_t reorderWindowMs = 0;
    /// Resets new connections.
    bool isRefusing = false;
};

/// Throws base::InvalidInput for an unknown field or a value out of range.
ProxyFaults parseProxyFaults(const nlohmann::json& json);
nlohmann::ordered_json describe(const ProxyFaults& faults);

struct ProxyOptions {
    base::Endpoint listen { "127.0.0.1", 0 };
    base::Endpoint target { "127.0.0.1", 0 };
    std::uint64_t seed = 1;
};

struct ProxyCounters {
    std::uint64_t connections = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesToClient = 0;
    std::uint64_t truncated = 0;
    std::uint64_t reset = 0;
};

/// TCP proxy for one target that delays, holds back, cuts, truncates, reorders and resets.
class FaultProxy {
public:
    FaultProxy(http::EventLoop& loop, const ProxyOptions& options);
    ~FaultProxy();

    [[nodiscard]] std::uint16_t port() const;
    void setTarget(const base::Endpoint& target);

    /// Holds from now on, for open connections too. Default faults heal.
    void setFaults(const ProxyFaults& faults);
    [[nodiscard]] const ProxyFaults& faults() const;

    /// Resets every open connection at both ends.
    void resetConnections();

    [[nodiscard]] const ProxyCounters& counters() const;
    [[nodiscard]] std::size_t openConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuscove::testing
