#include "support/json_lines.h"

#include "crocuscove/base/error.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <string_view>

namespace crocuscove::testing {

namespace {

constexpr int newFileMode = 0644;

} // namespace

JsonLinesFile::JsonLinesFile(const std::string& path)
{
    if (path.empty()) {
        return;
    }
    m_fd = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, newFileMode);
    if (m_fd < 0) {
        throw base::Error(fmt::format("can't open {}: {}", path, std::strerror(errno)));
    }
}

JsonLinesFile::~JsonLinesFile()
{
    if (m_fd >= 0) {
        close(m_fd);
    }
}

void JsonLinesFile::append(const nlohmann::ordered_json& line) const
{
    if (m_fd < 0) {
        return;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (write(m_fd, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
        throw base::Error(fmt::format("can't write a record: {}", std::strerror(errno)));
    }
}

std::vector<nlohmann::json> readJsonLines(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw base::Error(fmt::format("can't open {}", path));
    }
    const std::string content { std::istreambuf_iterator<char>(file), {} };
    std::string_view rest = content;
    std::vector<nlohmann::json> lines;
    for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
        lines.push_back(nlohmann::json::parse(rest.substr(0, end), nullptr, false));
        if (lines.back().is_discarded()) {
            throw base::Error(fmt::format("{}, line {}: not JSON: {}", path, lines.size(), rest.substr(0, end)));
        }
        rest.remove_prefix(end + 1);
    }
    return lines;
}

} // namespace crocuscove::testing
