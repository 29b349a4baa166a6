#include "support/standin_worker.h"

#include "support/command.h"

using namespace crocuscove;
using namespace crocuscove::testing;

int main(int argc, char** argv)
{
    StandinWorkerOptions options;
    std::vector<base::Setting> settings {
        textSetting("worker", "id of the worker", options.worker),
        textSetting("vm", "id of its VM", options.vm),
        textSetting("data-centre", "data centre of its VM", options.dataCentre),
        textSetting("rack", "rack of its VM", options.rack),
        integerSetting("cores", "processors", 1, 10'000, options.cores),
        integerSetting("memory-mb", "memory", 1, 100'000'000, options.memoryMb),
        integerSetting("accelerators", "accelerators", 0, 1000, options.accelerators),
        endpointListSetting("admin", "admin listeners to announce to", options.admins),
        integerSetting("announce-interval-ms", "time between announcements", 10, 60'000, options.announceIntervalMs),
        integerSetting("seed", "seed of run times", 0, 1'000'000'000, options.seed),
        integerSetting("task-cores", "processors that a task reports to use", 0, 10'000, options.taskCores),
        integerSetting("task-memory-mb", "memory that a task reports to use", 0, 100'000'000, options.taskMemoryMb),
        switchSetting("fail", "fail every task at once", options.failsEverything),
        textSetting("records", "file that gets a JSON line for each start and end", options.recordsFile),
        integerSetting("stop-bound-ms", "time to wait for mayStop after SIGTERM", 0, 3'600'000, options.stopBoundMs),
    };
    const auto runTimes = runTimeSettings(options.runTimes);
    settings.insert(settings.end(), runTimes.begin(), runTimes.end());
    return runCommand("standin_worker", settings, argc, argv, [&](CommandContext& context) {
        StandinWorker worker(context.loop, context.log, options, [&] { context.loop.stop(); });
        context.onStop = [&] { worker.leave("signal"); };
        CommandContext::printLine({ { "ready", true } });
        context.loop.run();
        return 0;
    });
}
