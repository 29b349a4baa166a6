#include "crocuscove/cli/commands.h"

#include <array>

namespace crocuscove::cli {

std::span<const Command> commandTable()
{
    static const std::array commands { serveCommand(), controlCommand(), entryCommand(), checkCommand(), diffCommand(),
        applyCommand(), getCommand(), historyCommand(), listCommand(), statusCommand(), storageCheckCommand(),
        versionCommand(), helpCommand() };
    return commands;
}

} // namespace crocuscove::cli
