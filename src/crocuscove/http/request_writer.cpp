#include "crocuscove/http/request_writer.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace crocuscove::http {

namespace {

bool isReplaced(std::string_view name)
{
    constexpr std::array names { "Connection", "Content-Length", "Expect", "Keep-Alive", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade" };
    return std::ranges::any_of(names, [&](const char* framing) { return isSameHeaderName(name, framing); });
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
        return std::isalnum(c) != 0
            || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::ranges::none_of(text, [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

std::string encodePath(std::string_view path)
{
    std::string encoded;
    for (const unsigned char c : path) {
        if (std::isalnum(c) != 0
            || std::string_view("/-._~!$&'()*+,;=:@").find(static_cast<char>(c)) != std::string_view::npos) {
            encoded += static_cast<char>(c);
        } else {
            encoded += fmt::format("%{:02X}", c);
        }
    }
    return encoded;
}

std::string targetOf(const HttpRequest& request)
{
    if (!request.rawTarget.empty()) {
        return request.rawTarget;
    }
    return encodePath(request.path) + (request.query.empty() ? "" : "?" + request.query);
}

void requireValid(bool isValid, std::string_view part, std::string_view value)
{
    if (!isValid) {
        throw base::InvalidInput(fmt::format("invalid {} in an HTTP request: '{}'", part, value));
    }
}

} // namespace

std::string writeRequest(const HttpRequest& request, const base::Endpoint& endpoint)
{
    const std::string target = targetOf(request);
    requireValid(isToken(request.method), "method", request.method);
    requireValid(
        target.starts_with('/') && std::ranges::all_of(target, [](unsigned char c) { return c > 0x20 && c != 0x7f; }),
        "target", target);

    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, target);
    if (!request.headers.find("Host")) {
        text += fmt::format("Host: {}\r\n", endpoint.text());
    }
    for (const auto& [name, value] : request.headers.fields) {
        requireValid(isToken(name), "header name", name);
        requireValid(isFieldValue(value), "header value", value);
        if (!isReplaced(name)) {
            text += fmt::format("{}: {}\r\n", name, value);
        }
    }
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD" && request.method != "DELETE";
    if (mayHaveBody || !request.body.empty()) {
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    return text + "\r\n" + request.body;
}

} // namespace crocuscove::http
