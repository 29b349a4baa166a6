#include "crocuscove/base/log.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/time.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>

namespace crocuscove::base {

namespace {

constexpr auto levelNames = enumNames<LogLevel>({
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
});

std::string formatTime(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto milliseconds = (time - seconds).count();
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), milliseconds);
}

void writeToStandardError(std::string_view line) { fmt::print(stderr, "{}\n", line); }

} // namespace

std::string_view logLevelName(LogLevel level) { return levelNames.name(level); }

Log::Log(LogLevel minimum, LogFields fixedFields, Sink sink)
    : m_minimum(minimum)
    , m_fixedFields(std::move(fixedFields))
    , m_sink(sink ? std::move(sink) : writeToStandardError)
{
}

void Log::write(LogLevel level, std::string_view event, const LogFields& fields) const
{
    if (level < m_minimum) {
        return;
    }
    LogFields line;
    line["time"] = formatTime(wallNow());
    line["level"] = logLevelName(level);
    line["event"] = event;
    line.update(m_fixedFields);
    line.update(fields);
    // Text from outside may hold invalid UTF-8, which must not stop the process.
    m_sink(line.dump(-1, ' ', false, LogFields::error_handler_t::replace));
}

} // namespace crocuscove::base
