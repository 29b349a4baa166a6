#include "crocuscove/cli/run_command_line.h"

#include "crocuscove/cli/command.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>

namespace crocuscove::cli {

namespace {

/// Replaces the names that users of other tools try first.
std::string commandName(const std::string& argument)
{
    if (argument == "--help" || argument == "-h") {
        return "help";
    }
    return argument == "--version" ? "version" : argument;
}

const Command& findCommand(const Arguments& arguments)
{
    if (arguments.empty()) {
        throw base::InvalidInput("a command is missing; see crocuscove help");
    }
    const std::string name = commandName(arguments.front());
    const auto commands = commandTable();
    const auto command
        = std::ranges::find_if(commands, [&](const Command& candidate) { return candidate.spec.name == name; });
    if (command == commands.end()) {
        throw base::InvalidInput(fmt::format("unknown command '{}'; see crocuscove help", arguments.front()));
    }
    return *command;
}

ExitCode reportFailure(ExitCode code, const std::string& message, const JsonValue& details, Console& console)
{
    console.note("crocuscove: " + message);
    if (console.isJson()) {
        JsonValue answer { { "error", exitCodeName(code) }, { "message", message } };
        answer.update(details);
        console.writeJson(answer);
    }
    return code;
}

ExitCode run(const Arguments& arguments, Console& console)
{
    try {
        const Command& command = findCommand(arguments);
        const ExitCode code = command.run({ arguments.begin() + 1, arguments.end() }, console);
        if (!console.surroundings().out.good()) {
            throw CommandError(ExitCode::Failed, "the output can't be written");
        }
        return code;
    } catch (const CommandError& error) {
        return reportFailure(error.code(), error.what(), error.details(), console);
    } catch (const base::InvalidInput& error) {
        return reportFailure(ExitCode::InvalidInput, error.what(), JsonValue::object(), console);
    } catch (const std::exception& error) {
        return reportFailure(ExitCode::Failed, error.what(), JsonValue::object(), console);
    }
}

} // namespace

int runCommandLine(const std::vector<std::string>& arguments, const Surroundings& surroundings)
{
    Console console(surroundings);
    return static_cast<int>(run(arguments, console));
}

} // namespace crocuscove::cli
