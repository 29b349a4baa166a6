#pragma once

#include "crocuscove/base/time.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::testing {

inline constexpr base::Milliseconds waitTimeout { 60'000 };

/// Waits until `condition` holds. Returns false when it doesn't within the timeout.
bool waitUntil(const std::function<bool()>& condition, base::Milliseconds timeout = waitTimeout);

/// A program run by a test. Its output goes to the files `<name>.out` and `<name>.err` of a folder; a program started
/// again under the same name appends to them. The destructor ends the process: SIGTERM first, then SIGKILL.
class ChildProcess {
public:
    /// Throws base::Error when the program can't be started.
    ChildProcess(std::string name, const std::string& folder, const std::string& program,
        const std::vector<std::string>& arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] int pid() const { return m_pid; }

    /// Sends a signal, unless the process has ended.
    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

    [[nodiscard]] bool isRunning();

    /// Waits for the end. Returns the exit code, 128 plus the signal for a killed process, or nothing after the
    /// timeout.
    std::optional<int> waitForExit(base::Milliseconds timeout = waitTimeout);

    /// Waits for the first JSON line with "ready" on standard output. Throws base::Error when the process ends first.
    nlohmann::json waitForReady();

    /// Waits for the first log line with the event. Throws base::Error when the process ends first.
    nlohmann::json waitForLog(std::string_view event);

    /// Returns the JSON lines on standard output of this run.
    [[nodiscard]] std::vector<nlohmann::json> outputLines() const;

    /// Returns the log lines of this run with the given event; all of them for an empty event. Lines that aren't JSON,
    /// such as a sanitizer's report, are left out.
    [[nodiscard]] std::vector<nlohmann::json> logLines(std::string_view event = "") const;

    /// Returns everything on standard error of this run.
    [[nodiscard]] std::string errorText() const;

private:
    nlohmann::json waitForLine(const std::function<std::optional<nlohmann::json>()>& find, std::string_view what);

    std::string m_name;
    std::string m_outputPath;
    std::string m_errorPath;
    std::size_t m_outputStart = 0;
    std::size_t m_errorStart = 0;
    int m_pid = -1;
    std::optional<int> m_exitCode;
};

} // namespace crocuscove::testing
