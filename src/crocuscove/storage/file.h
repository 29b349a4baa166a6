#pragma once

#include "crocuscove/storage/file_hooks.h"
#include "crocuscove/storage/storage_error.h"

#include <string>
#include <string_view>

namespace crocuscove::storage {

/// Throws a StorageError for a negated errno value; returns other results.
std::int64_t checkResult(std::int64_t result, const std::string& path, std::uint64_t offset, std::string_view what);

/// An open file that throws StorageError and is closed at the end of its life.
class File {
public:
    File(const FileHooks& hooks, std::string path, OpenMode mode);
    ~File();
    File(File&& other) noexcept;
    File& operator=(File&& other) noexcept;
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    [[nodiscard]] const std::string& path() const { return m_path; }
    [[nodiscard]] std::uint64_t size() const;
    /// Bytes from `offset`, fewer at the end of the file.
    [[nodiscard]] std::string read(std::uint64_t offset, std::size_t size) const;

    /// Writes all of `data` at the end, which is at `offset`.
    void write(std::string_view data, std::uint64_t offset);
    void truncate(std::uint64_t size);
    void sync();
    void lock();

private:
    const FileHooks* m_hooks;
    std::string m_path;
    int m_file = -1;
};

/// Writes `parts` to the temporary file of `name` and syncs it. After an error the file is removed, as far as that
/// succeeds.
void writeTemporaryFile(const FileHooks& hooks, const std::string& folder, const std::string& name,
    const std::vector<std::string_view>& parts);

/// Renames the temporary file of `name` to `name` and syncs the folder.
void publishTemporaryFile(const FileHooks& hooks, const std::string& folder, const std::string& name);

/// Does both.
void writeWholeFile(const FileHooks& hooks, const std::string& folder, const std::string& name,
    const std::vector<std::string_view>& parts);

/// Ending of temporary files, which are removed when the folder is opened.
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace crocuscove::storage
