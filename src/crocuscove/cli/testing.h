#pragma once

#include "crocuscove/cli/run_command_line.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace crocuscove::cli {

struct RunResult {
    int code = 0;
    std::string out;
    std::string err;
};

/// Runs a command line. `repetitions` bounds --watch.
inline RunResult runCli(const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment = {}, int repetitions = 0)
{
    std::ostringstream out;
    std::ostringstream err;
    const Surroundings surroundings { .out = out,
        .err = err,
        .environment =
            [&](const std::string& name) {
                const auto entry = environment.find(name);
                return entry == environment.end() ? nullptr : entry->second.c_str();
            },
        .isTerminal = false,
        .keepWatching = [&] { return repetitions-- > 0; } };
    const int code = runCommandLine(arguments, surroundings);
    return { code, out.str(), err.str() };
}

inline std::string readText(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

inline std::string examplePath(const std::string& name)
{
    return std::string(CROCUSCOVE_SOURCE_FOLDER) + "/examples/documents/" + name;
}

/// A file with the given text that is removed at the end.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
        : m_path(std::filesystem::temp_directory_path() / ("crocuscove-" + uniqueName() + ".yaml"))
    {
        std::ofstream(m_path, std::ios::binary) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(m_path); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    [[nodiscard]] std::string path() const { return m_path.string(); }

private:
    static std::string uniqueName()
    {
        static int count = 0;
        return std::to_string(::getpid()) + "-" + std::to_string(count++);
    }

    std::filesystem::path m_path;
};

} // namespace crocuscove::cli
