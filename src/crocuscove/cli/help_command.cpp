#include "crocuscove/cli/commands.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "help", {}, "Shows the commands, or with the name of one, its flags." }; }

std::string overview()
{
    std::string text = versionLine() + ": manages a fleet by the documents of its services\n\n"
        + "usage: crocuscove <command> [flags]\n\n";
    for (const Command& command : commandTable()) {
        const std::string call = fmt::format("{} {}", command.spec.name, fmt::join(command.spec.operands, " "));
        text += fmt::format("  {:<18} {}\n", call, command.spec.summary);
    }
    return text
        + "\nEvery command takes --help and --version, and every other flag also as an environment variable: --server "
          "is\nCROCUSCOVE_SERVER.\n\nExit codes: 0 success, 1 operation failed, 2 usage or invalid input, 3 conflict, "
          "4 unavailable or not\nexecuted, 5 outcome unknown. docs/cli.md explains all.\n";
}

ExitCode run(const Arguments& arguments, Console& console)
{
    const auto commands = commandTable();
    const auto command = std::ranges::find_if(commands, [&](const Command& candidate) {
        return arguments.size() == 1 && candidate.spec.name == arguments.front() && candidate.spec.name != spec().name;
    });
    if (command != commands.end()) {
        return command->run({ "--help" }, console);
    }
    if (readArguments(spec(), {}, arguments, console)) {
        console.write(overview());
    }
    return ExitCode::Success;
}

} // namespace

Command helpCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
