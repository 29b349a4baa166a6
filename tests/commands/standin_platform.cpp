#include "support/standin_platform.h"

#include "crocuscove/base/error.h"
#include "support/command.h"

#include <fstream>

using namespace crocuscove;
using namespace crocuscove::testing;

namespace {

std::vector<PlatformVm> readVms(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw base::InvalidInput("--vms: can't read '" + path + "'");
    }
    const auto json = nlohmann::json::parse(file, nullptr, false);
    if (!json.is_array()) {
        throw base::InvalidInput("--vms: '" + path + "' is not a JSON list");
    }
    return parsePlatformVms(json);
}

} // namespace

int main(int argc, char** argv)
{
    StandinPlatformOptions options;
    std::string vmsFile;
    const std::vector<base::Setting> settings {
        endpointSetting("listen", "address to serve on; port 0 takes a free one", options.listen),
        textSetting("vms", "JSON file with the list of VMs", vmsFile),
        integerSetting("reboot-ms", "how long a VM is away for a reboot", 0, 3'600'000, options.rebootMs),
        textListSetting("never-returning", "VMs that a reboot leaves off", options.neverReturning),
        textSetting("records", "file that gets a JSON line for each call", options.recordsFile),
    };
    return runCommand("standin_platform", settings, argc, argv, [&](CommandContext& context) {
        options.vms = readVms(vmsFile);
        const StandinPlatform platform(context.loop, context.log, options);
        CommandContext::printLine({ { "ready", true }, { "port", platform.port() } });
        context.loop.run();
        return 0;
    });
}
