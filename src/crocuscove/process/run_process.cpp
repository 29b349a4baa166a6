#include "crocuscove/process/run_process.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/log_output.h"

#include <csignal>

namespace crocuscove::process {

void runProcess(
    const ProcessOptions& options, const std::function<Work(http::EventLoop& loop, const base::Log& log)>& start)
{
    // Writing to a connection that the peer has closed must not terminate the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    http::EventLoop loop;
    http::LogOutput output(loop);
    const base::Log log(
        options.logLevel, { { "node", options.name }, { "role", std::string(options.role) } }, output.sink());
    try {
        const Work work = start(loop, log);
        const auto terminate = loop.onSignal(SIGTERM, [&work] { work.beginStop(); });
        const auto interrupt = loop.onSignal(SIGINT, [&work] { work.beginStop(); });
        const auto reload = loop.onSignal(SIGHUP, [&log] { log.info("reload", { { "changed", 0 } }); });
        loop.run();
        log.info("stopped");
    } catch (const base::Error& error) {
        log.error("node_failed", { { "cause", error.what() } });
        throw;
    }
}

} // namespace crocuscove::process
