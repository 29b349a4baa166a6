#include "crocuscove/routing/route_match.h"

#include <algorithm>
#include <cctype>

namespace crocuscove::routing {
namespace {

std::string_view withoutPort(std::string_view host)
{
    if (host.starts_with('[')) {
        const auto close = host.find(']');
        return close == std::string_view::npos ? host : host.substr(0, close + 1);
    }
    return host.substr(0, host.find(':'));
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(
        left, right, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

bool hasPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.empty() || prefix.back() == '/' || path[prefix.size()] == '/';
}

bool kindMatches(const document::RequestKind& kind, std::string_view path, std::string_view method)
{
    return (!kind.method || *kind.method == method) && hasPrefix(path, kind.pathPrefix);
}

/// Returns the precedence of a route: routes with a host first, then the longer prefix. 0 means that it does not match.
std::size_t rank(const document::Route& route, std::string_view host, std::string_view path)
{
    constexpr std::size_t hostRank = std::size_t { 1 } << 32U;
    if (!hasPrefix(path, route.pathPrefix) || (route.host && !equalsIgnoringCase(*route.host, host))) {
        return 0;
    }
    return (route.host ? hostRank : 0) + route.pathPrefix.size() + 1;
}

} // namespace

RouteMatch matchRoute(
    const DocumentMap& documents, std::string_view host, std::string_view path, std::string_view method)
{
    host = withoutPort(host);
    path = path.substr(0, path.find('?'));
    RouteMatch match;
    std::size_t best = 0;
    for (const auto& [service, document] : documents) {
        for (const auto& route : document.routes) {
            if (const auto candidate = rank(route, host, path); candidate > best) {
                best = candidate;
                match.document = &document;
            }
        }
    }
    if (match.document == nullptr) {
        return match;
    }
    const auto& kinds = match.document->requests;
    const auto kind = std::ranges::find_if(kinds, [&](const auto& each) { return kindMatches(each, path, method); });
    if (kind == kinds.end()) {
        match.reason = RouteReason::NoRequestKind;
        return match;
    }
    match.reason = RouteReason::Matched;
    match.kind = &*kind;
    match.kindIndex = static_cast<std::size_t>(kind - kinds.begin());
    return match;
}

} // namespace crocuscove::routing
