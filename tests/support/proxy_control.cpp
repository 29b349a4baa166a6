#include "support/proxy_control.h"

#include "crocuscove/base/error.h"
#include "support/command.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::testing {

namespace {

constexpr std::string_view proxiesPath = "/proxies/";
constexpr std::string_view resetSuffix = "/reset";

} // namespace

std::map<std::string, ProxyOptions> parseProxyTargets(const std::vector<std::string>& texts)
{
    std::map<std::string, ProxyOptions> targets;
    for (const std::string& text : texts) {
        const auto equals = text.find('=');
        const auto arrow = text.find('>');
        if (equals == std::string::npos || arrow == std::string::npos || arrow < equals) {
            throw base::InvalidInput(fmt::format("--target: '{}' is not NAME=LISTEN>TARGET", text));
        }
        ProxyOptions options;
        options.listen = base::parseEndpoint(std::string_view(text).substr(equals + 1, arrow - equals - 1));
        options.target = base::parseEndpoint(std::string_view(text).substr(arrow + 1));
        targets[text.substr(0, equals)] = options;
    }
    return targets;
}

ProxyControl::ProxyControl(http::EventLoop& loop, const base::Log& log, const base::Endpoint& listen,
    const std::map<std::string, ProxyOptions>& targets, std::uint64_t seed)
    : m_log(log)
    , m_server(loop, { .listen = listen },
          [this](const http::HttpRequest& request, const http::Responder& responder) { handle(request, responder); })
{
    for (auto [name, options] : targets) {
        options.seed = seed++;
        m_proxies[name] = std::make_unique<FaultProxy>(loop, options);
    }
    m_log.info("started", { { "control", port() }, { "seed", seed } });
}

nlohmann::ordered_json ProxyControl::ports() const
{
    nlohmann::ordered_json ports = nlohmann::ordered_json::object();
    for (const auto& [name, proxy] : m_proxies) {
        ports[name] = proxy->port();
    }
    return { { "ports", ports } };
}

std::vector<FaultProxy*> ProxyControl::select(const std::string& name) const
{
    std::vector<FaultProxy*> selected;
    for (const auto& [candidate, proxy] : m_proxies) {
        if (name == "*" || name == candidate) {
            selected.push_back(proxy.get());
        }
    }
    return selected;
}

nlohmann::ordered_json ProxyControl::state() const
{
    nlohmann::ordered_json state = nlohmann::ordered_json::object();
    for (const auto& [name, proxy] : m_proxies) {
        const ProxyCounters& counters = proxy->counters();
        state[name] = { { "port", proxy->port() }, { "open", proxy->openConnections() },
            { "connections", counters.connections }, { "bytesToTarget", counters.bytesToTarget },
            { "bytesToClient", counters.bytesToClient }, { "truncated", counters.truncated },
            { "reset", counters.reset }, { "faults", describe(proxy->faults()) } };
    }
    return state;
}

void ProxyControl::handle(const http::HttpRequest& request, const http::Responder& responder)
{
    if (request.path == "/proxies" && request.method == "GET") {
        return responder.respond({ 200, {}, state().dump() });
    }
    const bool isReset = request.method == "POST" && request.path.ends_with(resetSuffix);
    std::string name = request.path.starts_with(proxiesPath) ? request.path.substr(proxiesPath.size()) : "";
    if (isReset) {
        name.resize(name.size() - std::min(name.size(), resetSuffix.size()));
    }
    const std::vector<FaultProxy*> selected = select(name);
    if (selected.empty()) {
        return responder.respond({ 404, {}, "no such proxy" });
    }
    try {
        if (isReset) {
            std::ranges::for_each(selected, [](FaultProxy* proxy) { proxy->resetConnections(); });
        } else if (request.method == "PUT") {
            const ProxyFaults faults = parseProxyFaults(nlohmann::json::parse(request.body, nullptr, false));
            std::ranges::for_each(selected, [&](FaultProxy* proxy) { proxy->setFaults(faults); });
        } else if (request.method == "DELETE") {
            std::ranges::for_each(selected, [](FaultProxy* proxy) { proxy->setFaults({}); });
        } else {
            return responder.respond({ 405, {}, "" });
        }
    } catch (const base::InvalidInput& error) {
        return responder.respond({ 400, {}, error.what() });
    }
    m_log.info("faults-changed",
        { { "proxy", name }, { "reset", isReset }, { "faults", describe(selected.front()->faults()).dump() } });
    responder.respond({ 200, {}, "" });
}

} // namespace crocuscove::testing
