#pragma once

#include "crocuscove/cli/command.h"

namespace crocuscove::cli {

Command checkCommand();
Command diffCommand();
Command applyCommand();
Command getCommand();
Command historyCommand();
Command listCommand();
Command statusCommand();
Command versionCommand();
Command helpCommand();

} // namespace crocuscove::cli
