#include "crocuscove/server/run_server.h"

#include "crocuscove/base/error.h"
#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "node.h"

#include <csignal>

namespace crocuscove::server {

void runServer(const ServerOptions& options)
{
    const base::Log log(options.logLevel, { { "node", options.node.text() } });
    // Writing to a connection that the peer has closed raises SIGPIPE, which would end the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    try {
        http::EventLoop loop;
        Node node(loop, options, log);
        const auto terminate = loop.onSignal(SIGTERM, [&node] { node.beginShutdown(); });
        const auto interrupt = loop.onSignal(SIGINT, [&node] { node.beginShutdown(); });
        loop.run();
    } catch (const base::Error& error) {
        log.error("node_failed", { { "cause", error.what() } });
        throw;
    }
}

} // namespace crocuscove::server
