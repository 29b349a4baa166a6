#include "support/load_generator.h"

#include "crocuscove/base/error.h"
#include "support/command.h"

using namespace crocuscove;
using namespace crocuscove::testing;

namespace {

std::vector<base::Setting> settingsOf(LoadOptions& options)
{
    return {
        endpointListSetting("target", "entry endpoints", options.targets),
        { "target-weights", "share of each target", "whole numbers, comma-separated",
            [&](std::string_view value) {
                for (const std::string& item : splitList(value, ',')) {
                    options.targetWeights.push_back(base::parseInteger(item, 0, 1'000'000));
                }
            } },
        { "class", "a kind of request; may be repeated", "NAME:WEIGHT:METHOD:PATH:DEADLINE-MS:RUN-MS:yes|no",
            [&](std::string_view value) { options.classes.push_back(parseLoadClass(value)); } },
        textListSetting("clients", "client teams, drawn with equal shares", options.clients),
        integerSetting("rate", "mean requests a second", 1, 100'000, options.ratePerSecond),
        integerSetting("duration-ms", "how long to send", 1, 3'600'000, options.durationMs),
        integerSetting("max-requests", "how many to send at most", 1, 100'000'000, options.maxRequests),
        integerSetting("max-open", "requests open at once", 1, 100'000, options.maxOpen),
        integerSetting("seed", "seed of arrivals and run times", 0, 1'000'000'000, options.seed),
        integerSetting("surge-factor", "rate of a surge as a multiple of the mean", 1, 100, options.surge.factor),
        integerSetting(
            "surge-period-ms", "time between surges, one class after another", 1, 3'600'000, options.surge.periodMs),
        integerSetting("surge-ms", "length of a surge", 0, 3'600'000, options.surge.surgeMs),
        integerSetting("run-sigma-percent", "spread of the logarithm of run times", 0, 500, options.runSigmaPercent),
        integerSetting("straggler-percent", "share of stragglers", 0, 100, options.stragglerPercent),
        integerSetting(
            "straggler-factor", "how many times longer a straggler runs", 1, 10'000, options.stragglerFactor),
        integerSetting("grace-ms", "time past the deadline until the client gives up", 0, 3'600'000, options.graceMs),
        switchSetting("idempotency-keys", "send Idempotency-Key with non-idempotent requests", options.sendsKeys),
        textSetting("records", "file that gets a JSON line for each request", options.recordsFile),
    };
}

void requireConsistent(const LoadOptions& options)
{
    if (options.targets.empty() || options.classes.empty()) {
        throw base::InvalidInput("--target and --class are needed");
    }
    if (!options.targetWeights.empty() && options.targetWeights.size() != options.targets.size()) {
        throw base::InvalidInput("--target-weights: one for each target is needed");
    }
}

} // namespace

int main(int argc, char** argv)
{
    LoadOptions options;
    return runCommand("load_generator", settingsOf(options), argc, argv, [&](CommandContext& context) {
        requireConsistent(options);
        LoadGenerator load(context.loop, context.log, options, [&] { context.loop.stop(); });
        context.onStop = [&] { load.stop(); };
        CommandContext::printLine({ { "ready", true } });
        context.loop.run();
        CommandContext::printLine(load.summary());
        return 0;
    });
}
