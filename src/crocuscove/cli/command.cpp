#include "crocuscove/cli/command.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace crocuscove::cli {

namespace {

constexpr std::int64_t maxTimeoutMs = 3600000; // 1 h

constexpr auto formatNames = base::enumNames<OutputFormat>({
    { OutputFormat::Text, "text" },
    { OutputFormat::Json, "json" },
});

/// Tells whether `flag` is among the arguments before "--".
bool hasFlag(const Arguments& arguments, std::string_view flag)
{
    const auto end = std::ranges::find(arguments, "--");
    return std::find(arguments.begin(), end, flag) != end;
}

std::string usageOf(const CommandSpec& spec)
{
    const std::string operands = fmt::format("{}", fmt::join(spec.operands, " "));
    return fmt::format("crocuscove {}{}{} [flags]", spec.name, operands.empty() ? "" : " ", operands);
}

std::string helpOf(const CommandSpec& spec, const std::vector<base::Setting>& settings)
{
    return fmt::format("{}\n\nusage: {}\n\n{}  {:<28} {}\n  {:<28} {}\n", spec.summary, usageOf(spec),
        base::describeSettings(settings), "--help", "show this text", "--version", "show the version");
}

void requireOperands(const CommandSpec& spec, const Arguments& operands)
{
    if (operands.size() < spec.operands.size()) {
        throw base::InvalidInput(
            fmt::format("{} is missing; usage: {}", spec.operands[operands.size()], usageOf(spec)));
    }
    if (operands.size() > spec.operands.size()) {
        throw base::InvalidInput(
            fmt::format("unexpected argument '{}'; usage: {}", operands[spec.operands.size()], usageOf(spec)));
    }
}

} // namespace

std::optional<Arguments> readArguments(
    const CommandSpec& spec, const std::vector<base::Setting>& settings, const Arguments& arguments, Console& console)
{
    // These two have no environment variable: CROCUSCOVE_VERSION is often set by build scripts.
    if (hasFlag(arguments, "--help")) {
        console.write(helpOf(spec, settings));
        return std::nullopt;
    }
    if (hasFlag(arguments, "--version")) {
        console.write(versionLine() + "\n");
        return std::nullopt;
    }
    Arguments operands = base::readSettings(settings, arguments, console.surroundings().environment);
    requireOperands(spec, operands);
    return operands;
}

base::Setting outputSetting(Console& console)
{
    return { "output", "format of the output (default text)", "text, json", [&console](std::string_view value) {
                const auto format = formatNames.parse(value);
                if (!format) {
                    throw base::InvalidInput("unknown format");
                }
                console.setFormat(*format);
            } };
}

std::vector<base::Setting> serverSettings(ServerOptions& options, Console& console)
{
    return {
        outputSetting(console),
        { "server", fmt::format("admin listener of a node (default {})", options.server.text()),
            "IPv4:PORT or [IPv6]:PORT with a port of 1 to 65535",
            [&options](std::string_view value) {
                const base::Endpoint server = base::parseEndpoint(value);
                if (server.port == 0) {
                    throw base::InvalidInput("port 0");
                }
                options.server = server;
            } },
        { "timeout-ms", fmt::format("ms that one call may take (default {})", options.timeout.count()),
            fmt::format("1 to {}", maxTimeoutMs),
            [&options](std::string_view value) {
                options.timeout = base::Milliseconds(base::parseInteger(value, 1, maxTimeoutMs));
            } },
    };
}

base::Setting numberSetting(std::string name, std::string help, std::int64_t minimum, std::int64_t maximum,
    std::optional<std::uint64_t>& target)
{
    return { std::move(name), std::move(help), fmt::format("{} to {}", minimum, maximum),
        [minimum, maximum, &target](std::string_view value) {
            target = static_cast<std::uint64_t>(base::parseInteger(value, minimum, maximum));
        } };
}

base::Setting switchSetting(std::string name, std::string help, bool& target)
{
    return { std::move(name), std::move(help), "", [&target](std::string_view) { target = true; }, true };
}

std::string versionLine() { return fmt::format("crocuscove {}", CROCUSCOVE_VERSION); }

} // namespace crocuscove::cli
