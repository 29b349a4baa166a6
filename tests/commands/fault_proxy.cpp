#include "support/fault_proxy.h"

#include "support/command.h"
#include "support/proxy_control.h"

using namespace crocuscove;
using namespace crocuscove::testing;

int main(int argc, char** argv)
{
    std::vector<std::string> targets;
    base::Endpoint control { "127.0.0.1", 0 };
    std::int64_t seed = 1;
    const std::vector<base::Setting> settings {
        textListSetting("target", "NAME=LISTEN>TARGET, each IP:port; listening port 0 takes a free one", targets),
        endpointSetting("control", "address of the control listener", control),
        integerSetting("seed", "seed of the jitter", 0, 1'000'000'000, seed),
    };
    return runCommand("fault_proxy", settings, argc, argv, [&](CommandContext& context) {
        ProxyControl proxies(
            context.loop, context.log, control, parseProxyTargets(targets), static_cast<std::uint64_t>(seed));
        nlohmann::ordered_json ready { { "ready", true }, { "control", proxies.port() } };
        ready.update(proxies.ports());
        CommandContext::printLine(ready);
        context.loop.run();
        return 0;
    });
}
