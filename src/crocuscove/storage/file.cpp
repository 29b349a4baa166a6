#include "crocuscove/storage/file.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace crocuscove::storage {

namespace {

StorageFault faultOf(std::int64_t errorNumber)
{
    switch (errorNumber) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
        return StorageFault::DiskFull;
    default:
        return StorageFault::InputOutput;
    }
}

std::string temporaryPath(const std::string& folder, const std::string& name)
{
    return folder + "/" + name + std::string(temporarySuffix);
}

} // namespace

std::int64_t checkResult(std::int64_t result, const std::string& path, std::uint64_t offset, std::string_view what)
{
    if (result < 0) {
        const auto errorNumber = static_cast<int>(-result);
        throw StorageError(faultOf(errorNumber), path, offset, fmt::format("{}: {}", what, std::strerror(errorNumber)));
    }
    return result;
}

File::File(const FileHooks& hooks, std::string path, OpenMode mode)
    : m_hooks(&hooks)
    , m_path(std::move(path))
    , m_file(static_cast<int>(checkResult(hooks.open(m_path, mode), m_path, 0, "open")))
{
}

File::~File()
{
    if (m_file >= 0) {
        // Whatever must be durable was synced before, so an error has no consequence here.
        m_hooks->close(m_file);
    }
}

File::File(File&& other) noexcept
    : m_hooks(other.m_hooks)
    , m_path(std::move(other.m_path))
    , m_file(std::exchange(other.m_file, -1))
{
}

File& File::operator=(File&& other) noexcept
{
    std::swap(m_hooks, other.m_hooks);
    std::swap(m_path, other.m_path);
    std::swap(m_file, other.m_file);
    return *this;
}

std::uint64_t File::size() const
{
    return static_cast<std::uint64_t>(checkResult(m_hooks->size(m_file), m_path, 0, "size"));
}

std::string File::read(std::uint64_t offset, std::size_t size) const
{
    std::string data(size, '\0');
    std::size_t done = 0;
    while (done < size) {
        const std::int64_t count = m_hooks->read(m_file, data.data() + done, size - done, offset + done);
        if (checkResult(count, m_path, offset + done, "read") == 0) {
            break;
        }
        done += static_cast<std::size_t>(count);
    }
    data.resize(done);
    return data;
}

void File::write(std::string_view data, std::uint64_t offset)
{
    while (!data.empty()) {
        const std::int64_t count
            = checkResult(m_hooks->write(m_file, data.data(), data.size()), m_path, offset, "write");
        if (count == 0) {
            throw StorageError(StorageFault::InputOutput, m_path, offset, "write: nothing was written");
        }
        data.remove_prefix(static_cast<std::size_t>(count));
        offset += static_cast<std::uint64_t>(count);
    }
}

void File::truncate(std::uint64_t size) { checkResult(m_hooks->truncate(m_file, size), m_path, size, "truncate"); }

void File::sync() { checkResult(m_hooks->sync(m_file), m_path, 0, "sync"); }

void File::lock()
{
    const int result = m_hooks->lock(m_file);
    if (result == -EWOULDBLOCK) {
        throw StorageError(StorageFault::Locked, m_path, 0, "another process owns the folder");
    }
    checkResult(result, m_path, 0, "lock");
}

void writeTemporaryFile(const FileHooks& hooks, const std::string& folder, const std::string& name,
    const std::vector<std::string_view>& parts)
{
    const std::string temporary = temporaryPath(folder, name);
    try {
        File file(hooks, temporary, OpenMode::Create);
        std::uint64_t offset = 0;
        for (const std::string_view part : parts) {
            file.write(part, offset);
            offset += part.size();
        }
        file.sync();
    } catch (const StorageError&) {
        // On a full disk others need the room. What can't be removed now is removed when the folder is opened.
        static_cast<void>(hooks.remove(temporary));
        throw;
    }
}

void publishTemporaryFile(const FileHooks& hooks, const std::string& folder, const std::string& name)
{
    const std::string path = folder + "/" + name;
    checkResult(hooks.rename(temporaryPath(folder, name), path), path, 0, "rename");
    checkResult(hooks.syncFolder(folder), folder, 0, "sync folder");
}

void writeWholeFile(const FileHooks& hooks, const std::string& folder, const std::string& name,
    const std::vector<std::string_view>& parts)
{
    writeTemporaryFile(hooks, folder, name, parts);
    publishTemporaryFile(hooks, folder, name);
}

} // namespace crocuscove::storage
