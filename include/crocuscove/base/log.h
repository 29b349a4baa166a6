#pragma once

#include "crocuscove/base/time.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace crocuscove::base {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view logLevelName(LogLevel level);

/// A value in a log line. Texts are viewed, not copied.
using LogValue = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

/// One name and value of a log line.
struct LogField {
    template <std::signed_integral Number>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(std::int64_t { number })
    {
    }

    template <std::unsigned_integral Number>
    requires(!std::same_as<Number, bool>) LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(std::uint64_t { number })
    {
    }

    template <std::same_as<bool> Flag>
    LogField(std::string_view fieldName, Flag flag)
        : name(fieldName)
        , value(flag)
    {
    }

    LogField(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }

    template <std::convertible_to<std::string_view> Text>
    LogField(std::string_view fieldName, const Text& text)
        : name(fieldName)
        , value(std::string_view(text))
    {
    }

    std::string_view name;
    LogValue value;
};

/// Fields of a log line, in the order they are given. They live until the end of the call.
using LogFields = std::initializer_list<LogField>;

/// Lines of one event that are written in one second; 0 for no limit. Errors have none.
struct LogLimits {
    std::uint32_t infoLines = 0;
    std::uint32_t warningLines = 0;
};

/// Writes JSON lines: time, level, event, the fixed fields, then the fields of the call.
class Log {
public:
    using Sink = std::function<void(std::string_view line)>;

    /// `fixedFields` stand in every line, such as the node's id. Without a sink, lines go to standard error.
    explicit Log(
        LogLevel minimum = LogLevel::Info, LogFields fixedFields = {}, Sink sink = nullptr, LogLimits limits = {});

    /// Writes a line, unless the limit of its event for this second is reached; see writeLeftOut().
    void write(LogLevel level, std::string_view event, LogFields fields = {}) const;

    /// Writes for each event how many of its lines were left out since the last call. To be called about once a second.
    void writeLeftOut() const;

    void debug(std::string_view event, LogFields fields = {}) const { write(LogLevel::Debug, event, fields); }
    void info(std::string_view event, LogFields fields = {}) const { write(LogLevel::Info, event, fields); }
    void warning(std::string_view event, LogFields fields = {}) const { write(LogLevel::Warning, event, fields); }
    void error(std::string_view event, LogFields fields = {}) const { write(LogLevel::Error, event, fields); }

private:
    /// Lines of one event at one level.
    struct EventCount {
        MonotonicTime secondEnds;
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    [[nodiscard]] bool isWithinLimit(LogLevel level, std::string_view event) const;
    void writeLine(LogLevel level, std::string_view event, LogFields fields) const;

    LogLevel m_minimum;
    /// The fixed fields as they stand in a line.
    std::string m_fixedText;
    Sink m_sink;
    LogLimits m_limits;
    /// By level and event. Events are literals of the code, so that their number is bounded.
    mutable std::map<LogLevel, std::map<std::string, EventCount, std::less<>>> m_counts;
};

} // namespace crocuscove::base
