#pragma once

#include "crocuscove/base/random.h"
#include "support/announcer.h"
#include "support/json_lines.h"
#include "support/run_times.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocuscove::testing {

struct StandinWorkerOptions {
    std::string worker = "worker-1";
    std::string vm = "vm-1";
    std::string dataCentre = "dc-1";
    std::string rack = "rack-1";
    std::int64_t cores = 64;
    std::int64_t memoryMb = 262'144;
    std::int64_t accelerators = 0;
    std::vector<base::Endpoint> admins;
    std::int64_t announceIntervalMs = 1000;
    std::int64_t seed = 1;
    RunTimeOptions runTimes { 1000, 50, 0, 50 };
    /// What a running task reports to use.
    std::int64_t taskCores = 1;
    std::int64_t taskMemoryMb = 1024;
    bool failsEverything = false;
    std::string recordsFile;
    /// How long to wait after SIGTERM to be told that it may stop.
    std::int64_t stopBoundMs = 10'000;
};

/// Worker that announces itself (docs/design.md, section 11) and runs tasks as timers. A task that has ended is
/// reported until it is stopped or a bound is reached, because an announcement may be lost. A stopped task ends as
/// failed, one stopped by checkpoint as checkpointed; throttling doubles the remaining time. A task that starts from a
/// checkpoint runs half as long. Each start is recorded with job and token.
class StandinWorker {
public:
    /// `onStopped` runs once, when no task runs and it may stop.
    StandinWorker(http::EventLoop& loop, const base::Log& log, const StandinWorkerOptions& options,
        std::function<void()> onStopped);

    /// Announces `leaving`, starts nothing more, and stops when told that it may, or after the bound.
    void leave(std::string_view reason);

private:
    struct Task {
        std::int64_t token = 0;
        std::string state;
        base::MonotonicTime end;
        http::Timer timer;
    };

    [[nodiscard]] nlohmann::ordered_json announcement() const;
    void handleAnswer(int status, const nlohmann::json& answer);
    void startTask(const nlohmann::json& order);
    void stopTask(const nlohmann::json& order);
    void endTask(const std::string& job, std::string_view state);
    void scheduleEnd(const std::string& job, Task& task);
    void forgetEnded();
    void stopWhenDone();
    [[nodiscard]] bool isRunningTasks() const;

    http::EventLoop& m_loop;
    const base::Log& m_log;
    StandinWorkerOptions m_options;
    std::function<void()> m_onStopped;
    base::Random m_random;
    JsonLinesFile m_records;
    std::int64_t m_incarnation;
    std::map<std::string, Task> m_tasks;
    bool m_isLeaving = false;
    bool m_mayStop = false;
    http::Timer m_stopBound;
    Announcer m_announcer;
};

} // namespace crocuscove::testing
