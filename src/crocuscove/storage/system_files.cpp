#include "crocuscove/storage/file_hooks.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <memory>

namespace crocuscove::storage {

namespace {

constexpr mode_t fileMode = 0640;
constexpr mode_t folderMode = 0750;

template <typename Result> std::int64_t checked(Result result)
{
    return result < 0 ? -std::int64_t { errno } : std::int64_t { result };
}

template <typename Result> int checkedStatus(Result result) { return result < 0 ? -errno : static_cast<int>(result); }

/// Repeats a call that a signal interrupted.
template <typename Call> auto uninterrupted(Call call)
{
    auto result = call();
    while (result < 0 && errno == EINTR) {
        result = call();
    }
    return result;
}

int openFlags(OpenMode mode)
{
    switch (mode) {
    case OpenMode::Read:
        return O_RDONLY;
    case OpenMode::Append:
        return O_RDWR | O_APPEND;
    case OpenMode::Create:
        return O_RDWR | O_CREAT | O_TRUNC | O_APPEND;
    case OpenMode::Lock:
        return O_RDWR | O_CREAT;
    }
    return O_RDONLY;
}

int openFile(const std::string& path, OpenMode mode)
{
    return checkedStatus(
        uninterrupted([&path, mode] { return ::open(path.c_str(), openFlags(mode) | O_CLOEXEC, fileMode); }));
}

std::int64_t fileSize(int file)
{
    struct stat status = {};
    return ::fstat(file, &status) < 0 ? -std::int64_t { errno } : std::int64_t { status.st_size };
}

int makeFolder(const std::string& path)
{
    return ::mkdir(path.c_str(), folderMode) < 0 && errno != EEXIST ? -errno : 0;
}

int syncFolder(const std::string& path)
{
    const int folder = checkedStatus(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder < 0) {
        return folder;
    }
    const int result = checkedStatus(uninterrupted([folder] { return ::fsync(folder); }));
    ::close(folder);
    return result;
}

int listFolder(const std::string& path, std::vector<std::string>& names)
{
    const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(path.c_str()), ::closedir);
    if (!folder) {
        return -errno;
    }
    errno = 0;
    while (const dirent* const entry = ::readdir(folder.get())) {
        names.emplace_back(entry->d_name);
    }
    return -errno;
}

} // namespace

FileHooks systemFiles()
{
    return {
        .open = openFile,
        .close = [](int file) { return checkedStatus(::close(file)); },
        .write = [](int file, const char* data,
                     std::size_t size) { return checked(uninterrupted([=] { return ::write(file, data, size); })); },
        .read =
            [](int file, char* data, std::size_t size, std::uint64_t offset) {
                return checked(uninterrupted([=] { return ::pread(file, data, size, static_cast<off_t>(offset)); }));
            },
        .size = fileSize,
        .truncate =
            [](int file, std::uint64_t size) {
                return checkedStatus(uninterrupted([=] { return ::ftruncate(file, static_cast<off_t>(size)); }));
            },
        .sync = [](int file) { return checkedStatus(uninterrupted([=] { return ::fsync(file); })); },
        .lock = [](int file) { return checkedStatus(uninterrupted([=] { return ::flock(file, LOCK_EX | LOCK_NB); })); },
        .rename = [](const std::string& from,
                      const std::string& to) { return checkedStatus(::rename(from.c_str(), to.c_str())); },
        .remove = [](const std::string& path) { return checkedStatus(::unlink(path.c_str())); },
        .makeFolder = makeFolder,
        .syncFolder = syncFolder,
        .list = listFolder,
    };
}

} // namespace crocuscove::storage
