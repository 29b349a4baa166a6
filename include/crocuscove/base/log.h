#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string_view>

namespace crocuscove::base {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view logLevelName(LogLevel level);

/// Fields of a log line, in the order they are given.
using LogFields = nlohmann::ordered_json;

/// Writes JSON lines: time, level, event, the fixed fields, then the fields of the call.
class Log {
public:
    using Sink = std::function<void(std::string_view line)>;

    /// `fixedFields` stand in every line, such as the node's id. Without a sink, lines go to standard error.
    explicit Log(LogLevel minimum = LogLevel::Info, LogFields fixedFields = LogFields::object(), Sink sink = nullptr);

    void write(LogLevel level, std::string_view event, const LogFields& fields = LogFields::object()) const;

    void debug(std::string_view event, const LogFields& fields = LogFields::object()) const
    {
        write(LogLevel::Debug, event, fields);
    }
    void info(std::string_view event, const LogFields& fields = LogFields::object()) const
    {
        write(LogLevel::Info, event, fields);
    }
    void warning(std::string_view event, const LogFields& fields = LogFields::object()) const
    {
        write(LogLevel::Warning, event, fields);
    }
    void error(std::string_view event, const LogFields& fields = LogFields::object()) const
    {
        write(LogLevel::Error, event, fields);
    }

private:
    LogLevel m_minimum;
    LogFields m_fixedFields;
    Sink m_sink;
};

} // namespace crocuscove::base
