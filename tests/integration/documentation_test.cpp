#include "support/system.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <fstream>

/// Runs the curl lines of docs/api.md against a node.
namespace crocuscove::testing {
namespace {

std::string outputOf(const std::string& command)
{
    FILE* pipe = popen(command.c_str(), "r");
    EXPECT_NE(pipe, nullptr);
    std::array<char, 256> buffer {};
    const std::size_t size = std::fread(buffer.data(), 1, buffer.size(), pipe);
    pclose(pipe);
    return { buffer.data(), size };
}

// Guards against a page on the interfaces that no longer says what the node does.
TEST(DocumentationTest, CurlLinesGiveTheStatusTheyState)
{
    Cluster cluster([] { return ::testing::Test::HasFailure(); });
    System system(cluster, {});
    ASSERT_TRUE(system.waitUntilReady());
    const std::string environment = "cd " CROCUSCOVE_SOURCE_FOLDER " && ADMIN=" + system.node(1).admin.text()
        + " CLIENT=" + system.node(1).client.text() + " && ";
    std::ifstream page(CROCUSCOVE_SOURCE_FOLDER "/docs/api.md");
    int count = 0;
    for (std::string line; std::getline(page, line);) {
        const auto comment = line.rfind("   # ");
        if (line.starts_with("    curl ") && comment != std::string::npos) {
            EXPECT_EQ(outputOf(environment + line.substr(0, comment)), line.substr(comment + 5)) << line;
            ++count;
        }
    }
    EXPECT_GE(count, 20);
}

} // namespace
} // namespace crocuscove::testing
