#include "crocuscove/base/settings.h"

#include "crocuscove/base/error.h"

#include <gtest/gtest.h>

#include <map>

namespace crocuscove::base {
namespace {

struct Parsed {
    std::int64_t port = 1;
    bool isWatching = false;
    std::vector<std::string> positional;
};

Parsed parse(const std::vector<std::string>& arguments, const std::map<std::string, std::string>& environment = {})
{
    Parsed parsed;
    const std::vector<Setting> settings {
        { "max-port", "a port", "1 to 10", [&](std::string_view value) { parsed.port = parseInteger(value, 1, 10); } },
        { "watch", "repeat", "", [&](std::string_view) { parsed.isWatching = true; }, true },
    };
    parsed.positional = readSettings(settings, arguments, [&](const std::string& name) {
        const auto entry = environment.find(name);
        return entry == environment.end() ? nullptr : entry->second.c_str();
    });
    return parsed;
}

std::string errorOf(
    const std::vector<std::string>& arguments, const std::map<std::string, std::string>& environment = {})
{
    try {
        parse(arguments, environment);
    } catch (const InvalidInput& error) {
        return error.what();
    }
    return "";
}

// Guards against a flag losing to its environment variable, and against lost positional arguments.
TEST(Settings, FlagWinsOverEnvironment)
{
    const Parsed parsed = parse({ "file", "--max-port=3", "--watch" }, { { "CROCUSCOVE_MAX_PORT", "2" } });
    EXPECT_EQ(parsed.port, 3);
    EXPECT_TRUE(parsed.isWatching);
    EXPECT_EQ(parsed.positional, std::vector<std::string> { "file" });
    EXPECT_EQ(parse({}, { { "CROCUSCOVE_MAX_PORT", "2" } }).port, 2);
}

// Guards against errors that leave the operator to guess which setting is wrong and what it may be.
TEST(Settings, ErrorsNameSettingValueAndRange)
{
    EXPECT_EQ(errorOf({ "--max-port", "11" }), "--max-port: invalid value '11': outside 1 to 10; allowed: 1 to 10");
    EXPECT_EQ(errorOf({}, { { "CROCUSCOVE_MAX_PORT", "x" } }),
        "CROCUSCOVE_MAX_PORT: invalid value 'x': not a whole number; allowed: 1 to 10");
    EXPECT_EQ(errorOf({ "--nothing" }), "unknown flag '--nothing'; see --help");
    EXPECT_EQ(errorOf({ "--max-port" }), "flag '--max-port' needs a value");
}

// Guards against host names, which would need a resolver, and ports out of range.
TEST(Settings, EndpointsAreNumeric)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:80"), (Endpoint { "127.0.0.1", 80 }));
    EXPECT_EQ(parseEndpoint("[::1]:80").text(), "[::1]:80");
    for (const char* text : { "localhost:80", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:", ":80", "[::1:80" }) {
        EXPECT_THROW(parseEndpoint(text), InvalidInput) << text;
    }
}

} // namespace
} // namespace crocuscove::base
