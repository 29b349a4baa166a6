#include "crocuscove/base/error.h"
#include "crocuscove/base/text.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/control/node_settings.h"
#include "crocuscove/process/metrics.h"
#include "crocuscove/process/run_process.h"

namespace crocuscove::control {

namespace {

constexpr std::int64_t maxMilliseconds = 3'600'000;
constexpr std::int64_t minDescriptors = 256;
constexpr std::int64_t maxDescriptors = 1'000'000;

base::Setting textSetting(std::string name, std::string help, std::string& target)
{
    return { std::move(name), std::move(help), "a text",
        [&target](std::string_view value) { target = std::string(value); } };
}

base::Setting durationSetting(std::string name, const std::string& help, base::Milliseconds& target)
{
    return { std::move(name), help + ", default " + std::to_string(target.count()), "1 to 3600000",
        [&target](
            std::string_view value) { target = base::Milliseconds(base::parseInteger(value, 1, maxMilliseconds)); } };
}

} // namespace

base::Setting internalPortSetting(std::uint16_t& target)
{
    return { "internal-port", "port between our own nodes, default " + std::to_string(target), "1 to 65535",
        [&target](
            std::string_view value) { target = static_cast<std::uint16_t>(base::parseInteger(value, 1, 65535)); } };
}

base::Setting seedsSetting(std::vector<base::Endpoint>& target)
{
    return { "seeds", "addresses of some control nodes", "IPv4:PORT, separated by commas",
        [&target](std::string_view value) {
            target.clear();
            for (const std::string& seed : base::split(value, ',')) {
                target.push_back(base::parseEndpoint(seed));
            }
        } };
}

std::vector<base::Setting> controlSettings(ControlOptions& options)
{
    return {
        textSetting("name", "name of this VM", options.name),
        { "listen", "listener for workers and operators, default " + options.listen.text(), "IPv4:PORT",
            [&options](std::string_view value) { options.listen = base::parseEndpoint(value); } },
        internalPortSetting(options.internalPort),
        seedsSetting(options.seeds),
        { "first-start", "whether the whole system starts for the first time, default false", "true, false",
            [&options](std::string_view value) {
                if (value != "true" && value != "false") {
                    throw base::InvalidInput("neither true nor false");
                }
                options.isFirstStart = value == "true";
            } },
        textSetting("data-folder", "folder of the replicated state", options.dataFolder),
        { "losses-borne", "nodes with a disk that may be lost at once, default 1", "0 to 3",
            [&options](std::string_view value) {
                options.votersWanted = static_cast<std::uint32_t>(2 * base::parseInteger(value, 0, 3) + 1);
            } },
        { "vm-interface", "the platform's interface for VMs", "IPv4:PORT",
            [&options](std::string_view value) { options.vmInterface = base::parseEndpoint(value); } },
        process::metricsSetting(options.metricsListen),
        process::logLinesSetting(options.logLinesPerEvent),
        { "max-descriptors", "file descriptors of the process, default " + std::to_string(options.maxDescriptors),
            "256 to 1000000",
            [&options](std::string_view value) {
                options.maxDescriptors
                    = static_cast<std::uint32_t>(base::parseInteger(value, minDescriptors, maxDescriptors));
            } },
        durationSetting("task-lease-ms", "ms that tasks run on without the leader", options.taskLease),
        durationSetting("max-task-lease-ms", "ms of the longest lease that workers grant", options.maxTaskLease),
        durationSetting("max-order-delay-ms", "ms until an order without an answer can no longer be carried out",
            options.maxOrderDelay),
        durationSetting("vm-lease-ms", "ms between the orders of two leaders for one VM", options.vmLease),
    };
}

} // namespace crocuscove::control
