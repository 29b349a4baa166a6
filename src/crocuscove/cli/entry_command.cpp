#include "crocuscove/cli/commands.h"

#include "crocuscove/entry/entry_options.h"

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "entry", {}, "Runs an entry node of the platform until SIGTERM." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    entry::EntryOptions options;
    if (!readArguments(spec(), entry::entrySettings(options), arguments, console)) {
        return ExitCode::Success;
    }
    entry::runEntry(options);
    return ExitCode::Success;
}

} // namespace

Command entryCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
