#include "crocuscove/http/log_output.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/socket_testing.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>

namespace crocuscove::http {
namespace {

using testing::runUntil;

/// Puts a pipe that nobody reads in the place of standard output.
class UnreadOutput {
public:
    UnreadOutput()
        : m_saved(dup(STDOUT_FILENO))
    {
        constexpr int pipeBytes = 65536;
        if (pipe2(m_pipe.data(), O_CLOEXEC | O_NONBLOCK) != 0 || fcntl(m_pipe[1], F_SETPIPE_SZ, pipeBytes) < 0) {
            throw base::Error("can't make a pipe");
        }
        dup2(m_pipe[1], STDOUT_FILENO);
    }
    ~UnreadOutput()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        close(m_pipe[0]);
        close(m_pipe[1]);
    }
    UnreadOutput(const UnreadOutput&) = delete;
    UnreadOutput& operator=(const UnreadOutput&) = delete;

    [[nodiscard]] std::string read() const
    {
        std::string text;
        std::array<char, 65536> bytes {};
        for (ssize_t count = 1; count > 0;
             text.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(0, count)))) {
            count = ::read(m_pipe[0], bytes.data(), bytes.size());
        }
        return text;
    }

private:
    int m_saved;
    std::array<int, 2> m_pipe {};
};

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

// Guards against memory that grows without bound while nobody reads standard output, and against lines that don't come
// again afterwards.
TEST(LogOutputTest, LinesThatNobodyReadsAreDroppedAndCountedOnce)
{
    // Failures are written to standard output, so that the expectations come after it is back.
    std::optional<UnreadOutput> standardOutput(std::in_place);
    EventLoop loop;
    LogOutput output(loop);
    const auto sink = output.sink();
    const std::string line(1000, 'x');
    for (int flush = 0; flush < 1000; ++flush) {
        sink(line);
        output.flush();
    }
    std::string text;
    const auto hasReadAll = [&] {
        text += standardOutput->read();
        return text.ends_with("}\n");
    };
    const bool isDropTold = runUntil(loop, hasReadAll);
    sink("a later line");
    const bool isLaterLineWritten = runUntil(loop, [&] { return standardOutput->read() == "a later line\n"; });
    standardOutput.reset();
    const std::size_t written = countOf(text, line + "\n");
    EXPECT_TRUE(isDropTold);
    EXPECT_EQ(countOf(text, "log_lines_dropped"), 1U);
    EXPECT_NE(text.find("\"count\":" + std::to_string(1000 - written) + "}"), std::string::npos);
    EXPECT_TRUE(isLaterLineWritten);
}

} // namespace
} // namespace crocuscove::http
