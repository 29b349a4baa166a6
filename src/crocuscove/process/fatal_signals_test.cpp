#include "crocuscove/process/fatal_signals.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

namespace crocuscove::process {
namespace {

/// Runs in the child of a death test, which looks at standard error only.
void endBySignal(int number)
{
    dup2(STDERR_FILENO, STDOUT_FILENO);
    http::EventLoop loop;
    http::LogOutput output(loop);
    output.sink()("an earlier line");
    const FatalSignals signals(output, "n1", "entry");
    number == SIGABRT ? std::abort() : static_cast<void>(raise(number));
}

// Guards against a process that ends without its last lines, or by something else than its signal.
TEST(FatalSignalsDeathTest, TheLastLinesAreWrittenAndTheSignalEndsTheProcess)
{
    EXPECT_EXIT(endBySignal(SIGABRT), testing::KilledBySignal(SIGABRT),
        "an earlier line\n.*\"event\":\"fatal_signal\",\"node\":\"n1\",\"role\":\"entry\",\"signal\":\"SIGABRT\","
        "\"stack\":\"[0-9a-f ]+\"}");
    EXPECT_EXIT(endBySignal(SIGILL), testing::KilledBySignal(SIGILL), "\"signal\":\"SIGILL\"");
}

// Guards against a start that doesn't tell which signals end the process without a line.
TEST(FatalSignalsTest, SignalsThatSomethingElseHandlesAreNamed)
{
    const auto before = std::signal(SIGILL, SIG_IGN);
    http::EventLoop loop;
    const http::LogOutput output(loop);
    const FatalSignals signals(output, "n1", "entry");
    EXPECT_NE(signals.leftAlone().find("SIGILL"), std::string::npos);
    EXPECT_EQ(signals.handled().find("SIGILL"), std::string::npos);
    EXPECT_NE(signals.handled().find("SIGABRT"), std::string::npos);
    static_cast<void>(std::signal(SIGILL, before));
    static_cast<void>(std::signal(SIGABRT, SIG_DFL));
}

} // namespace
} // namespace crocuscove::process
