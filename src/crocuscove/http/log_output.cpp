#include "crocuscove/http/log_output.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>

namespace crocuscove::http {

namespace {

/// Lines of about a second under full load.
constexpr std::size_t maxBufferedBytes = std::size_t { 256 } * 1024;
constexpr base::Milliseconds flushInterval { 100 };
/// Writes up to this size to a pipe are whole or not done (PIPE_BUF).
constexpr std::size_t maxWriteBytes = 4096;

} // namespace

LogOutput::LogOutput(EventLoop& loop)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        static_cast<void>(fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
    }
    m_timer = loop.runEvery(flushInterval, [this] { flush(); });
}

LogOutput::~LogOutput() { flush(); }

base::Log::Sink LogOutput::sink()
{
    return [this](std::string_view line) { add(line); };
}

void LogOutput::add(std::string_view line)
{
    const std::string dropped = m_droppedLines > 0 ? droppedLine() : std::string();
    if (m_lines.size() + dropped.size() + line.size() > maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_droppedLines = 0;
    m_lines.append(dropped).append(line);
    m_lines.push_back('\n');
}

std::string LogOutput::droppedLine() const
{
    return fmt::format("{{\"level\":\"warning\",\"event\":\"log_lines_dropped\",\"count\":{}}}\n", m_droppedLines);
}

void LogOutput::flush()
{
    writeLines();
    if (m_lines.empty() && m_droppedLines > 0) {
        m_lines = droppedLine();
        m_droppedLines = 0;
        writeLines();
    }
}

void LogOutput::writeLines()
{
    std::size_t written = 0;
    while (written < m_lines.size()) {
        const ssize_t part
            = write(STDOUT_FILENO, m_lines.data() + written, std::min(maxWriteBytes, m_lines.size() - written));
        if (part <= 0) {
            // A full pipe keeps its part for the next time; any other failure leaves nobody to tell.
            break;
        }
        written += static_cast<std::size_t>(part);
    }
    m_lines.erase(0, written);
}

void LogOutput::writeLast(std::string_view text) const noexcept
{
    writeRaw(m_lines);
    writeRaw(text);
}

void LogOutput::writeRaw(std::string_view text) noexcept
{
    while (!text.empty()) {
        const ssize_t part = write(STDOUT_FILENO, text.data(), std::min(maxWriteBytes, text.size()));
        if (part <= 0) {
            return;
        }
        text.remove_prefix(static_cast<std::size_t>(part));
    }
}

} // namespace crocuscove::http
