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

/// The service and request kind of a request. The pointers refer into the documents given to matchRoute.
struct RouteMatch {
    RouteReason reason = RouteReason::NoRoute;
    /// Set unless there is no route.
    const document::ServiceDocument* document = nullptr;
    /// Set only when matched.
    const document::RequestKind* kind = nullptr;
    /// Position of `kind` in the document, as Request::kind takes it.
    std::size_t kindIndex = 0;
};

/// Selects the service by host, then by the longest path prefix, and its first matching request kind. A route that
/// names the host is preferred to any route without one. A prefix ends at a path segment: /a matches /a/b, not /ab.
/// The host is compared without its port and case; the query string is not part of the path.
RouteMatch matchRoute(
    const DocumentMap& documents, std::string_view host, std::string_view path, std::string_view method);

} // namespace crocuscove::routing
