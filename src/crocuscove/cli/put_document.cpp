#include "crocuscove/cli/put_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace crocuscove::cli {

namespace {

constexpr base::Milliseconds firstRetryDelay { 50 };
constexpr base::Milliseconds maxRetryDelay { 1000 };
// A silent server may take a third of the timeout, which leaves time to send again.
constexpr int attemptsInTimeout = 3;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int firstRefusal = 300;
constexpr int firstServerError = 500;

WriteResult unsettled(WriteOutcome outcome, std::string cause)
{
    WriteResult result;
    result.outcome = outcome;
    result.cause = std::move(cause);
    return result;
}

bool saysNotExecuted(const std::string& body)
{
    const JsonValue answer = JsonValue::parse(body);
    return answer.is_object() && answer.value("outcome", JsonValue()) == "not-executed";
}

/// Returns what an answer by the contract says. Throws nlohmann::json::exception for a body of another form.
std::optional<WriteResult> readByContract(const Exchange& answer)
{
    WriteResult result;
    switch (answer.status) {
    case statusOk:
        result.outcome = WriteOutcome::Applied;
        result.revision = readAppliedRevision(answer.body);
        return result;
    case statusBadRequest:
        if (!JsonValue::parse(answer.body).contains("problems")) {
            return std::nullopt;
        }
        result.outcome = WriteOutcome::InvalidDocument;
        result.problems = readProblems(answer.body);
        return result;
    case statusConflict:
        result.outcome = WriteOutcome::Conflict;
        result.conflict = readConflict(answer.body);
        return result;
    case statusUnavailable:
        if (saysNotExecuted(answer.body)) {
            return unsettled(WriteOutcome::NotExecuted, "the server is unavailable and did not execute the request");
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

/// Returns the error and the cause that the body of a failure may name, in brackets.
std::string failureDetail(const std::string& body)
{
    const JsonValue answer = JsonValue::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return "";
    }
    std::string detail;
    for (const char* key : { "error", "cause" }) {
        const JsonValue value = answer.value(key, JsonValue());
        if (value.is_string()) {
            detail += (detail.empty() ? "" : ": ") + value.get<std::string>();
        }
    }
    return detail.empty() ? "" : fmt::format(" ({})", detail);
}

WriteResult interpretOther(int status, const std::string& detail)
{
    const bool isRefusal = status >= firstRefusal && status < firstServerError;
    return unsettled(isRefusal ? WriteOutcome::Refused : WriteOutcome::Unknown,
        fmt::format("the server answered with status {}{}", status, detail));
}

/// Tells whether sending again can't give another outcome.
bool isSettled(WriteOutcome outcome)
{
    return outcome == WriteOutcome::Applied || outcome == WriteOutcome::InvalidDocument
        || outcome == WriteOutcome::Conflict || outcome == WriteOutcome::Refused;
}

} // namespace

WriteResult interpretAnswer(const Exchange& answer)
{
    if (answer.delivery == Delivery::NotSent) {
        return unsettled(WriteOutcome::NotExecuted, answer.cause);
    }
    if (answer.delivery == Delivery::Lost) {
        return unsettled(WriteOutcome::Unknown, answer.cause);
    }
    try {
        if (auto result = readByContract(answer)) {
            return *result;
        }
    } catch (const nlohmann::json::exception& error) {
        return interpretOther(answer.status, fmt::format(" and a body that can't be read: {}", error.what()));
    }
    return interpretOther(answer.status, failureDetail(answer.body));
}

WriteResult writeDocument(const ServerOptions& options, const DocumentWrite& write)
{
    const base::MonotonicTime deadline = base::monotonicNow() + options.timeout;
    const AdminRequest request { HttpMethod::Put, "/v1/documents/" + write.service.text(),
        { { "Content-Type", "application/yaml" },
            { "Crocuscove-Expected-Revision", std::to_string(write.expectedRevision) },
            { "Crocuscove-Request-Id", write.requestId } },
        write.text };
    base::Milliseconds delay = firstRetryDelay;
    bool mayBeExecuted = false;
    while (true) {
        const base::MonotonicTime attemptDeadline = base::monotonicNow() + options.timeout / attemptsInTimeout;
        WriteResult result = interpretAnswer(exchange(options.server, request, std::min(deadline, attemptDeadline)));
        mayBeExecuted = mayBeExecuted || result.outcome == WriteOutcome::Unknown;
        // A refusal says nothing about an earlier attempt, unlike the answers that the server keeps for a request id.
        if (mayBeExecuted && result.outcome == WriteOutcome::Refused) {
            result.outcome = WriteOutcome::Unknown;
            return result;
        }
        if (isSettled(result.outcome)) {
            return result;
        }
        if (base::monotonicNow() + delay >= deadline) {
            result.outcome = mayBeExecuted ? WriteOutcome::Unknown : WriteOutcome::NotExecuted;
            return result;
        }
        std::this_thread::sleep_for(delay);
        delay = std::min(2 * delay, maxRetryDelay);
    }
}

} // namespace crocuscove::cli
