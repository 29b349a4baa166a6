#pragma once

#include "crocuscove/http/http_server.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::server {

/// Dispatches requests by method and path. A pattern segment in braces matches any segment, such as /v1/jobs/{job}.
class HttpRouter {
public:
    /// `parameters` are the segments matched by braces, in order.
    using Handler = std::function<void(
        const std::vector<std::string>& parameters, http::HttpRequest& request, const http::Responder& responder)>;

    void add(std::string method, std::string_view pattern, Handler handler);

    /// Calls the matching handler. Answers 404 for an unknown path, 405 for a wrong method, and 400 when the handler
    /// throws base::InvalidInput.
    void handle(http::HttpRequest request, const http::Responder& responder) const;

private:
    struct Route {
        std::string method;
        std::vector<std::string> segments;
        Handler handler;
    };

    std::vector<Route> m_routes;
};

/// Makes an answer with a JSON body.
http::HttpResponse jsonResponse(int status, const nlohmann::ordered_json& body);

/// Makes an answer {"error": error} with the fields of `details`.
http::HttpResponse errorResponse(
    int status, std::string_view error, const nlohmann::ordered_json& details = nlohmann::ordered_json::object());

/// Answers with JSON.
void respondJson(const http::Responder& responder, int status, const nlohmann::ordered_json& body);

/// Answers with {"error": error} and the fields of `details`.
void respondError(const http::Responder& responder, int status, std::string_view error,
    const nlohmann::ordered_json& details = nlohmann::ordered_json::object());

} // namespace crocuscove::server
