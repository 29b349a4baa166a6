#pragma once

#include "crocuscove/http/http_server.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::server {

/// Dispatches requests by method and path. A pattern segment in braces, as in /v1/jobs/{job}, matches any segment.
class HttpRouter {
public:
    /// `parameters` are the path segments matched by the braces of the pattern, in order.
    using Handler = std::function<void(
        const std::vector<std::string>& parameters, http::HttpRequest& request, const http::Responder& responder)>;

    /// Adds a route. Routes are matched in the order in which they were added.
    void add(std::string method, std::string_view pattern, Handler handler);

    /// Calls the handler of the first matching route. Responds with 404 when no route matches the path, 405 when none
    /// matches the method, and 400 when the handler throws base::InvalidInput or a JSON error.
    void handle(http::HttpRequest request, const http::Responder& responder) const;

private:
    struct Route {
        std::string method;
        std::vector<std::string> segments;
        Handler handler;
    };

    std::vector<Route> m_routes;
};

/// Makes a response with a JSON body.
http::HttpResponse jsonResponse(int status, const nlohmann::ordered_json& body);

/// Makes a response with the JSON body {"error": error} and the fields of `details`.
http::HttpResponse errorResponse(
    int status, std::string_view error, const nlohmann::ordered_json& details = nlohmann::ordered_json::object());

/// Sends a response with a JSON body.
void respondJson(const http::Responder& responder, int status, const nlohmann::ordered_json& body);

/// Sends a response with the JSON body {"error": error} and the fields of `details`.
void respondError(const http::Responder& responder, int status, std::string_view error,
    const nlohmann::ordered_json& details = nlohmann::ordered_json::object());

} // namespace crocuscove::server
