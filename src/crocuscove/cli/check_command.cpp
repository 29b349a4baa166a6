#include "crocuscove/cli/commands.h"
#include "crocuscove/cli/document_file.h"

#include <fmt/format.h>

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "check", { "FILE" }, "Checks a document without a server and reports every mistake." }; }

ExitCode run(const Arguments& arguments, Console& console)
{
    const auto operands = readArguments(spec(), { outputSetting(console) }, arguments, console);
    if (!operands) {
        return ExitCode::Success;
    }
    const std::string& path = operands->front();
    const DocumentFile file = readDocumentFile(path);
    const std::string service = document::documentId(file.document).text();
    const std::string_view kind = service == "fleet" ? "fleet" : "service";
    if (console.isJson()) {
        console.writeJson({ { "file", path }, { "valid", true }, { "kind", kind }, { "service", service } });
    } else {
        console.write(fmt::format("{}: valid {} document '{}'\n", path, kind, service));
    }
    return ExitCode::Success;
}

} // namespace

Command checkCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
