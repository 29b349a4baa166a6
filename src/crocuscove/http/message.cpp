#include "crocuscove/http/message.h"

#include <event2/http.h>
#include <event2/util.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace crocuscove::http {

namespace {

std::string decode(const std::string& text)
{
    struct Free {
        void operator()(char* memory) const { std::free(memory); }
    };
    std::size_t size = 0;
    const std::unique_ptr<char, Free> decoded(evhttp_uridecode(text.c_str(), 1, &size));
    return decoded ? std::string(decoded.get(), size) : std::string();
}

} // namespace

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && evutil_ascii_strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    const auto field
        = std::ranges::find_if(fields, [&](const auto& entry) { return isSameHeaderName(entry.first, name); });
    return field == fields.end() ? std::nullopt : std::optional<std::string_view>(field->second);
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(fields, [&](const auto& entry) { return isSameHeaderName(entry.first, name); }));
}

void Headers::remove(std::string_view name)
{
    std::erase_if(fields, [&](const auto& entry) { return isSameHeaderName(entry.first, name); });
}

void Headers::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (decode(std::string(pair.substr(0, equals))) == name) {
            return equals == std::string_view::npos ? "" : decode(std::string(pair.substr(equals + 1)));
        }
    }
    return std::nullopt;
}

} // namespace crocuscove::http
