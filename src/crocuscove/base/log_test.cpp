#include "crocuscove/base/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

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

TEST(Log, AFullDiskUnderStandardErrorEndsNoProcess)
{
    const int kept = ::dup(STDERR_FILENO);
    const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
    ASSERT_GE(full, 0);
    ::dup2(full, STDERR_FILENO);
    EXPECT_NO_THROW(Log().info("event"));
    ::dup2(kept, STDERR_FILENO);
    ::close(full);
    ::close(kept);
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

// Guards against a log whose volume grows with the load, and against lines that are missing without a trace.
TEST(Log, LeavesOutLinesBeyondTheLimitAndSaysHowMany)
{
    std::vector<nlohmann::json> lines;
    const auto sink = [&](std::string_view text) { lines.push_back(nlohmann::json::parse(text)); };
    const Log log(LogLevel::Info, {}, sink, { .infoLines = 3, .warningLines = 5 });
    for (int line = 0; line < 100; ++line) {
        log.info("task_start", { { "number", line } });
        log.warning("start_unanswered");
        log.error("storage_failed");
    }
    log.info("worker_report");
    const auto count = [&](const std::string& event) {
        return std::ranges::count_if(lines, [&](const nlohmann::json& line) { return line["event"] == event; });
    };
    EXPECT_EQ(count("task_start"), 3);
    EXPECT_EQ(lines.front()["number"], 0) << "the first lines are kept";
    EXPECT_EQ(count("start_unanswered"), 5);
    EXPECT_EQ(count("storage_failed"), 100) << "errors have no limit";
    EXPECT_EQ(count("worker_report"), 1) << "each event has a limit of its own";
    lines.clear();
    log.writeLeftOut();
    log.writeLeftOut();
    ASSERT_EQ(lines.size(), 2U) << "each count is written once";
    EXPECT_EQ(lines[0]["of"], "task_start");
    EXPECT_EQ(lines[0]["count"], 97);
    EXPECT_EQ(lines[1]["of"], "start_unanswered");
    EXPECT_EQ(lines[1]["count"], 95);
}

} // namespace
} // namespace crocuscove::base
