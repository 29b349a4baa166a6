#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocuscove::process {

/// The objects that a process runs on its event loop.
struct Work {
    /// Keeps the objects alive until the loop has ended.
    std::shared_ptr<void> owner;
    /// Begins a graceful stop, which ends the loop when it completes.
    std::function<void()> beginStop;
};

struct ProcessOptions {
    /// Name of the VM, which every log line includes.
    std::string name;
    /// Role of the process, which every log line includes.
    std::string_view role;
    base::LogLevel logLevel = base::LogLevel::Info;
    base::LogLimits logLimits;
};

/// Limits of the log of a process: `linesPerEvent` for each event, and more for warnings, which tell of failing cases.
base::LogLimits logLimits(std::uint32_t linesPerEvent);

/// Setting of the log lines of one event in one second.
base::Setting logLinesSetting(std::uint32_t& target);

/// Runs the work that `start` returns until SIGTERM or SIGINT has stopped it. A signal that comes during `start` is
/// kept until it returns. Runs `reload`, if there is one, at each SIGHUP.
void runWork(http::EventLoop& loop, const std::function<Work()>& start, const std::function<void()>& reload = nullptr);

/// Runs the work that `start` returns as runWork() does, and logs to standard output. Logs a base::Error and rethrows
/// it.
void runProcess(
    const ProcessOptions& options, const std::function<Work(http::EventLoop& loop, const base::Log& log)>& start);

} // namespace crocuscove::process
