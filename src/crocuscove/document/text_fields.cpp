#include "crocuscove/document/text_fields.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace crocuscove::document {

namespace {

constexpr std::size_t maxPathCharacters = 1024;
constexpr std::size_t maxHostCharacters = 253;
constexpr std::string_view allowedPath
    = "'/' or '/' with segments of letters, digits and -._~!$&'()*+,;=:@%, at most 1024 characters, no '.', '..' or "
      "empty segments";
constexpr std::string_view allowedHost = "a host name of a-z, 0-9, '-' and '.', without a port, at most 253 characters";
constexpr std::array<std::string_view, 7> methods { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };

bool isPathCharacter(char c)
{
    constexpr std::string_view symbols = "/-._~!$&'()*+,;=:@%";
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || symbols.find(c) != std::string_view::npos;
}

bool isPath(std::string_view path)
{
    if (!path.starts_with('/') || path.size() > maxPathCharacters || !std::ranges::all_of(path, isPathCharacter)) {
        return false;
    }
    // A closing '/' ends the path, so that "/" and "/a/" have no empty segment.
    const std::string whole = std::string(path) + (path.ends_with('/') ? "" : "/");
    return whole.find("//") == std::string::npos && whole.find("/./") == std::string::npos
        && whole.find("/../") == std::string::npos;
}

bool isHostLabel(std::string_view label)
{
    constexpr std::size_t maxLabelCharacters = 63;
    const auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !label.empty() && label.size() <= maxLabelCharacters && !label.starts_with('-') && !label.ends_with('-')
        && std::ranges::all_of(label, isAllowed);
}

bool isHost(std::string_view host)
{
    if (host.empty() || host.size() > maxHostCharacters) {
        return false;
    }
    while (true) {
        const auto dot = host.find('.');
        if (!isHostLabel(host.substr(0, dot))) {
            return false;
        }
        if (dot == std::string_view::npos) {
            return true;
        }
        host.remove_prefix(dot + 1);
    }
}

bool isMethod(std::string_view text) { return std::ranges::find(methods, text) != methods.end(); }

template <typename IsValid>
std::optional<std::string> readChecked(
    const Field& field, IsValid isValid, std::string_view what, std::string_view allowed, ProblemList& problems)
{
    auto text = readText(field, problems);
    if (text && !isValid(*text)) {
        problems.add(
            field.place, field.path, fmt::format("bad {} {}", what, quoteForMessage(*text)), std::string(allowed));
        return std::nullopt;
    }
    return text;
}

} // namespace

std::optional<std::string> readPathPrefix(const Field& field, ProblemList& problems)
{
    return readChecked(field, isPath, "path", allowedPath, problems);
}

std::optional<std::string> readHost(const Field& field, ProblemList& problems)
{
    return readChecked(field, isHost, "host", allowedHost, problems);
}

std::optional<std::string> readMethod(const Field& field, ProblemList& problems)
{
    return readChecked(field, isMethod, "method", fmt::format("{}", fmt::join(methods, ", ")), problems);
}

} // namespace crocuscove::document
