#pragma once

#include "crocuscove/cli/command.h"

namespace crocuscove::cli {

Command serveCommand();
Command controlCommand();
Command entryCommand();
Command checkCommand();
Command diffCommand();
Command applyCommand();
Command getCommand();
Command historyCommand();
Command listCommand();
Command statusCommand();
Command storageCheckCommand();
Command versionCommand();
Command helpCommand();

} // namespace crocuscove::cli
