#include "support/standin_executor.h"

#include "support/command.h"

using namespace crocuscove;
using namespace crocuscove::testing;

namespace {

std::vector<base::Setting> settingsOf(StandinExecutorOptions& options)
{
    return {
        textSetting("id", "id of the worker", options.id),
        textSetting("service", "pool that it belongs to", options.service),
        textSetting("rack", "rack that it is in", options.rack),
        endpointSetting("listen", "address to serve on; port 0 takes a free one", options.listen),
        endpointSetting("advertise", "address to report, its own for port 0", options.advertise),
        endpointListSetting("controls", "control nodes to report to", options.controls),
        integerSetting("cpu", "capacity in thousandths of a core", 1, 1'000'000, options.cpu),
        integerSetting("task-cpu", "use of each task in thousandths of a core", 0, 1'000'000, options.taskCpu),
        integerSetting("shrinks-on-start", "capacity from the first start on, -1 for no change", -1, 1'000'000,
            options.shrinksOnStart),
        integerSetting("report-interval-ms", "time between reports", 10, 60'000, options.reportIntervalMs),
        integerSetting("clock-permille", "rate of its clock in thousandths", 1, 2'000, options.clockPermille),
        integerSetting("unanswered-starts", "first starts without an answer", 0, 1'000, options.unansweredStarts),
        integerSetting("refused-starts", "first starts that are refused", 0, 1'000, options.refusedStarts),
        integerSetting("unanswered-stops", "first stops without an answer", 0, 1'000, options.unansweredStops),
        switchSetting("drains-on-start", "drain instead of carrying out the first start", options.drainsOnStart),
        integerSetting("late-orders-for-ms", "time from the first start in which orders are carried out late", 0,
            60'000, options.lateOrdersForMs),
        integerSetting("late-order-delay-ms", "delay of such orders", 0, 60'000, options.lateOrderDelayMs),
        integerSetting("restarts-at-start", "number of the start that a new incarnation takes, 0 for none", 0, 1'000,
            options.restartsAtStart),
        integerSetting("max-lease-ms", "longest lease", 1, 60'000, options.maxLeaseMs),
        integerSetting("crash-after-late-order-ms", "time from the first such order to a crash, 0 for none", 0, 60'000,
            options.crashAfterLateOrderMs),
        integerSetting("crash-delay-ms", "time from the start of a task until it crashes the worker", 0, 60'000,
            options.crashDelayMs),
        integerSetting("crash-ms", "time away after a crash", 1, 60'000, options.crashMs),
        switchSetting("renames-after-crash", "come back under another id after a crash", options.renamesAfterCrash),
        switchSetting("odd-rows", "list rows of another writer among its runs", options.hasOddRows),
        textSetting("records", "file that gets a JSON line for each start and end", options.recordsFile),
    };
}

int run(CommandContext& context, StandinExecutorOptions& options)
{
    const StandinExecutor executor(context.loop, options);
    CommandContext::printLine({ { "ready", true }, { "port", executor.port() } });
    context.loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    StandinExecutorOptions options;
    return runCommand("standin_executor", settingsOf(options), argc, argv,
        [&](CommandContext& context) { return run(context, options); });
}
