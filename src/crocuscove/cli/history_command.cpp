#include "crocuscove/cli/commands.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <ctime>

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "history", { "SERVICE" }, "Lists the revisions of a document with their request ids." }; }

/// Formats a moment as UTC, to the second.
std::string formatTime(std::int64_t milliseconds)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::time_t seconds = milliseconds / millisecondsPerSecond;
    std::tm time {};
    if (gmtime_r(&seconds, &time) == nullptr) {
        return std::to_string(milliseconds);
    }
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", time);
}

ExitCode run(const Arguments& arguments, Console& console)
{
    ServerOptions options;
    const auto operands = readArguments(spec(), serverSettings(options, console), arguments, console);
    if (!operands) {
        return ExitCode::Success;
    }
    const base::ServiceId service(operands->front());
    const auto history = fetchHistory(options, service);
    JsonValue list = JsonValue::array();
    std::vector<std::vector<std::string>> rows { { "REVISION", "APPLIED", "REQUEST ID" } };
    for (const RevisionRecord& record : history) {
        rows.push_back({ std::to_string(record.revision), formatTime(record.appliedAtMs), record.requestId });
        list.push_back({ { "revision", record.revision }, { "appliedAtMs", record.appliedAtMs },
            { "requestId", record.requestId } });
    }
    if (console.isJson()) {
        console.writeJson({ { "service", service.text() }, { "revisions", list } });
    } else {
        console.write(formatTable(rows));
    }
    return ExitCode::Success;
}

} // namespace

Command historyCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
