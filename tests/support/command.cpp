#include "support/command.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

namespace crocuscove::testing {

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

} // namespace

void CommandContext::printLine(const nlohmann::ordered_json& fields)
{
    fmt::print("{}\n", fields.dump());
    std::fflush(stdout);
}

int runCommand(std::string_view name, const std::vector<base::Setting>& settings, int argc, char** argv,
    const std::function<int(CommandContext&)>& body)
{
    const base::Log log(base::LogLevel::Info, { { "process", name } });
    try {
        bool isHelp = false;
        std::vector<base::Setting> all = settings;
        all.push_back(switchSetting("help", "print the settings", isHelp));
        const std::vector<std::string> positional = base::readSettings(
            all, { argv + 1, argv + argc }, [](const std::string& variable) { return std::getenv(variable.c_str()); });
        if (isHelp) {
            fmt::print("{} [flags]\n{}", name, base::describeSettings(all));
            return 0;
        }
        if (!positional.empty()) {
            throw base::InvalidInput(fmt::format("unexpected argument '{}'", positional.front()));
        }
        std::signal(SIGPIPE, SIG_IGN);
        http::EventLoop loop;
        CommandContext context { loop, log, [&loop] { loop.stop(); } };
        const http::Watch terminate = loop.onSignal(SIGTERM, [&] { context.onStop(); });
        const http::Watch interrupt = loop.onSignal(SIGINT, [&] { context.onStop(); });
        return body(context);
    } catch (const base::InvalidInput& error) {
        log.error("invalid-setting", { { "reason", error.what() } });
        return exitUsage;
    } catch (const std::exception& error) {
        log.error("failed", { { "reason", error.what() } });
        return exitFailed;
    }
}

base::Setting integerSetting(
    std::string name, std::string help, std::int64_t minimum, std::int64_t maximum, std::int64_t& target)
{
    return { std::move(name), std::move(help), fmt::format("{} to {}", minimum, maximum),
        [=, &target](std::string_view value) { target = base::parseInteger(value, minimum, maximum); } };
}

base::Setting textSetting(std::string name, std::string help, std::string& target)
{
    return { std::move(name), std::move(help), "text", [&target](std::string_view value) { target = value; } };
}

base::Setting endpointSetting(std::string name, std::string help, base::Endpoint& target)
{
    return { std::move(name), std::move(help), "IP:port",
        [&target](std::string_view value) { target = base::parseEndpoint(value); } };
}

base::Setting switchSetting(std::string name, std::string help, bool& target)
{
    return { std::move(name), std::move(help), "", [&target](std::string_view) { target = true; }, true };
}

base::Setting endpointListSetting(std::string name, std::string help, std::vector<base::Endpoint>& target)
{
    return { std::move(name), std::move(help), "IP:port[,IP:port...]", [&target](std::string_view value) {
                for (const std::string& item : splitList(value, ',')) {
                    target.push_back(base::parseEndpoint(item));
                }
            } };
}

base::Setting textListSetting(std::string name, std::string help, std::vector<std::string>& target)
{
    return { std::move(name), std::move(help), "text[,text...]", [&target](std::string_view value) {
                for (std::string& item : splitList(value, ',')) {
                    target.push_back(std::move(item));
                }
            } };
}

std::vector<std::string> splitList(std::string_view text, char separator)
{
    std::vector<std::string> items;
    while (true) {
        const auto end = text.find(separator);
        items.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return items;
        }
        text.remove_prefix(end + 1);
    }
}

} // namespace crocuscove::testing
