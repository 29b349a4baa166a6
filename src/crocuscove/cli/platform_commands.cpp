// The commands of a build for the users' platform, which leaves out `serve` and the commands for its operators.

#include "crocuscove/cli/commands.h"

#include <array>

namespace crocuscove::cli {

std::span<const Command> commandTable()
{
    static const std::array commands { controlCommand(), entryCommand(), storageCheckCommand(), versionCommand(),
        helpCommand() };
    return commands;
}

} // namespace crocuscove::cli
