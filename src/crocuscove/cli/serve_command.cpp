#include "crocuscove/cli/commands.h"

#include "crocuscove/server/run_server.h"

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "serve", {}, "Runs a node until SIGTERM." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    server::ServerOptions options;
    if (!readArguments(spec(), server::serverSettings(options), arguments, console)) {
        return ExitCode::Success;
    }
    server::completeServerOptions(options);
    server::runServer(options);
    return ExitCode::Success;
}

} // namespace

Command serveCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
