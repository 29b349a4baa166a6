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

/// Makes a response of this node itself: a JSON body with the error and the outcome, and the outcome header.
http::HttpResponse outcomeErrorResponse(int status, routing::Outcome outcome, std::string_view reason);

/// A response and its outcome for a request whose idempotency key could not be claimed.
struct ClaimConflictResponse {
    routing::Outcome outcome = routing::Outcome::Unknown;
    http::HttpResponse response;
};

/// Makes the response to a request whose claim of an idempotency key was rejected: the stored response of the earlier
/// request with that key, or an error.
ClaimConflictResponse claimConflictResponse(const state::CommandResult& result);

/// Converts a response to the form stored for retries. Status 0 means that the response is too large to store.
state::StoredAnswer storedAnswer(const http::HttpResponse& response);

/// Throws base::InvalidInput when the idempotency key is too long or contains characters other than printable ASCII.
/// An empty key is valid.
void requireValidIdempotencyKey(std::string_view key);

/// Removes hop-by-hop and internal headers from a response to a client, and sets the outcome and the request id.
void prepareClientResponse(http::HttpResponse& response, routing::Outcome outcome, const std::string& globalRequestId);

/// Copies a client request for a backend server, without hop-by-hop headers and with the request id.
http::HttpRequest forwardedRequest(const http::HttpRequest& request, const std::string& globalRequestId);

} // namespace crocuscove::server
