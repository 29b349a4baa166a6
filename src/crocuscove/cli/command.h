#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/cli/admin_api.h"
#include "crocuscove/cli/command_error.h"
#include "crocuscove/cli/console.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::cli {

using Arguments = std::vector<std::string>;

/// How a command is called. The operands are all required.
struct CommandSpec {
    std::string_view name;
    std::vector<std::string_view> operands;
    std::string_view summary;
};

struct Command {
    CommandSpec spec;
    ExitCode (*run)(const Arguments& arguments, Console& console) = nullptr;
};

/// Returns all commands in the order of the help.
std::span<const Command> commandTable();

/// Reads flags and environment into `settings` and returns the operands. Returns nothing after --help or --version.
std::optional<Arguments> readArguments(
    const CommandSpec& spec, const std::vector<base::Setting>& settings, const Arguments& arguments, Console& console);

/// Returns the setting --output.
base::Setting outputSetting(Console& console);

/// Returns the settings --output, --server and --timeout-ms.
std::vector<base::Setting> serverSettings(ServerOptions& options, Console& console);

/// Returns the setting of an optional whole number.
base::Setting numberSetting(std::string name, std::string help, std::int64_t minimum, std::int64_t maximum,
    std::optional<std::uint64_t>& target);

/// Returns a switch.
base::Setting switchSetting(std::string name, std::string help, bool& target);

/// Returns the first line of the help and of --version.
std::string versionLine();

} // namespace crocuscove::cli
