#include "crocuscove/server/run_server.h"

#include "crocuscove/base/error.h"
#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/process/run_process.h"
#include "crocuscove/replication/storage_start.h"
#include "node.h"

#include <memory>
#include <optional>

namespace crocuscove::server {

namespace {

/// A node that starts once its data folder can be opened.
class DelayedNode {
public:
    DelayedNode(http::EventLoop& loop, const ServerOptions& options, const base::Log& log)
        : m_loop(loop)
        , m_start(loop, log, [this, &options, &log] { m_node.emplace(m_loop, options, log); })
    {
    }

    void beginStop() { m_node ? m_node->beginShutdown() : m_loop.stop(); }

private:
    http::EventLoop& m_loop;
    std::optional<Node> m_node;
    replication::StorageStart m_start;
};

} // namespace

void runServer(const ServerOptions& options)
{
    const base::Log log(options.logLevel, { { "node", options.node.text() } });
    try {
        http::EventLoop loop;
        process::runWork(loop, [&] {
            const auto delayed = std::make_shared<DelayedNode>(loop, options, log);
            return process::Work { delayed, [delayed] { delayed->beginStop(); } };
        });
    } catch (const base::Error& error) {
        log.error("node_failed", { { "cause", error.what() } });
        throw;
    }
}

} // namespace crocuscove::server
