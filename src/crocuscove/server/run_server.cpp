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
    // A peer that closes its connection must not end the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    try {
        http::EventLoop loop;
        Node node(loop, options, log);
        const auto terminate = loop.onSignal(SIGTERM, [&node] { node.beginStop(); });
        const auto interrupt = loop.onSignal(SIGINT, [&node] { node.beginStop(); });
        loop.run();
    } catch (const base::Error& error) {
        log.error("node_failed", { { "cause", error.what() } });
        throw;
    }
}

} // namespace crocuscove::server
