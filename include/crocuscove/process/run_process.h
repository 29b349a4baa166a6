#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocuscove::process {

/// The work of a process on its loop. It must stay until the loop has ended.
struct Work {
    std::shared_ptr<void> owner;
    /// Begins a graceful stop, which ends the loop.
    std::function<void()> beginStop;
};

struct ProcessOptions {
    /// Name of the VM and role of the process, in each log line.
    std::string name;
    std::string_view role;
    base::LogLevel logLevel = base::LogLevel::Info;
};

/// Runs the work that `start` makes until SIGTERM or SIGINT has stopped it, with its log on standard output. Logs a
/// failure and throws base::Error on.
void runProcess(
    const ProcessOptions& options, const std::function<Work(http::EventLoop& loop, const base::Log& log)>& start);

} // namespace crocuscove::process
