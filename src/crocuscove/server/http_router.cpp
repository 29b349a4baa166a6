#include "http_router.h"

#include "crocuscove/base/error.h"
#include "crocuscove/base/text.h"

#include <algorithm>
#include <utility>

namespace crocuscove::server {

namespace {

std::vector<std::string> splitPath(std::string_view path)
{
    auto segments = base::split(path, '/');
    std::erase(segments, "");
    return segments;
}

bool isParameter(const std::string& segment) { return segment.starts_with('{'); }

bool matchesPattern(const std::vector<std::string>& pattern, const std::vector<std::string>& path)
{
    return std::ranges::equal(pattern, path, [](const std::string& expected, const std::string& actual) {
        return isParameter(expected) || expected == actual;
    });
}

std::vector<std::string> extractParameters(
    const std::vector<std::string>& pattern, const std::vector<std::string>& path)
{
    std::vector<std::string> parameters;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (isParameter(pattern[i])) {
            parameters.push_back(path[i]);
        }
    }
    return parameters;
}

} // namespace

void HttpRouter::add(std::string method, std::string_view pattern, Handler handler)
{
    m_routes.push_back({ std::move(method), splitPath(pattern), std::move(handler) });
}

void HttpRouter::handle(http::HttpRequest request, const http::Responder& responder) const
{
    const auto path = splitPath(request.path);
    const auto matchesPath = [&](const Route& route) { return matchesPattern(route.segments, path); };
    const auto route = std::ranges::find_if(
        m_routes, [&](const Route& candidate) { return candidate.method == request.method && matchesPath(candidate); });
    if (route == m_routes.end()) {
        const bool isKnownPath = std::ranges::any_of(m_routes, matchesPath);
        respondError(responder, isKnownPath ? 405 : 404, isKnownPath ? "method-not-allowed" : "not-found");
        return;
    }
    try {
        route->handler(extractParameters(route->segments, path), request, responder);
    } catch (const base::InvalidInput& error) {
        respondError(responder, 400, "invalid-input", { { "cause", error.what() } });
    } catch (const nlohmann::json::exception& error) {
        respondError(responder, 400, "invalid-json", { { "cause", error.what() } });
    }
}

http::HttpResponse jsonResponse(int status, const nlohmann::ordered_json& body)
{
    http::HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    return response;
}

http::HttpResponse errorResponse(int status, std::string_view error, const nlohmann::ordered_json& details)
{
    nlohmann::ordered_json body { { "error", error } };
    body.update(details);
    return jsonResponse(status, body);
}

void respondJson(const http::Responder& responder, int status, const nlohmann::ordered_json& body)
{
    responder.respond(jsonResponse(status, body));
}

void respondError(
    const http::Responder& responder, int status, std::string_view error, const nlohmann::ordered_json& details)
{
    responder.respond(errorResponse(status, error, details));
}

} // namespace crocuscove::server
