#include "crocuscove/base/log.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/time.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace crocuscove::base {

namespace {

constexpr auto levelNames = enumNames<LogLevel>({
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
});

void appendTime(fmt::memory_buffer& line, WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    fmt::format_to(std::back_inserter(line), "{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
        fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), (time - seconds).count());
}

constexpr bool needsEscape(char c) { return c < ' ' || c > '~' || c == '"' || c == '\\'; }

void appendValue(fmt::memory_buffer& line, std::string_view text)
{
    if (std::ranges::none_of(text, needsEscape)) {
        fmt::format_to(std::back_inserter(line), "\"{}\"", text);
        return;
    }
    // Text from outside may hold invalid UTF-8, which must not stop the process.
    const std::string escaped = nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    line.append(escaped);
}

template <typename Number> void appendValue(fmt::memory_buffer& line, Number value)
{
    fmt::format_to(std::back_inserter(line), "{}", value);
}

void appendFields(fmt::memory_buffer& line, LogFields fields)
{
    for (const LogField& field : fields) {
        line.push_back(',');
        appendValue(line, field.name);
        line.push_back(':');
        std::visit([&](const auto& value) { appendValue(line, value); }, field.value);
    }
}

// A line that can't be written, such as to a file on a full disk, is dropped: there is no other place to report it.
void writeToStandardError(std::string_view line)
{
    const std::string text = fmt::format("{}\n", line);
    static_cast<void>(std::fwrite(text.data(), 1, text.size(), stderr));
}

} // namespace

std::string_view logLevelName(LogLevel level) { return levelNames.name(level); }

Log::Log(LogLevel minimum, LogFields fixedFields, Sink sink, LogLimits limits)
    : m_minimum(minimum)
    , m_sink(sink ? std::move(sink) : writeToStandardError)
    , m_limits(limits)
{
    fmt::memory_buffer text;
    appendFields(text, fixedFields);
    m_fixedText = fmt::to_string(text);
}

void Log::write(LogLevel level, std::string_view event, LogFields fields) const
{
    if (level >= m_minimum && isWithinLimit(level, event)) {
        writeLine(level, event, fields);
    }
}

bool Log::isWithinLimit(LogLevel level, std::string_view event) const
{
    const std::uint32_t limit = level <= LogLevel::Info ? m_limits.infoLines
        : level == LogLevel::Warning                    ? m_limits.warningLines
                                                        : 0;
    if (limit == 0) {
        return true;
    }
    auto& events = m_counts[level];
    auto found = events.find(event);
    if (found == events.end()) {
        found = events.emplace(event, EventCount {}).first;
    }
    EventCount& count = found->second;
    const auto now = monotonicNow();
    if (now >= count.secondEnds) {
        count.secondEnds = now + std::chrono::seconds(1);
        count.written = 0;
    }
    if (count.written >= limit) {
        ++count.leftOut;
        return false;
    }
    ++count.written;
    return true;
}

void Log::writeLeftOut() const
{
    for (auto& [level, events] : m_counts) {
        for (auto& [event, count] : events) {
            if (const auto leftOut = std::exchange(count.leftOut, 0); leftOut > 0) {
                writeLine(LogLevel::Info, "log_lines_left_out",
                    { { "of", event }, { "of_level", logLevelName(level) }, { "count", leftOut } });
            }
        }
    }
}

void Log::writeLine(LogLevel level, std::string_view event, LogFields fields) const
{
    fmt::memory_buffer line;
    line.append(std::string_view("{\"time\":\""));
    appendTime(line, wallNow());
    line.push_back('"');
    appendFields(line, { { "level", logLevelName(level) }, { "event", event } });
    line.append(m_fixedText);
    appendFields(line, fields);
    line.push_back('}');
    m_sink({ line.data(), line.size() });
}

} // namespace crocuscove::base
