#pragma once

#include "crocuscove/base/error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace crocuscove::cli {

enum class ExitCode : int {
    Success = 0,
    Failed = 1,
    InvalidInput = 2,
    Conflict = 3,
    Unavailable = 4,
    UnknownOutcome = 5,
};

std::string_view exitCodeName(ExitCode code);

/// Ends a command. `details` are added to the JSON output.
class CommandError : public base::Error {
public:
    CommandError(
        ExitCode code, const std::string& message, nlohmann::ordered_json details = nlohmann::ordered_json::object())
        : base::Error(message)
        , m_code(code)
        , m_details(std::move(details))
    {
    }

    [[nodiscard]] ExitCode code() const { return m_code; }
    [[nodiscard]] const nlohmann::ordered_json& details() const { return m_details; }

private:
    ExitCode m_code;
    nlohmann::ordered_json m_details;
};

} // namespace crocuscove::cli
