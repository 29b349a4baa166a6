#include "support/answer_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace crocuscove::testing {

namespace {

constexpr std::size_t maxProblems = 20;

using RunCounts = std::unordered_map<std::string, std::uint64_t>;

void report(CheckReport& result, std::uint64_t& counter, std::string problem)
{
    ++counter;
    if (result.problems.size() < maxProblems) {
        result.problems.push_back(std::move(problem));
    }
}

RunCounts countRuns(const std::vector<nlohmann::json>& records, std::uint64_t slots, CheckReport& result)
{
    RunCounts counts;
    for (const nlohmann::json& record : records) {
        const std::string event = record.at("event");
        if (event == "started") {
            ++counts[record.at("load").get<std::string>()];
            ++result.runs;
        } else if (event == "highest") {
            result.highestInFlight = std::max(result.highestInFlight, record.at("inFlight").get<std::uint64_t>());
        }
    }
    if (slots > 0 && result.highestInFlight > slots) {
        report(result, result.overSlots,
            fmt::format("{} requests in flight at a backend server with {} slots", result.highestInFlight, slots));
    }
    return counts;
}

void checkOutcome(CheckReport& result, const std::string& id, std::string_view outcome, std::uint64_t runs)
{
    if (outcome == "executed") {
        ++result.executed;
        if (runs == 0) {
            report(result, result.executedWithoutRun, fmt::format("{}: told executed, but never ran", id));
        }
    } else if (outcome == "not-executed") {
        ++result.notExecuted;
        if (runs > 0) {
            report(result, result.notExecutedButRun, fmt::format("{}: told not-executed, but ran {} times", id, runs));
        }
    } else if (outcome == "unknown") {
        ++result.unknown;
    } else {
        report(result, result.withoutOutcome, fmt::format("{}: response with the outcome '{}'", id, outcome));
    }
}

void checkAnswer(CheckReport& result, const nlohmann::json& answer, const RunCounts& counts)
{
    const std::string id = answer.at("id");
    const auto entry = counts.find(id);
    const std::uint64_t runs = entry == counts.end() ? 0 : entry->second;
    if (runs > 1) {
        result.repeatedRuns += runs - 1;
        if (!answer.at("idempotent").get<bool>()) {
            report(result, result.nonIdempotentRunTwice, fmt::format("{}: non-idempotent, ran {} times", id, runs));
        }
    }
    if (answer.at("status").get<int>() == 0) {
        ++result.withoutResponse;
        return;
    }
    checkOutcome(result, id, answer.at("outcome").get<std::string>(), runs);
    const std::string answerId = answer.at("answerId");
    if (!answerId.empty() && answerId != id) {
        report(result, result.crossedAnswers, fmt::format("{}: got the answer to {}", id, answerId));
    }
}

} // namespace

CheckReport checkAnswers(
    const std::vector<nlohmann::json>& answers, const std::vector<nlohmann::json>& runs, std::uint64_t slots)
{
    CheckReport result;
    const RunCounts counts = countRuns(runs, slots, result);
    std::unordered_set<std::string> ids;
    for (const nlohmann::json& answer : answers) {
        ++result.answers;
        if (!ids.insert(answer.at("id").get<std::string>()).second) {
            report(result, result.answeredTwice, fmt::format("{}: two answers", answer.at("id").get<std::string>()));
        }
        checkAnswer(result, answer, counts);
    }
    result.runsWithoutAnswer = static_cast<std::uint64_t>(
        std::ranges::count_if(counts, [&](const auto& entry) { return !ids.contains(entry.first); }));
    return result;
}

nlohmann::ordered_json describe(const CheckReport& report)
{
    return { { "answers", report.answers }, { "executed", report.executed }, { "notExecuted", report.notExecuted },
        { "unknown", report.unknown }, { "withoutResponse", report.withoutResponse }, { "runs", report.runs },
        { "repeatedRuns", report.repeatedRuns }, { "runsWithoutAnswer", report.runsWithoutAnswer },
        { "highestInFlight", report.highestInFlight }, { "executedWithoutRun", report.executedWithoutRun },
        { "notExecutedButRun", report.notExecutedButRun }, { "nonIdempotentRunTwice", report.nonIdempotentRunTwice },
        { "crossedAnswers", report.crossedAnswers }, { "answeredTwice", report.answeredTwice },
        { "withoutOutcome", report.withoutOutcome }, { "overSlots", report.overSlots },
        { "violations", report.violations() }, { "problems", report.problems } };
}

} // namespace crocuscove::testing
