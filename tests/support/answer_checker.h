#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace crocuscove::testing {

/// What the checker found. `problems` holds the first ones in words.
struct CheckReport {
    std::uint64_t answers = 0;
    std::uint64_t executed = 0;
    std::uint64_t notExecuted = 0;
    std::uint64_t unknown = 0;
    /// Requests without a response, because the connection failed.
    std::uint64_t withoutResponse = 0;
    std::uint64_t runs = 0;
    std::uint64_t repeatedRuns = 0;
    /// Runs of requests that no answer record names.
    std::uint64_t runsWithoutAnswer = 0;
    std::uint64_t highestInFlight = 0;

    std::uint64_t executedWithoutRun = 0;
    std::uint64_t notExecutedButRun = 0;
    std::uint64_t nonIdempotentRunTwice = 0;
    std::uint64_t crossedAnswers = 0;
    std::uint64_t answeredTwice = 0;
    std::uint64_t withoutOutcome = 0;
    std::uint64_t overSlots = 0;

    std::vector<std::string> problems;

    [[nodiscard]] std::uint64_t violations() const
    {
        return executedWithoutRun + notExecutedButRun + nonIdempotentRunTwice + crossedAnswers + answeredTwice
            + withoutOutcome + overSlots;
    }
};

nlohmann::ordered_json describe(const CheckReport& report);

/// Compares the records of load_generator with those of all backend servers. `slots` bounds the requests in flight at
/// one backend server; 0 for no check.
CheckReport checkAnswers(
    const std::vector<nlohmann::json>& answers, const std::vector<nlohmann::json>& runs, std::uint64_t slots);

} // namespace crocuscove::testing
