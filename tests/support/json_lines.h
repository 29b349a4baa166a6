#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace crocuscove::testing {

/// Append-only file of JSON lines. Each line is written with one call before append() returns, so that it outlives a
/// killed process. Without a path, lines are dropped.
class JsonLinesFile {
public:
    /// Throws base::Error when the file can't be opened.
    explicit JsonLinesFile(const std::string& path);
    ~JsonLinesFile();
    JsonLinesFile(const JsonLinesFile&) = delete;
    JsonLinesFile& operator=(const JsonLinesFile&) = delete;

    void append(const nlohmann::ordered_json& line) const;

private:
    int m_fd = -1;
};

/// Reads the whole lines of a file that may still be written. Throws base::Error for a missing file or a line that is
/// not JSON. A last line without a line end is left out.
std::vector<nlohmann::json> readJsonLines(const std::string& path);

} // namespace crocuscove::testing
