#include "crocuscove/process/run_process.h"

#include "crocuscove/base/error.h"
#include "crocuscove/http/log_output.h"
#include "fatal_signals.h"

#include <csignal>
#include <exception>
#include <optional>

namespace crocuscove::process {

namespace {

/// Warnings may be this much more frequent than other lines of an event.
constexpr std::uint32_t warningFactor = 4;
constexpr base::Milliseconds leftOutInterval { 1'000 };
constexpr std::int64_t maxLogLines = 100'000;

} // namespace

base::LogLimits logLimits(std::uint32_t linesPerEvent)
{
    return { .infoLines = linesPerEvent, .warningLines = linesPerEvent * warningFactor };
}

base::Setting logLinesSetting(std::uint32_t& target)
{
    return { "log-lines-per-event",
        "log lines of one event in one second, 0 for no limit, default " + std::to_string(target), "0 to 100000",
        [&target](std::string_view value) {
            target = static_cast<std::uint32_t>(base::parseInteger(value, 0, maxLogLines));
        } };
}

void runWork(http::EventLoop& loop, const std::function<Work()>& start, const std::function<void()>& reload)
{
    // Writing to a connection that the peer has closed must not terminate the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    // A write beyond the limit of file size must fail with EFBIG.
    static_cast<void>(std::signal(SIGXFSZ, SIG_IGN));
    Work work;
    // The callbacks run on the loop, and so after the start.
    const auto terminate = loop.onSignal(SIGTERM, [&work] { work.beginStop(); });
    const auto interrupt = loop.onSignal(SIGINT, [&work] { work.beginStop(); });
    const auto hangUp = reload ? loop.onSignal(SIGHUP, reload) : http::Watch();
    work = start();
    loop.run();
}

void runProcess(
    const ProcessOptions& options, const std::function<Work(http::EventLoop& loop, const base::Log& log)>& start)
{
    http::EventLoop loop;
    http::LogOutput output(loop);
    const base::Log log(options.logLevel, { { "node", options.name }, { "role", std::string(options.role) } },
        output.sink(), options.logLimits);
    std::optional<FatalSignals> fatalSignals;
    const http::Timer leftOut = loop.runEvery(leftOutInterval, [&log] { log.writeLeftOut(); });
    const auto startLogged = [&] {
        fatalSignals.emplace(output, options.name, std::string(options.role));
        log.info(
            "fatal_signals", { { "handled", fatalSignals->handled() }, { "left_alone", fatalSignals->leftAlone() } });
        return start(loop, log);
    };
    try {
        runWork(loop, startLogged, [&log] { log.info("reload", { { "changed", 0 } }); });
        log.info("stopped");
    } catch (const base::Error& error) {
        log.error("node_failed", { { "cause", error.what() } });
        throw;
    } catch (const std::exception& error) {
        // Nobody above catches these, and without unwinding the last lines would not be written.
        log.error("node_failed", { { "cause", error.what() } });
        throw base::Error(error.what());
    }
}

} // namespace crocuscove::process
