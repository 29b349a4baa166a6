#include "crocuscove/cli/commands.h"

#include <fmt/format.h>

#include <limits>

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "get", { "SERVICE" }, "Prints the document of a service." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    ServerOptions options;
    std::optional<std::uint64_t> revision;
    std::vector<base::Setting> settings = serverSettings(options, console);
    settings.push_back(numberSetting("revision", "revision to print (default: the one in force)", 1,
        std::numeric_limits<std::int64_t>::max(), revision));
    const auto operands = readArguments(spec(), settings, arguments, console);
    if (!operands) {
        return ExitCode::Success;
    }
    const base::ServiceId service(operands->front());
    const auto stored = fetchDocument(options, service, revision);
    if (!stored && revision) {
        throw CommandError(ExitCode::Failed, fmt::format("service '{}' has no revision {}", service.text(), *revision));
    }
    if (!stored) {
        throw noDocument(service);
    }
    if (console.isJson()) {
        console.writeJson(
            { { "service", service.text() }, { "revision", stored->revision }, { "document", stored->text } });
    } else {
        console.write(stored->text);
    }
    return ExitCode::Success;
}

} // namespace

Command getCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
