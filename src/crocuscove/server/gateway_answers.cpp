#include "gateway_answers.h"

#include "crocuscove/base/error.h"
#include "crocuscove/state/state.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace crocuscove::server {

namespace {

// Connection-specific header fields (RFC 9110, section 7.6.1), and Expect, which is not forwarded.
constexpr std::array<std::string_view, 8> hopByHopHeaders { "Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Expect" };

void removeHopByHopHeaders(http::Headers& headers)
{
    std::ranges::for_each(hopByHopHeaders, [&](std::string_view name) { headers.remove(name); });
}

} // namespace

http::HttpResponse outcomeErrorResponse(int status, routing::Outcome outcome, std::string_view reason)
{
    const nlohmann::ordered_json body { { "error", reason }, { "outcome", routing::outcomeNames.name(outcome) } };
    http::HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add(std::string(outcomeHeader), std::string(routing::outcomeNames.name(outcome)));
    response.body = body.dump() + "\n";
    return response;
}

ClaimConflictResponse claimConflictResponse(const state::CommandResult& result)
{
    using routing::Outcome;
    switch (result.code) {
    case state::ResultCode::StoredAnswerFound:
        if (result.answer.status == 0) {
            return { Outcome::Executed, outcomeErrorResponse(409, Outcome::Executed, "answer-not-stored") };
        } else {
            http::HttpResponse response;
            response.status = result.answer.status;
            response.headers.add("Content-Type", result.answer.contentType);
            response.body = result.answer.body;
            return { Outcome::Executed, std::move(response) };
        }
    case state::ResultCode::InProgress:
        return { Outcome::Unknown, outcomeErrorResponse(409, Outcome::Unknown, "in progress") };
    case state::ResultCode::BodyMismatch:
        return { Outcome::NotExecuted, outcomeErrorResponse(422, Outcome::NotExecuted, "body-mismatch") };
    case state::ResultCode::OutcomeUnknown:
        return { Outcome::Unknown, outcomeErrorResponse(409, Outcome::Unknown, "unknown") };
    default:
        return { Outcome::NotExecuted,
            outcomeErrorResponse(503, Outcome::NotExecuted, state::resultCodeName(result.code)) };
    }
}

state::StoredAnswer storedAnswer(const http::HttpResponse& response)
{
    if (response.body.size() > state::maxStoredAnswerBytes) {
        return {};
    }
    return { response.status, std::string(response.headers.get("Content-Type")), response.body };
}

void requireValidIdempotencyKey(std::string_view key)
{
    const bool isPrintable = std::ranges::all_of(key, [](char c) { return c > ' ' && c <= '~'; });
    if (key.size() > state::maxIdempotencyKeyBytes || !isPrintable) {
        throw base::InvalidInput(
            fmt::format("{} is invalid; allowed: up to {} printable ASCII characters without spaces",
                idempotencyKeyHeader, state::maxIdempotencyKeyBytes));
    }
}

void prepareClientResponse(http::HttpResponse& response, routing::Outcome outcome, const std::string& globalRequestId)
{
    removeHopByHopHeaders(response.headers);
    response.headers.remove(refusedHeader);
    response.headers.set(outcomeHeader, std::string(routing::outcomeNames.name(outcome)));
    response.headers.set(requestIdHeader, globalRequestId);
}

http::HttpRequest forwardedRequest(const http::HttpRequest& request, const std::string& globalRequestId)
{
    http::HttpRequest copy = request;
    removeHopByHopHeaders(copy.headers);
    copy.headers.set(requestIdHeader, globalRequestId);
    return copy;
}

} // namespace crocuscove::server
