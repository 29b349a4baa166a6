#include "crocuscove/cli/commands.h"

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "list", {}, "Lists the documents in force." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    ServerOptions options;
    if (!readArguments(spec(), serverSettings(options, console), arguments, console)) {
        return ExitCode::Success;
    }
    JsonValue list = JsonValue::array();
    std::vector<std::vector<std::string>> rows { { "SERVICE", "REVISION", "TEAM" } };
    for (const DocumentSummary& document : fetchDocumentList(options)) {
        rows.push_back({ document.service, std::to_string(document.revision), document.team });
        list.push_back(
            { { "service", document.service }, { "revision", document.revision }, { "team", document.team } });
    }
    if (console.isJson()) {
        console.writeJson({ { "documents", list } });
    } else {
        console.write(formatTable(rows));
    }
    return ExitCode::Success;
}

} // namespace

Command listCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
