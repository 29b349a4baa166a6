#include "crocuscove/cli/commands.h"

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "version", {}, "Shows the version." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    if (!readArguments(spec(), { outputSetting(console) }, arguments, console)) {
        return ExitCode::Success;
    }
    if (console.isJson()) {
        console.writeJson({ { "version", CROCUSCOVE_VERSION } });
    } else {
        console.write(versionLine() + "\n");
    }
    return ExitCode::Success;
}

} // namespace

Command versionCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
