#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/event_loop.h"

#include <cstdint>
#include <string>

namespace crocuscove::http {

/// Collects log lines and writes them to standard output at intervals. It never waits for a reader: lines that find no
/// room are dropped and counted in the next line that is written.
class LogOutput {
public:
    /// `loop` must outlive the output.
    explicit LogOutput(EventLoop& loop);
    /// Writes what is left.
    ~LogOutput();
    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    /// Returns the sink for a log.
    base::Log::Sink sink();

    /// Writes the collected lines as far as there is room.
    void flush();
    /// Writes the collected lines and `text` in a process that is about to end. Like writeRaw(), it calls nothing but
    /// write(2), so that a signal handler may use it.
    void writeLast(std::string_view text) const noexcept;
    /// Writes text at once, past the collected lines.
    static void writeRaw(std::string_view text) noexcept;

private:
    void add(std::string_view line);
    [[nodiscard]] std::string droppedLine() const;
    void writeLines();

    std::string m_lines;
    std::uint64_t m_droppedLines = 0;
    Timer m_timer;
};

} // namespace crocuscove::http
