#include "support/standin_vms.h"

#include "support/command.h"

using namespace crocuscove;
using namespace crocuscove::testing;

namespace {

std::vector<base::Setting> settingsOf(StandinVmsOptions& options)
{
    return {
        endpointSetting("listen", "address to serve on; port 0 takes a free one", options.listen),
        textListSetting("vms", "VMs as VM=WORKER@HOST:PORT", options.vms),
        textSetting("pool", "pool that they belong to", options.pool),
        integerSetting("maintenance-ms", "how long maintenance takes", 1, 60'000, options.maintenanceMs),
        switchSetting("already-done", "confirm every order as carried out before", options.isAlreadyDone),
        textSetting("left-out", "VM that every other list leaves out", options.leftOut),
        textSetting("late-vm", "VM whose first order is carried out late and not answered", options.lateVm),
        integerSetting("late-ms", "how late it is carried out", 1, 60'000, options.lateMs),
        integerSetting("stale-ms", "how long a VM is listed as up after its order", 0, 60'000, options.staleMs),
        switchSetting("odd-entries", "list entries of another writer among the VMs", options.hasOddEntries),
        textSetting("records", "file that gets a JSON line for each order and return", options.recordsFile),
    };
}

int run(CommandContext& context, StandinVmsOptions& options)
{
    const StandinVms vms(context.loop, options);
    CommandContext::printLine({ { "ready", true }, { "port", vms.port() } });
    context.loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    StandinVmsOptions options;
    return runCommand(
        "standin_vms", settingsOf(options), argc, argv, [&](CommandContext& context) { return run(context, options); });
}
