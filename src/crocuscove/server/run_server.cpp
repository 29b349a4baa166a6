#include "crocuscove/server/run_server.h"

#include "crocuscove/base/error.h"
#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/replication/storage_start.h"
#include "node.h"

#include <csignal>
#include <optional>

namespace crocuscove::server {

void runServer(const ServerOptions& options)
{
    const base::Log log(options.logLevel, { { "node", options.node.text() } });
    // Writing to a connection that the peer has closed raises SIGPIPE, which would end the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    // A write over the limit of file size fails instead.
    static_cast<void>(std::signal(SIGXFSZ, SIG_IGN));
    try {
        http::EventLoop loop;
        std::optional<Node> node;
        const replication::StorageStart start(loop, log, [&] { node.emplace(loop, options, log); });
        const auto stop = [&] { node ? node->beginShutdown() : loop.stop(); };
        const auto terminate = loop.onSignal(SIGTERM, stop);
        const auto interrupt = loop.onSignal(SIGINT, stop);
        loop.run();
    } catch (const base::Error& error) {
        log.error("node_failed", { { "cause", error.what() } });
        throw;
    }
}

} // namespace crocuscove::server
