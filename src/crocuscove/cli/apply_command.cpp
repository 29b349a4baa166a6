#include "crocuscove/cli/commands.h"
#include "crocuscove/cli/document_file.h"
#include "crocuscove/cli/put_document.h"
#include "crocuscove/cli/rollout_wait.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cctype>
#include <limits>
#include <random>

namespace crocuscove::cli {

namespace {

constexpr std::size_t maxRequestIdCharacters = 64;

struct ApplyOptions {
    ServerOptions server;
    bool isWaiting = false;
    std::string requestId;
    std::optional<std::uint64_t> expectedRevision;
};

CommandSpec spec() { return { "apply", { "FILE" }, "Brings a document into force." }; }

/// Returns 128 random bits in hexadecimal.
std::string newRequestId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

void requireRequestId(std::string_view text)
{
    const auto isAllowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    if (text.empty() || text.size() > maxRequestIdCharacters || !std::ranges::all_of(text, isAllowed)) {
        throw base::InvalidInput("bad request id");
    }
}

std::vector<base::Setting> applySettings(ApplyOptions& options, Console& console)
{
    std::vector<base::Setting> settings = serverSettings(options.server, console);
    settings.push_back(
        switchSetting("wait", "wait until it is in force on every node, up to --timeout-ms again", options.isWaiting));
    settings.push_back({ "request-id", "id of the request, to send one again (default: random)",
        fmt::format("1-{} letters, digits, '-', '_' and '.'", maxRequestIdCharacters), [&](std::string_view value) {
            requireRequestId(value);
            options.requestId = value;
        } });
    settings.push_back(
        numberSetting("expected-revision", "revision that must be in force, 0 for none (default: the one in force now)",
            0, std::numeric_limits<std::int64_t>::max(), options.expectedRevision));
    return settings;
}

std::string describeDifference(const std::optional<std::vector<std::string>>& difference)
{
    if (!difference) {
        return "The server does not tell the difference.";
    }
    return difference->empty() ? "Its content is the same."
                               : fmt::format("The difference to it:\n{}", fmt::join(*difference, "\n"));
}

[[noreturn]] void throwConflict(const DocumentWrite& write, const Conflict& conflict)
{
    throw CommandError(ExitCode::Conflict,
        fmt::format("{}: revision {} is in force, not {}; nothing was changed. {}", write.service.text(),
            conflict.revisionInForce, write.expectedRevision, describeDifference(conflict.difference)),
        { { "service", write.service.text() }, { "revisionInForce", conflict.revisionInForce },
            { "difference", conflict.difference ? JsonValue(*conflict.difference) : JsonValue() } });
}

[[noreturn]] void throwUnknown(
    const ApplyOptions& options, const DocumentWrite& write, const std::string& path, const std::string& cause)
{
    const std::string server = options.server.server.text();
    const std::string determine = fmt::format("crocuscove history {} --server={}", write.service.text(), server);
    const std::string resend = fmt::format("crocuscove apply {} --request-id={} --expected-revision={} --server={}",
        path, write.requestId, write.expectedRevision, server);
    throw CommandError(ExitCode::UnknownOutcome,
        fmt::format("{}: outcome unknown: {}\nto determine it, look for request id {} in: {}\nto send the same request "
                    "again, which runs at most once: {}",
            write.service.text(), cause, write.requestId, determine, resend),
        { { "service", write.service.text() }, { "requestId", write.requestId },
            { "expectedRevision", write.expectedRevision }, { "determine", determine }, { "resend", resend } });
}

/// Returns the revision that the write became. Throws CommandError for any other outcome.
std::uint64_t send(const ApplyOptions& options, const DocumentWrite& write, const std::string& path)
{
    const WriteResult result = writeDocument(options.server, write);
    switch (result.outcome) {
    case WriteOutcome::Applied:
        return result.revision;
    case WriteOutcome::InvalidDocument:
        throwInvalidDocument(result.problems);
    case WriteOutcome::Conflict:
        throwConflict(write, result.conflict);
    case WriteOutcome::Refused:
        throw CommandError(ExitCode::Failed, fmt::format("{}: refused: {}", write.service.text(), result.cause));
    case WriteOutcome::NotExecuted:
        throw CommandError(
            ExitCode::Unavailable, fmt::format("{}: not executed: {}", write.service.text(), result.cause));
    case WriteOutcome::Unknown:
        break;
    }
    throwUnknown(options, write, path, result.cause);
}

void report(const DocumentWrite& write, std::uint64_t revision, std::string_view what, Console& console)
{
    if (console.isJson()) {
        console.writeJson({ { "service", write.service.text() }, { "revision", revision },
            { "requestId", write.requestId }, { "result", what } });
    } else {
        console.write(fmt::format("{}: revision {} {}\n", write.service.text(), revision, what));
    }
}

/// Tells whether the text in force is this one, so that a write would only add an equal revision. A given request id or
/// revision asks for the write itself.
bool isUnchanged(const ApplyOptions& options, const std::optional<StoredDocument>& stored, const std::string& text)
{
    return options.requestId.empty() && stored && stored->text == text;
}

ExitCode run(const Arguments& arguments, Console& console)
{
    ApplyOptions options;
    const auto operands = readArguments(spec(), applySettings(options, console), arguments, console);
    if (!operands) {
        return ExitCode::Success;
    }
    const std::string& path = operands->front();
    const DocumentFile file = readDocumentFile(path);
    DocumentWrite write { document::documentId(file.document), file.text, 0,
        options.requestId.empty() ? newRequestId() : options.requestId };
    std::uint64_t revision = 0;
    std::string_view what = "accepted";
    std::optional<StoredDocument> stored;
    if (!options.expectedRevision) {
        stored = fetchDocument(options.server, write.service);
    }
    write.expectedRevision = options.expectedRevision.value_or(stored ? stored->revision : 0);
    if (isUnchanged(options, stored, file.text)) {
        revision = stored->revision;
        what = "unchanged";
    } else {
        revision = send(options, write, path);
    }
    if (options.isWaiting) {
        waitForRollout(options.server, write.service, revision, console);
        what = "in force on every node";
    }
    report(write, revision, what, console);
    return ExitCode::Success;
}

} // namespace

Command applyCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
