#include "crocuscove/cli/commands.h"

#include "crocuscove/control/control_options.h"

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "control", {}, "Runs a control node of the platform until SIGTERM." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    control::ControlOptions options;
    if (!readArguments(spec(), control::controlSettings(options), arguments, console)) {
        return ExitCode::Success;
    }
    control::runControl(options);
    return ExitCode::Success;
}

} // namespace

Command controlCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
