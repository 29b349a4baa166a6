#include "support/answer_checker.h"

#include <gtest/gtest.h>

namespace crocuscove::testing {
namespace {

nlohmann::json answer(const std::string& id, const std::string& outcome, bool isIdempotent = false, int status = 200)
{
    return { { "id", id }, { "idempotent", isIdempotent }, { "status", status }, { "outcome", outcome },
        { "answerId", outcome == "executed" ? id : "" } };
}

nlohmann::json started(const std::string& id) { return { { "event", "started" }, { "load", id } }; }

// Guards against a checker that objects to truthful answers.
TEST(AnswerCheckerTest, AcceptsTruthfulAnswers)
{
    const CheckReport report
        = checkAnswers({ answer("a", "executed"), answer("b", "not-executed"), answer("c", "unknown"),
                           answer("d", "unknown"), answer("e", "executed", true), answer("f", "", false, 0) },
            { started("a"), started("c"), started("e"), started("e"), started("f"), { { "event", "finished" } },
                { { "event", "highest" }, { "inFlight", 8 } } },
            8);
    EXPECT_EQ(report.violations(), 0U) << describe(report);
    EXPECT_EQ(report.answers, 6U);
    EXPECT_EQ(report.executed, 2U);
    EXPECT_EQ(report.notExecuted, 1U);
    EXPECT_EQ(report.unknown, 2U);
    EXPECT_EQ(report.withoutResponse, 1U);
    EXPECT_EQ(report.runs, 5U);
    EXPECT_EQ(report.repeatedRuns, 1U);
}

// Guards against a checker that can't fail: each broken promise must be found and counted once.
TEST(AnswerCheckerTest, FindsEachViolation)
{
    const auto executedWithoutRun = checkAnswers({ answer("a", "executed") }, {}, 0);
    EXPECT_EQ(executedWithoutRun.executedWithoutRun, 1U);
    EXPECT_EQ(executedWithoutRun.violations(), 1U);
    EXPECT_EQ(executedWithoutRun.problems.size(), 1U);

    const auto notExecutedButRun = checkAnswers({ answer("a", "not-executed", true) }, { started("a") }, 0);
    EXPECT_EQ(notExecutedButRun.notExecutedButRun, 1U);
    EXPECT_EQ(notExecutedButRun.violations(), 1U);

    const std::vector<nlohmann::json> twice { started("a"), started("a") };
    for (const nlohmann::json& told : { answer("a", "executed"), answer("a", "unknown"), answer("a", "", false, 0) }) {
        EXPECT_EQ(checkAnswers({ told }, twice, 0).nonIdempotentRunTwice, 1U) << told;
        EXPECT_EQ(checkAnswers({ told }, twice, 0).violations(), 1U) << told;
    }

    nlohmann::json crossed = answer("a", "executed");
    crossed["answerId"] = "b";
    EXPECT_EQ(checkAnswers({ crossed }, { started("a") }, 0).crossedAnswers, 1U);

    EXPECT_EQ(checkAnswers({ answer("a", "unknown"), answer("a", "unknown") }, {}, 0).answeredTwice, 1U);
    EXPECT_EQ(checkAnswers({ answer("a", "") }, {}, 0).withoutOutcome, 1U);
    EXPECT_EQ(checkAnswers({ answer("a", "done") }, {}, 0).withoutOutcome, 1U);

    const std::vector<nlohmann::json> nine { { { "event", "highest" }, { "inFlight", 9 } } };
    EXPECT_EQ(checkAnswers({}, nine, 8).overSlots, 1U);
    EXPECT_EQ(checkAnswers({}, nine, 0).violations(), 0U);
    EXPECT_EQ(checkAnswers({}, { started("lost") }, 0).runsWithoutAnswer, 1U);
}

} // namespace
} // namespace crocuscove::testing
