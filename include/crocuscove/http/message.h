#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuscove::http {

/// Compares two header names, ignoring the case of ASCII letters.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// Header fields in the order they were received or added.
struct Headers {
    std::vector<std::pair<std::string, std::string>> fields {};

    /// Returns the first value of `name`.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;

    /// Returns the first value of `name`, or an empty text.
    [[nodiscard]] std::string_view get(std::string_view name) const { return find(name).value_or(""); }

    [[nodiscard]] std::size_t count(std::string_view name) const;

    void add(std::string name, std::string value) { fields.emplace_back(std::move(name), std::move(value)); }

    /// Removes every value of `name`.
    void remove(std::string_view name);

    /// Replaces every value of `name` by one.
    void set(std::string_view name, std::string value);
};

struct HttpRequest {
    std::string method = "GET";
    /// Decoded path without the query.
    std::string path = "/";
    /// Path and query as they stand in the request line. A client sends this, or `path` and `query` when it is empty.
    std::string rawTarget {};
    /// Undecoded query without the question mark.
    std::string query {};
    Headers headers {};
    std::string body {};
    std::string remoteAddress {};
};

struct HttpResponse {
    int status = 200;
    Headers headers {};
    std::string body {};
};

/// Returns the value of `name` in an undecoded query, decoded.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace crocuscove::http
