#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::testing {

/// What the main program of a stand-in works with.
struct CommandContext {
    http::EventLoop& loop;
    const base::Log& log;
    /// Runs on SIGTERM and SIGINT. By default it stops the loop.
    std::function<void()> onStop;

    /// Prints one JSON line to standard output, which tells the harness the ports.
    static void printLine(const nlohmann::ordered_json& fields);
};

/// Reads the settings from the command line and the environment, runs `body`, and returns the exit code: 2 for invalid
/// settings, 1 for an error, else what `body` returns. `body` runs the loop.
int runCommand(std::string_view name, const std::vector<base::Setting>& settings, int argc, char** argv,
    const std::function<int(CommandContext&)>& body);

base::Setting integerSetting(
    std::string name, std::string help, std::int64_t minimum, std::int64_t maximum, std::int64_t& target);
base::Setting textSetting(std::string name, std::string help, std::string& target);
base::Setting endpointSetting(std::string name, std::string help, base::Endpoint& target);
base::Setting switchSetting(std::string name, std::string help, bool& target);

/// A setting that may be given several times, or once with a comma-separated list.
base::Setting endpointListSetting(std::string name, std::string help, std::vector<base::Endpoint>& target);
base::Setting textListSetting(std::string name, std::string help, std::vector<std::string>& target);

std::vector<std::string> splitList(std::string_view text, char separator);

} // namespace crocuscove::testing
