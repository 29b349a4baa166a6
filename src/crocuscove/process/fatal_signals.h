#pragma once

#include "crocuscove/http/log_output.h"

#include <string>

namespace crocuscove::process {

/// Writes one last log line when a signal ends the process because of a fault of its own, such as SIGSEGV or SIGABRT.
/// The signal then takes its usual course. Signals that something else handles already, such as a sanitizer, are left
/// alone. One object at a time; `output` must outlive it.
class FatalSignals {
public:
    FatalSignals(const http::LogOutput& output, const std::string& name, const std::string& role);
    ~FatalSignals();
    FatalSignals(const FatalSignals&) = delete;
    FatalSignals& operator=(const FatalSignals&) = delete;

    /// Names of the signals that this object handles, separated by spaces.
    [[nodiscard]] const std::string& handled() const { return m_handled; }
    /// Names of the signals that were handled or ignored already.
    [[nodiscard]] const std::string& leftAlone() const { return m_leftAlone; }

private:
    void install(int number, const std::string& name);

    std::string m_handled;
    std::string m_leftAlone;
};

} // namespace crocuscove::process
