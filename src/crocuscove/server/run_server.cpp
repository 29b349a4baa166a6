#include "crocuscove/server/run_server.h"

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "node.h"
#include "options.h"

#include <csignal>
#include <utility>

namespace crocuscove::server {

int runServer(const std::vector<std::string>& arguments)
{
    ServerOptions options = readServerOptions(arguments);
    const base::Log log(options.logLevel, { { "node", options.node.text() } });
    // A peer that closes its connection must not end the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    http::EventLoop loop;
    Node node(loop, std::move(options), log);
    const auto terminate = loop.onSignal(SIGTERM, [&node] { node.beginStop(); });
    const auto interrupt = loop.onSignal(SIGINT, [&node] { node.beginStop(); });
    loop.run();
    return 0;
}

std::string describeServerSettings()
{
    ServerOptions options;
    return base::describeSettings(serverSettings(options));
}

} // namespace crocuscove::server
