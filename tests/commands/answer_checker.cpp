#include "support/answer_checker.h"

#include "crocuscove/base/error.h"
#include "support/command.h"
#include "support/json_lines.h"

using namespace crocuscove;
using namespace crocuscove::testing;

namespace {

std::vector<nlohmann::json> readAll(const std::vector<std::string>& paths, const char* flag)
{
    std::vector<nlohmann::json> lines;
    for (const std::string& path : paths) {
        const auto more = readJsonLines(path);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    if (lines.empty()) {
        // A check of nothing would always pass.
        throw base::Error(std::string("no records in the files given by --") + flag);
    }
    return lines;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> answerFiles;
    std::vector<std::string> runFiles;
    std::int64_t slots = 0;
    const std::vector<base::Setting> settings {
        textListSetting("answers", "records of load_generator", answerFiles),
        textListSetting("runs", "records of standin_backend", runFiles),
        integerSetting("slots", "slots of a backend server; 0 for no check", 0, 1024, slots),
    };
    return runCommand("answer_checker", settings, argc, argv, [&](CommandContext&) {
        const CheckReport report = checkAnswers(
            readAll(answerFiles, "answers"), readAll(runFiles, "runs"), static_cast<std::uint64_t>(slots));
        CommandContext::printLine(describe(report));
        return report.violations() == 0 ? 0 : 1;
    });
}
