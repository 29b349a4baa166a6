#pragma once

#include "crocuscove/http/message.h"
#include "crocuscove/routing/actions.h"
#include "crocuscove/state/command.h"

#include <string>
#include <string_view>

namespace crocuscove::server {

inline constexpr std::string_view outcomeHeader = "Crocuscove-Outcome";
inline constexpr std::string_view requestIdHeader = "Crocuscove-Request-Id";
inline constexpr std::string_view refusedHeader = "Crocuscove-Refused";
inline constexpr std::string_view clientHeader = "Crocuscove-Client";
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";

/// An answer that the node itself gives, as JSON with error and outcome.
http::HttpResponse errorAnswer(int status, routing::Outcome outcome, std::string_view reason);

struct ClaimAnswer {
    routing::Outcome outcome = routing::Outcome::Unknown;
    http::HttpResponse response;
};

/// The answer to a request whose idempotency key is held by an earlier request.
ClaimAnswer claimAnswer(const state::CommandResult& result);

/// What is stored of an answer for resends. Status 0 stands for an answer that is too large to store.
state::StoredAnswer storedAnswer(const http::HttpResponse& response);

/// Throws base::InvalidInput when a given idempotency key is too long or not printable ASCII.
void requireValidKey(std::string_view key);

/// Removes hop-by-hop headers and adds the outcome and the request id.
void prepareAnswer(http::HttpResponse& response, routing::Outcome outcome, const std::string& requestName);

/// The request as it is sent to a backend server.
http::HttpRequest forwardedRequest(const http::HttpRequest& request, const std::string& requestName);

} // namespace crocuscove::server
