#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/http_server.h"
#include "support/fault_proxy.h"

#include <map>
#include <string>
#include <vector>

namespace crocuscove::testing {

/// Parses "NAME=LISTEN>TARGET" for each proxy. Throws base::InvalidInput.
std::map<std::string, ProxyOptions> parseProxyTargets(const std::vector<std::string>& texts);

/// Several named proxies and an HTTP listener that controls them:
/// `GET /proxies`; `PUT /proxies/{name}` with the faults as JSON; `DELETE /proxies/{name}` heals;
/// `POST /proxies/{name}/reset` resets the open connections. The name `*` stands for all of them.
class ProxyControl {
public:
    ProxyControl(http::EventLoop& loop, const base::Log& log, const base::Endpoint& listen,
        const std::map<std::string, ProxyOptions>& targets, std::uint64_t seed);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    /// Returns {"ports": {name: port}}.
    [[nodiscard]] nlohmann::ordered_json ports() const;

private:
    void handle(const http::HttpRequest& request, const http::Responder& responder);
    [[nodiscard]] std::vector<FaultProxy*> select(const std::string& name) const;
    [[nodiscard]] nlohmann::ordered_json state() const;

    const base::Log& m_log;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies;
    http::HttpServer m_server;
};

} // namespace crocuscove::testing
