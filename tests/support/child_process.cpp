#include "support/child_process.h"

#include "crocuscove/base/error.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace crocuscove::testing {

namespace {

constexpr base::Milliseconds pollInterval { 5 };
constexpr base::Milliseconds stopTimeout { 10'000 };
constexpr int newFileMode = 0644;
constexpr int signalExitBase = 128;

std::size_t sizeOf(const std::string& path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    return error ? 0 : size;
}

std::string readFrom(const std::string& path, std::size_t start)
{
    std::ifstream file(path, std::ios::binary);
    file.seekg(static_cast<std::streamoff>(start));
    return { std::istreambuf_iterator<char>(file), {} };
}

std::vector<nlohmann::json> jsonLines(const std::string& text)
{
    std::vector<nlohmann::json> lines;
    std::string_view rest = text;
    for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
        auto line = nlohmann::json::parse(rest.substr(0, end), nullptr, false);
        if (line.is_object()) {
            lines.push_back(std::move(line));
        }
        rest.remove_prefix(end + 1);
    }
    return lines;
}

} // namespace

bool waitUntil(const std::function<bool()>& condition, base::Milliseconds timeout)
{
    const base::MonotonicTime deadline = base::monotonicNow() + timeout;
    while (!condition()) {
        if (base::monotonicNow() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

ChildProcess::ChildProcess(
    std::string name, const std::string& folder, const std::string& program, const std::vector<std::string>& arguments)
    : m_name(std::move(name))
    , m_outputPath(folder + "/" + m_name + ".out")
    , m_errorPath(folder + "/" + m_name + ".err")
    , m_outputStart(sizeOf(m_outputPath))
    , m_errorStart(sizeOf(m_errorPath))
{
    std::vector<std::string> storage { program };
    storage.insert(storage.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    std::ranges::transform(storage, std::back_inserter(argv), [](std::string& text) { return text.data(); });
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int appendFlags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_outputPath.c_str(), appendFlags, newFileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, m_errorPath.c_str(), appendFlags, newFileMode);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw base::Error(fmt::format("can't start {}: {}", program, std::strerror(error)));
    }
}

ChildProcess::~ChildProcess()
{
    signal(SIGCONT); // A stopped process wouldn't act on SIGTERM.
    signal(SIGTERM);
    if (!waitForExit(stopTimeout)) {
        kill();
    }
}

void ChildProcess::signal(int number)
{
    if (isRunning()) {
        ::kill(m_pid, number);
    }
}

void ChildProcess::kill()
{
    signal(SIGKILL);
    waitForExit();
}

bool ChildProcess::isRunning()
{
    if (!m_exitCode) {
        // The process stays a zombie until this call, so its id can't belong to another one.
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
        }
    }
    return !m_exitCode;
}

std::optional<int> ChildProcess::waitForExit(base::Milliseconds timeout)
{
    waitUntil([this] { return !isRunning(); }, timeout);
    return m_exitCode;
}

nlohmann::json ChildProcess::waitForLine(
    const std::function<std::optional<nlohmann::json>()>& find, std::string_view what)
{
    std::optional<nlohmann::json> line;
    const auto isSettled = [&] {
        const bool hasEnded = !isRunning(); // Looked at first, so that the last lines of an ended process are seen.
        line = find();
        return line || hasEnded;
    };
    waitUntil(isSettled);
    if (!line) {
        throw base::Error(fmt::format("{}: no {}: {}", m_name, what, errorText()));
    }
    return *line;
}

nlohmann::json ChildProcess::waitForReady()
{
    const auto find = [this]() -> std::optional<nlohmann::json> {
        const auto lines = outputLines();
        const auto line = std::ranges::find_if(lines, [](const auto& fields) { return fields.contains("ready"); });
        return line == lines.end() ? std::nullopt : std::optional(*line);
    };
    return waitForLine(find, "ready line");
}

nlohmann::json ChildProcess::waitForLog(std::string_view event)
{
    const auto find = [&]() -> std::optional<nlohmann::json> {
        const auto lines = logLines(event);
        return lines.empty() ? std::nullopt : std::optional(lines.front());
    };
    return waitForLine(find, fmt::format("log line '{}'", event));
}

std::vector<nlohmann::json> ChildProcess::outputLines() const
{
    return jsonLines(readFrom(m_outputPath, m_outputStart));
}

std::vector<nlohmann::json> ChildProcess::logLines(std::string_view event) const
{
    auto lines = jsonLines(errorText());
    std::erase_if(
        lines, [&](const nlohmann::json& line) { return !event.empty() && line.value("event", "") != event; });
    return lines;
}

std::string ChildProcess::errorText() const { return readFrom(m_errorPath, m_errorStart); }

} // namespace crocuscove::testing
