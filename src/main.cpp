#include "crocuscove/cli/run_command_line.h"

#include <unistd.h>

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    const crocuscove::cli::Surroundings surroundings {
        .out = std::cout,
        .err = std::cerr,
        .environment = [](const std::string& name) { return std::getenv(name.c_str()); },
        .isTerminal = isatty(STDOUT_FILENO) == 1,
    };
    return crocuscove::cli::runCommandLine({ argv + 1, argv + argc }, surroundings);
}
