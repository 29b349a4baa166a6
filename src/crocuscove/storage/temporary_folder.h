#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace crocuscove::storage {

/// A folder for one test or benchmark, removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "crocuscove-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::filesystem::filesystem_error("mkdtemp", std::error_code(errno, std::generic_category()));
        }
        m_path = pattern;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    [[nodiscard]] std::string path(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

} // namespace crocuscove::storage
