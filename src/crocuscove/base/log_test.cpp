#include "crocuscove/base/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace crocuscove::base {
namespace {

// Guards against lines that a JSON parser refuses, and against input that splits a line in two.
TEST(Log, WritesOneParsableLineForAnyText)
{
    std::string line;
    const Log log(LogLevel::Info, { { "node", "n1" } }, [&](std::string_view text) { line = text; });
    log.info("request_routed",
        { { "path", "a\nb\"\xff" }, { "count", -3 }, { "bytes", 7U }, { "ready", true }, { "share", 0.5 } });
    const auto parsed = nlohmann::json::parse(line);
    EXPECT_EQ(parsed["count"], -3);
    EXPECT_EQ(parsed["bytes"], 7U);
    EXPECT_EQ(parsed["ready"], true);
    EXPECT_EQ(parsed["share"], 0.5);
    EXPECT_EQ(parsed["event"], "request_routed");
    EXPECT_EQ(parsed["node"], "n1");
    EXPECT_EQ(line.find('\n'), std::string::npos);
}

// Guards against debug lines in the output of a node that runs at the default level.
TEST(Log, DropsLinesBelowTheMinimum)
{
    int lines = 0;
    const Log log(LogLevel::Warning, {}, [&](std::string_view) { ++lines; });
    log.info("a");
    log.error("b");
    EXPECT_EQ(lines, 1);
}

} // namespace
} // namespace crocuscove::base
