#include "crocuscove/cli/commands.h"

#include "crocuscove/storage/data_folder.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace crocuscove::cli {

namespace {

CommandSpec spec() { return { "storage-check", { "FOLDER" }, "Checks a data folder without changing it." }; }

JsonValue toJson(const storage::FolderReport& report)
{
    JsonValue problems = JsonValue::array();
    std::ranges::transform(report.problems, std::back_inserter(problems), [](const storage::FolderProblem& problem) {
        return JsonValue { { "file", problem.file }, { "offset", problem.offset }, { "cause", problem.cause } };
    });
    JsonValue json { { "term", report.hardState.term }, { "votedFor", report.hardState.votedFor.text() },
        { "snapshotIndex", report.snapshotIndex }, { "firstIndex", report.firstIndex },
        { "lastIndex", report.lastIndex }, { "segments", report.segments }, { "logBytes", report.logBytes },
        { "problems", problems } };
    if (report.tornTail) {
        json["tornTail"] = { { "file", report.tornTail->file }, { "offset", report.tornTail->offset },
            { "removedBytes", report.tornTail->removedBytes } };
    }
    return json;
}

void writeText(const storage::FolderReport& report, Console& console)
{
    console.write(fmt::format("term {}, voted for {}\nsnapshot {}, entries {} to {}, {} segments, {} bytes\n",
        report.hardState.term, report.hardState.votedFor.empty() ? "nobody" : report.hardState.votedFor.text(),
        report.snapshotIndex, report.firstIndex, report.lastIndex, report.segments, report.logBytes));
    if (report.tornTail) {
        console.write(fmt::format("torn tail in {} at {}: {} bytes that a start will cut off\n", report.tornTail->file,
            report.tornTail->offset, report.tornTail->removedBytes));
    }
    std::ranges::for_each(report.problems, [&](const storage::FolderProblem& problem) {
        console.write(fmt::format("{}:{}: {}\n", printable(problem.file), problem.offset, printable(problem.cause)));
    });
}

ExitCode run(const Arguments& arguments, Console& console)
{
    const auto operands = readArguments(spec(), { outputSetting(console) }, arguments, console);
    if (!operands) {
        return ExitCode::Success;
    }
    const auto report = storage::checkDataFolder(operands->front());
    if (console.isJson()) {
        console.writeJson(toJson(report));
    } else {
        writeText(report, console);
    }
    return report.problems.empty() ? ExitCode::Success : ExitCode::Failed;
}

} // namespace

Command storageCheckCommand() { return { spec(), run }; }

} // namespace crocuscove::cli
