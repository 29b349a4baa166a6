#include "crocuscove/cli/commands.h"
#include "crocuscove/cli/document_file.h"
#include "crocuscove/document/diff.h"

#include <fmt/format.h>

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "diff", { "FILE" }, "Shows what a document would change, against the one in force." }; }

document::Document parseStored(const base::ServiceId& service, const StoredDocument& stored)
{
    auto result = document::parseDocument(stored.text, fmt::format("revision {}", stored.revision));
    if (!result.document) {
        throw CommandError(ExitCode::Failed,
            fmt::format("{}: the document in force can't be read: {}", service.text(),
                document::describe(result.problems.front())));
    }
    return std::move(*result.document);
}

void writeText(const base::ServiceId& service, const std::optional<StoredDocument>& stored,
    const std::vector<document::FieldChange>& changes, Console& console)
{
    if (!stored) {
        console.write(fmt::format("{}: no document in force, all of this one is new\n", service.text()));
    } else if (changes.empty()) {
        console.write(fmt::format("{}: no difference to revision {}\n", service.text(), stored->revision));
    } else {
        console.write(fmt::format(
            "{}: changes to revision {}\n{}", service.text(), stored->revision, document::describe(changes)));
    }
}

void writeJson(const base::ServiceId& service, const std::optional<StoredDocument>& stored,
    const std::vector<document::FieldChange>& changes, Console& console)
{
    JsonValue list = JsonValue::array();
    for (const document::FieldChange& change : changes) {
        list.push_back({ { "field", change.field }, { "before", change.before }, { "after", change.after } });
    }
    console.writeJson(
        { { "service", service.text() }, { "revision", stored ? stored->revision : 0 }, { "changes", list } });
}

ExitCode run(const Arguments& arguments, Console& console)
{
    ServerOptions options;
    const auto operands = readArguments(spec(), serverSettings(options, console), arguments, console);
    if (!operands) {
        return ExitCode::Success;
    }
    const DocumentFile file = readDocumentFile(operands->front());
    const base::ServiceId service = document::documentId(file.document);
    const auto stored = fetchDocument(options, service);
    std::vector<document::FieldChange> changes;
    if (stored) {
        changes = document::diffDocuments(parseStored(service, *stored), file.document);
    }
    if (console.isJson()) {
        writeJson(service, stored, changes, console);
    } else {
        writeText(service, stored, changes, console);
    }
    return ExitCode::Success;
}

} // namespace

Command diffCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
