// Entries of another writer among those of workers, VMs and operators, with real processes and a configuration in
// force.

#include "integration/platform_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::testing {
namespace {

using Fields = std::map<std::string, std::string>;

std::string textOf(const Fields& fields)
{
    std::string body;
    for (const auto& [name, value] : fields) {
        body += fmt::format("{}\"{}\":{}", body.empty() ? "{" : ",", name, value);
    }
    return body + "}";
}

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::vector<std::string> oddValues()
{
    return { "null", "true", "7", "-1", "0", "2.5", "1e300", "-1e300", "1e999", "9223372036854775807",
        "9223372036854775808", "18446744073709551615", "-9223372036854775808", "[]", "{}", R"("")", R"("x")",
        R"("a\u0000\r\nb")", "\"\xff\xfe\"", R"("127.0.0.1:0")", R"("127.0.0.1:99999")", R"("[::1]:9")",
        R"([{"a":[1]}])", R"({"cpu":1e300,"memMb":1})", R"({"cpu":18446744073709551615,"memMb":-1})",
        '"' + std::string(60'000, 'x') + '"', nested(100'000) };
}

/// Reports with one field that is odd or missing.
std::vector<std::string> oddReports()
{
    const Fields valid { { "service", R"("pool")" }, { "address", R"("127.0.0.1:9")" }, { "zone", R"("z")" },
        { "state", R"("ready")" }, { "version", R"("v1")" }, { "slots", "8" }, { "coldLeftMs", "0" },
        { "capacity", R"({"cpu":1000,"memMb":1024,"gpu":0})" }, { "labels", R"(["a","r1"])" }, { "seq", "1" },
        { "born", "1" }, { "clockMs", "1000" } };
    std::vector<std::string> bodies { "", "[", "[]", "7", "null", "\xff\xfe", nested(100'000), std::string(4, '\0') };
    for (const auto& entry : valid) {
        Fields fields = valid;
        fields.erase(entry.first);
        bodies.push_back(textOf(fields));
        for (const std::string& value : oddValues()) {
            fields[entry.first] = value;
            bodies.push_back(textOf(fields));
        }
    }
    bodies.push_back(textOf(valid) + "}");
    Fields unknown = valid;
    unknown["other"] = nested(100'000);
    bodies.push_back(textOf(unknown));
    return bodies;
}

class PlatformMalformedTest : public PlatformTest {
protected:
    void reportTo(int node, const std::string& id, const std::string& body) const
    {
        static_cast<void>(Cluster::request(control(node), "PUT", "/api/instances/" + id, body));
    }

    bool allRun()
    {
        bool result = true;
        for (const std::string& name : { controlName(1), controlName(2), controlName(3), std::string("entry") }) {
            EXPECT_TRUE(cluster.process(name).isRunning()) << name;
            result = result && cluster.process(name).isRunning();
        }
        return result;
    }

    [[nodiscard]] bool hasLogged(std::string_view event)
    {
        return std::ranges::any_of(std::vector { 1, 2, 3 }, [&](int node) {
            const auto lines = cluster.process(controlName(node)).outputLines();
            return std::ranges::any_of(
                lines, [&](const nlohmann::json& line) { return line.value("event", "") == event; });
        });
    }

    bool isDone(const std::string& job)
    {
        submit(job, R"({"spec":"100","steps":[{"count":4,"cpu":1000,"memMb":64,"estRuntimeMs":100}]})");
        return waitUntil([&] { return state(job) == "done"; });
    }
};

// Guards against one odd entry of another writer that ends each process that reads it, or that stops it from following
// the list.
TEST_F(PlatformMalformedTest, OddEntriesEndNoProcessAndTheOthersHold)
{
    ASSERT_TRUE(configure());
    startWorker("w1", { "--odd-rows" });
    startWorker("w2");
    startVms({ "--odd-entries" });
    ASSERT_TRUE(isDone("00000000000000a1"));
    int number = 0;
    for (const std::string& body : oddReports()) {
        ++number;
        reportTo(number % 3 + 1, fmt::format("odd-{}", number), body);
        reportTo(std::max(1, leader()), fmt::format("odd-{}", number), body);
    }
    const std::vector<std::string> oddIds { "%00", "a%0d%0aX:%201", "%ff%fe", "w1/../x", std::string(9'000, 'i') };
    for (const std::string& id : oddIds) {
        reportTo(std::max(1, leader()), id, oddReports().at(9));
    }
    ASSERT_TRUE(allRun());
    for (const char* event :
        { "worker_report", "worker_report_refused", "worker_rows_skipped", "vm_entries_malformed" }) {
        EXPECT_TRUE(waitUntil([&] { return hasLogged(event); })) << event;
    }
    for (const char* wave : { R"({"wave":7,"machines":["vm-w2"],"completeByS":1e300,"maxCount":1})",
             R"({"wave":18446744073709551615,"machines":["vm-w2"]})", R"({"wave":8,"machines":7})",
             R"({"machines":["vm-w2"]})" }) {
        EXPECT_EQ(startWave(wave), 400) << wave;
    }
    ASSERT_EQ(startWave(R"({"wave":1,"machines":["vm-w2","no-such-vm"],"completeByS":20,"maxCount":1})"), 200);
    EXPECT_TRUE(waitUntil([&] { return isWaveDone(1); }));
    EXPECT_TRUE(isDone("00000000000000a2"));
    ASSERT_TRUE(allRun());

    // Each node reads the entries again from its log.
    for (int node = 1; node <= 3; ++node) {
        cluster.process(controlName(node)).kill();
    }
    for (int node = 1; node <= 3; ++node) {
        startControl(node, false);
    }
    EXPECT_TRUE(isDone("00000000000000a3"));
    EXPECT_EQ(state("00000000000000a1"), "done");
    // Another node that followed the list leads on with the same state.
    const int first = waitForLeader();
    cluster.process(controlName(first)).kill();
    EXPECT_NE(waitForLeader(first), 0);
    EXPECT_TRUE(isDone("00000000000000a4"));
    EXPECT_EQ(state("00000000000000a2"), "done");
    EXPECT_TRUE(isWaveDone(1));
    startControl(first, false);
    EXPECT_TRUE(waitUntil([&] { return leader() != 0; }));
    allRun();
    expectNoTaskTwice();
}

} // namespace
} // namespace crocuscove::testing
