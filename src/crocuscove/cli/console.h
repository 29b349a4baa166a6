#pragma once

#include "crocuscove/cli/run_command_line.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::cli {

using JsonValue = nlohmann::ordered_json;

enum class OutputFormat {
    Text,
    Json,
};

/// The output of one command.
class Console {
public:
    explicit Console(const Surroundings& surroundings)
        : m_surroundings(surroundings)
    {
    }

    [[nodiscard]] const Surroundings& surroundings() const { return m_surroundings; }
    [[nodiscard]] bool isJson() const { return m_format == OutputFormat::Json; }
    void setFormat(OutputFormat format) { m_format = format; }

    /// Writes text to standard output as it is.
    void write(std::string_view text);

    /// Writes one JSON value and a line end to standard output.
    void writeJson(const JsonValue& value);

    /// Writes lines to standard error, without other control characters.
    void note(std::string_view text);

private:
    const Surroundings& m_surroundings;
    OutputFormat m_format = OutputFormat::Text;
};

/// Replaces control characters, so that text from a server can't drive the terminal.
std::string printable(std::string_view text);

/// Formats rows in columns of equal width, the first row being the header. Cells are made printable.
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

} // namespace crocuscove::cli
