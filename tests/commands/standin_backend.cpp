#include "support/standin_backend.h"

#include "crocuscove/base/error.h"
#include "support/command.h"
#include "support/fault_proxy.h"

#include <memory>

using namespace crocuscove;
using namespace crocuscove::testing;

namespace {

struct Arguments {
    StandinBackendOptions options;
    /// Cuts every answer after this many bytes, by a proxy within this process.
    std::int64_t truncateAfterBytes = 0;
};

std::vector<base::Setting> settingsOf(Arguments& arguments)
{
    StandinBackendOptions& options = arguments.options;
    std::vector<base::Setting> settings {
        textSetting("service", "service that it belongs to", options.service),
        textSetting("backend", "id of the backend server", options.backend),
        textSetting("vm", "id of its VM", options.vm),
        textSetting("data-centre", "data centre of its VM", options.dataCentre),
        textSetting("rack", "rack of its VM", options.rack),
        integerSetting("slots", "requests that run at once", 1, 1024, options.slots),
        integerSetting("connections", "connections accepted at once", 1, 65536, options.connections),
        endpointSetting("listen", "address to serve on; port 0 takes a free one", options.listen),
        integerSetting("announced-port", "port to announce; 0 announces its own", 0, 65535, options.announcedPort),
        endpointListSetting("admin", "admin listeners to announce to", options.admins),
        integerSetting("announce-interval-ms", "time between announcements", 10, 60'000, options.announceIntervalMs),
        integerSetting("seed", "seed of run times and faults", 0, 1'000'000'000, options.seed),
        textSetting("records", "file that gets a JSON line for each start and end", options.recordsFile),
        { "fault", "what goes wrong", "none, fail, hang, wrong-echo",
            [&](std::string_view value) {
                const auto fault = parseBackendFault(value);
                if (!fault) {
                    throw base::InvalidInput("unknown fault");
                }
                options.fault = *fault;
            } },
        integerSetting("fault-percent", "share of requests with the fault", 0, 100, options.faultPercent),
        integerSetting("truncate-after-bytes", "cut answers after so many bytes; 0 for none", 0, 1'000'000,
            arguments.truncateAfterBytes),
        integerSetting("stop-bound-ms", "time to wait for mayStop after SIGTERM", 0, 3'600'000, options.stopBoundMs),
        switchSetting("continue-after-disconnect", "run on when the client has gone", options.continuesAfterDisconnect),
    };
    const auto runTimes = runTimeSettings(options.runTimes);
    settings.insert(settings.end(), runTimes.begin(), runTimes.end());
    return settings;
}

int run(CommandContext& context, Arguments& arguments)
{
    StandinBackendOptions& options = arguments.options;
    std::unique_ptr<FaultProxy> proxy;
    if (arguments.truncateAfterBytes > 0) {
        // The server's port is known only after it listens, so the proxy takes its own port first.
        proxy = std::make_unique<FaultProxy>(
            context.loop, ProxyOptions { .listen = options.listen, .seed = static_cast<std::uint64_t>(options.seed) });
        options.listen.port = 0;
        options.announcedPort = proxy->port();
    }
    StandinBackend backend(context.loop, context.log, options, [&] { context.loop.stop(); });
    if (proxy) {
        proxy->setTarget({ options.listen.host, backend.port() });
        proxy->setFaults({ .truncateAfterBytes = arguments.truncateAfterBytes });
    }
    context.onStop = [&] { backend.leave("signal"); };
    CommandContext::printLine({ { "ready", true }, { "port", proxy ? proxy->port() : backend.port() } });
    context.loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments arguments;
    return runCommand("standin_backend", settingsOf(arguments), argc, argv,
        [&](CommandContext& context) { return run(context, arguments); });
}
