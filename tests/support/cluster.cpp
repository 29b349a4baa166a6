#include "support/cluster.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/socket_address.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace crocuscove::testing {

namespace {

constexpr base::Milliseconds requestTimeout { 30'000 };

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "crocuscove-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw base::Error("can't create a folder for the test");
    }
    return pattern;
}

bool isFree(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const http::SocketAddress address = http::socketAddress(loopback(port));
    const bool isBound = bind(fd, address.get(), address.size) == 0;
    ::close(fd);
    return isBound;
}

// Ports below the range that the system takes for outgoing connections, which would otherwise take a port between its
// choice and the start of the program that is to listen on it. Each test process begins at a place of its own.
std::uint16_t takeFreePort()
{
    constexpr std::uint32_t firstPort = 10'000;
    constexpr std::uint32_t portCount = 20'000;
    constexpr std::uint32_t portsPerProcess = 97;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * portsPerProcess;
    for (std::uint32_t tries = 0; tries < portCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (isFree(port)) {
            return port;
        }
    }
    throw base::Error("no loopback port is free");
}

} // namespace

Cluster::Cluster(std::function<bool()> keepsFolder)
    : m_keepsFolder(std::move(keepsFolder))
    , m_folder(makeFolder())
{
    // A request to a node that was just killed must fail as a request, not end the test.
    std::signal(SIGPIPE, SIG_IGN);
}

Cluster::~Cluster()
{
    // All at once, so that processes that wait for each other don't add up their time bounds.
    std::ranges::for_each(m_processes, [](const auto& entry) { entry.second->signal(SIGTERM); });
    m_processes.clear();
    if (!m_keepsFolder || !m_keepsFolder()) {
        std::error_code error;
        std::filesystem::remove_all(m_folder, error);
    }
}

ChildProcess& Cluster::start(
    const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    const auto known = m_processes.find(name);
    if (known != m_processes.end() && known->second->isRunning()) {
        throw base::Error(fmt::format("{} is running already", name));
    }
    auto child = std::make_unique<ChildProcess>(name, m_folder, program, arguments);
    return *(m_processes[name] = std::move(child));
}

ChildProcess& Cluster::startAndWait(const std::string& name, const std::string& program,
    const std::vector<std::string>& arguments, nlohmann::json& ready)
{
    ChildProcess& child = start(name, program, arguments);
    ready = child.waitForReady();
    return child;
}

std::uint16_t Cluster::freePort()
{
    std::uint16_t port = takeFreePort();
    while (!m_ports.insert(port).second) {
        port = takeFreePort();
    }
    return port;
}

http::ExchangeResult Cluster::request(const base::Endpoint& endpoint, const std::string& method,
    const std::string& target, const std::string& body, const http::Headers& headers)
{
    http::EventLoop loop;
    http::HttpClient client(loop, {});
    http::HttpRequest request;
    request.method = method;
    request.rawTarget = target;
    request.headers = headers;
    request.body = body;
    http::ExchangeResult outcome;
    client.call(endpoint, request, base::monotonicNow() + requestTimeout, [&](http::ExchangeResult result) {
        outcome = std::move(result);
        loop.stop();
    });
    loop.run();
    return outcome;
}

nlohmann::json Cluster::getJson(const base::Endpoint& endpoint, const std::string& target)
{
    const http::ExchangeResult result = request(endpoint, "GET", target);
    if (!result.response || result.response->status != 200) {
        return nullptr;
    }
    auto body = nlohmann::json::parse(result.response->body, nullptr, false);
    return body.is_discarded() ? nlohmann::json() : body;
}

std::string flag(const std::string& name, const std::string& value) { return "--" + name + "=" + value; }
std::string flag(const std::string& name, std::int64_t value) { return flag(name, std::to_string(value)); }

} // namespace crocuscove::testing
