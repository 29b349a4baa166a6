#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/document/service_document.h"

#include <cstddef>
#include <map>
#include <string_view>

namespace crocuscove::routing {

using DocumentMap = std::map<base::ServiceId, document::ServiceDocument>;

enum class RouteReason {
    Matched,
    NoRoute,
    NoRequestKind,
};

inline constexpr auto routeReasonNames = base::enumNames<RouteReason>({
    { RouteReason::Matched, "matched" },
    { RouteReason::NoRoute, "no-route" },
    { RouteReason::NoRequestKind, "no-request-kind" },
});

/// The service and request kind that match a request. The pointers refer to the documents passed to matchRoute.
struct RouteMatch {
    RouteReason reason = RouteReason::NoRoute;
    /// Null if no route matches.
    const document::ServiceDocument* document = nullptr;
    /// Null unless `reason` is Matched.
    const document::RequestKind* kind = nullptr;
    /// Index of `kind` in the document, as used by Request::kind.
    std::size_t kindIndex = 0;
};

/// Selects the service by host, then by the longest path prefix, and the first request kind that matches in its
/// document. A route with a matching host takes precedence over any route without a host. A prefix matches whole path
/// segments only: /a matches /a/b, but not /ab. The host is compared without the port and ignoring case; the query
/// string is not part of the path.
RouteMatch matchRoute(
    const DocumentMap& documents, std::string_view host, std::string_view path, std::string_view method);

} // namespace crocuscove::routing
