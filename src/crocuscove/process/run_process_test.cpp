#include "crocuscove/process/run_process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>

namespace crocuscove::process {
namespace {

/// Writes beyond the limit of file size in a process that runProcess() has set up, and exits with the cause.
void writeBeyondFileSizeLimit(const char* file)
{
    constexpr rlimit limit { 16, 16 };
    runProcess({ "n1", "control", base::LogLevel::Error, {} }, [&](http::EventLoop&, const base::Log&) -> Work {
        const int target = open(file, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR);
        constexpr std::array<char, 32> bytes {};
        const bool isLimited = target >= 0 && setrlimit(RLIMIT_FSIZE, &limit) == 0
            && write(target, bytes.data(), limit.rlim_cur) == static_cast<ssize_t>(limit.rlim_cur);
        const ssize_t written = isLimited ? write(target, bytes.data(), 1) : 0;
        _exit(written < 0 ? errno : EXIT_SUCCESS);
    });
}

/// Gets a signal during the start of a process, and exits with what its work has counted.
void signalDuringStart(int number)
{
    auto stops = std::make_shared<int>(0);
    runProcess({ "n1", "control", base::LogLevel::Error, {} }, [&](http::EventLoop& loop, const base::Log&) -> Work {
        EXPECT_EQ(raise(number), 0);
        return { stops, [&loop, stops] {
                    ++*stops;
                    loop.stop();
                } };
    });
    _exit(*stops);
}

// Guards against a process that a signal during its start ends without a graceful stop.
TEST(RunProcessDeathTest, ASignalDuringTheStartStopsTheProcessAfterIt)
{
    EXPECT_EXIT(signalDuringStart(SIGTERM), testing::ExitedWithCode(1), "");
    EXPECT_EXIT(signalDuringStart(SIGINT), testing::ExitedWithCode(1), "");
}

// Guards against a process that a reload during its start ends.
TEST(RunProcessDeathTest, AReloadDuringTheStartIsKept)
{
    const auto reloadDuringStart = [] {
        http::EventLoop loop;
        const auto start = []() -> Work {
            EXPECT_EQ(raise(SIGHUP), 0);
            return { nullptr, [] {} };
        };
        runWork(loop, start, [&loop] { loop.stop(); });
        _exit(EXIT_SUCCESS);
    };
    EXPECT_EXIT(reloadDuringStart(), testing::ExitedWithCode(EXIT_SUCCESS), "");
}

// Guards against a process that a full file ends by a signal instead of by a failed write.
TEST(RunProcessDeathTest, AWriteBeyondTheLimitOfFileSizeFailsInsteadOfEndingTheProcess)
{
    const std::string file = testing::TempDir() + "run_process_test." + std::to_string(getpid());
    EXPECT_EXIT(writeBeyondFileSizeLimit(file.c_str()), testing::ExitedWithCode(EFBIG), "");
    unlink(file.c_str());
}

} // namespace
} // namespace crocuscove::process
