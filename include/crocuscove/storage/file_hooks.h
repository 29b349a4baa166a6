#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crocuscove::storage {

enum class OpenMode : std::uint8_t {
    Read,
    /// Writes go to the end of an existing file.
    Append,
    /// Creates the file, or empties it.
    Create,
    /// Creates the file when it is missing and keeps its content.
    Lock,
};

/// File operations of the data folder, replaceable in tests. Results below zero are negated errno values.
struct FileHooks {
    std::function<int(const std::string& path, OpenMode mode)> open;
    std::function<int(int file)> close;
    /// May write less than `size`.
    std::function<std::int64_t(int file, const char* data, std::size_t size)> write;
    std::function<std::int64_t(int file, char* data, std::size_t size, std::uint64_t offset)> read;
    std::function<std::int64_t(int file)> size;
    std::function<int(int file, std::uint64_t size)> truncate;
    std::function<int(int file)> sync;
    /// Takes an exclusive lock that ends when the file is closed or the process ends.
    std::function<int(int file)> lock;
    std::function<int(const std::string& from, const std::string& to)> rename;
    std::function<int(const std::string& path)> remove;
    /// Creates a folder; an existing one is no error.
    std::function<int(const std::string& path)> makeFolder;
    std::function<int(const std::string& path)> syncFolder;
    std::function<int(const std::string& path, std::vector<std::string>& names)> list;
};

/// The operations of the operating system.
FileHooks systemFiles();

} // namespace crocuscove::storage
