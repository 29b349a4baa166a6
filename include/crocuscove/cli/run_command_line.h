#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace crocuscove::cli {

/// What a command may touch of its surroundings.
struct Surroundings {
    std::ostream& out;
    std::ostream& err;
    /// Returns the value of an environment variable, or null.
    std::function<const char*(const std::string& name)> environment;
    /// Whether `out` is a terminal, where --watch redraws in place.
    bool isTerminal = false;
    /// Asked before each repetition of --watch. Without it, --watch goes on until the process ends.
    std::function<bool()> keepWatching {};
};

/// Runs `crocuscove <command> [flags]`; `arguments` starts with the command. Returns the exit code.
int runCommandLine(const std::vector<std::string>& arguments, const Surroundings& surroundings);

} // namespace crocuscove::cli
