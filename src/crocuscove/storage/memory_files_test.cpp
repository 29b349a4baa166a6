#include "crocuscove/storage/memory_files_test.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace crocuscove::storage {

namespace {

constexpr std::size_t sectorBytes = 512;

} // namespace

MemoryFiles::OpenFile::~OpenFile()
{
    if (ownsLock) {
        inode->isLocked = false;
    }
}

void MemoryFiles::Inode::resize(std::size_t size)
{
    content.resize(size);
    lostEnd = std::min(lostEnd, size);
    lostBegin = std::min(lostBegin, lostEnd);
}

void MemoryFiles::Inode::sync()
{
    durable = content;
    std::fill(durable.begin() + static_cast<std::ptrdiff_t>(lostBegin),
        durable.begin() + static_cast<std::ptrdiff_t>(lostEnd), '\0');
}

void MemoryFiles::Inode::loseUnsynced()
{
    lostBegin = lostBegin < lostEnd ? lostBegin : std::min(durable.size(), content.size());
    lostEnd = content.size();
}

FileHooks MemoryFiles::hooks()
{
    return {
        .open = [this](const std::string& path, OpenMode mode) { return open(path, mode); },
        .close =
            [this](int file) {
                m_open.erase(file);
                return 0;
            },
        .write = [this](int file, const char* data, std::size_t size) { return write(file, data, size); },
        .read = [this](int file, char* data, std::size_t size,
                    std::uint64_t offset) { return read(file, data, size, offset); },
        .size = [this](int file) { return static_cast<std::int64_t>(m_open.at(file)->inode->content.size()); },
        .truncate =
            [this](int file, std::uint64_t size) {
                const int error = enter();
                if (error == 0) {
                    m_open.at(file)->inode->resize(size);
                }
                return error;
            },
        .sync = [this](int file) { return sync(*m_open.at(file)->inode); },
        .lock = [this](int file) { return lock(file); },
        .rename = [this](const std::string& from, const std::string& to) { return rename(from, to); },
        .remove = [this](const std::string& path) { return remove(path); },
        .makeFolder = [](const std::string&) { return 0; },
        .syncFolder =
            [this](const std::string&) {
                const int error = enter();
                if (error == 0 && !ignoresFolderSync) {
                    m_durableNames = m_names;
                }
                return error;
            },
        .list =
            [this](const std::string& path, std::vector<std::string>& names) {
                for (const auto& item : m_names) {
                    names.push_back(item.first.substr(path.size() + 1));
                }
                return 0;
            },
    };
}

void MemoryFiles::injectAfter(std::size_t operations, Injection injection)
{
    m_operationsLeft = operations;
    m_injection = injection;
}

int MemoryFiles::enter()
{
    if (m_isCrashed) {
        throw SimulatedCrash {};
    }
    if (m_injection == Injection::None || m_operationsLeft-- > 0) {
        return 0;
    }
    switch (std::exchange(m_injection, Injection::None)) {
    case Injection::Crash:
        m_isCrashed = true;
        throw SimulatedCrash {};
    case Injection::DiskFull:
        return -ENOSPC;
    default:
        return -EIO;
    }
}

int MemoryFiles::open(const std::string& path, OpenMode mode)
{
    if (m_isCrashed) {
        throw SimulatedCrash {};
    }
    auto found = m_names.find(path);
    if (found == m_names.end()) {
        if (mode == OpenMode::Read || mode == OpenMode::Append) {
            return -ENOENT;
        }
        if (const int error = enter(); error != 0) {
            return error;
        }
        found = m_names.emplace(path, std::make_shared<Inode>()).first;
    }
    if (mode == OpenMode::Create) {
        found->second->resize(0);
    }
    m_open.emplace(m_nextFile, std::make_unique<OpenFile>(found->second));
    return m_nextFile++;
}

std::int64_t MemoryFiles::write(int file, const char* data, std::size_t size)
{
    Inode& inode = *m_open.at(file)->inode;
    const std::size_t written = std::min(size, maxWriteBytes);
    try {
        const int error = enter();
        if (error != 0) {
            // A failed write may have written a part.
            inode.content.append(data, below(written + 1));
            return error;
        }
    } catch (const SimulatedCrash&) {
        inode.content.append(data, below(written + 1));
        throw;
    }
    inode.content.append(data, written);
    return static_cast<std::int64_t>(written);
}

std::int64_t MemoryFiles::read(int file, char* data, std::size_t size, std::uint64_t offset)
{
    const std::string& content = m_open.at(file)->inode->content;
    if (offset >= content.size()) {
        return 0;
    }
    const std::size_t count = std::min(size, content.size() - offset);
    content.copy(data, count, offset);
    return static_cast<std::int64_t>(count);
}

int MemoryFiles::sync(Inode& inode)
{
    const bool losesPages = m_injection == Injection::LostPages;
    const int error = enter();
    ++m_syncs;
    if (error != 0 && losesPages) {
        inode.loseUnsynced();
    } else if (error == 0 && !ignoresSync) {
        inode.sync();
    }
    return error;
}

int MemoryFiles::lock(int file)
{
    OpenFile& opened = *m_open.at(file);
    if (opened.inode->isLocked) {
        return -EWOULDBLOCK;
    }
    opened.inode->isLocked = opened.ownsLock = true;
    return 0;
}

int MemoryFiles::rename(const std::string& from, const std::string& to)
{
    if (const int error = enter(); error != 0) {
        return error;
    }
    m_names[to] = m_names.at(from);
    m_names.erase(from);
    return 0;
}

int MemoryFiles::remove(const std::string& path)
{
    if (const int error = enter(); error != 0) {
        return error;
    }
    return m_names.erase(path) == 1 ? 0 : -ENOENT;
}

/// What a crash leaves of a file: the durable part, then a part of what was written after it, in which some sectors
/// were never written.
std::string MemoryFiles::survivor(const Inode& inode)
{
    if (!inode.content.starts_with(inode.durable)) {
        return below(2) == 0 ? inode.durable : inode.content;
    }
    const std::size_t durable = inode.durable.size();
    std::string content = inode.content.substr(0, durable + below(inode.content.size() - durable + 1));
    for (std::size_t begin = durable; begin < content.size(); begin = (begin / sectorBytes + 1) * sectorBytes) {
        const std::size_t end = std::min(content.size(), (begin / sectorBytes + 1) * sectorBytes);
        if (below(4) == 0) {
            std::fill_n(content.begin() + static_cast<std::ptrdiff_t>(begin), end - begin, '\0');
        }
    }
    return content;
}

void MemoryFiles::endProcess()
{
    m_open.clear();
    m_isCrashed = false;
    m_injection = Injection::None;
}

void MemoryFiles::crash()
{
    endProcess();
    // A change of a name that wasn't synced may have become durable alone.
    std::set<std::string> names;
    std::ranges::for_each(m_names, [&names](const auto& item) { names.insert(item.first); });
    std::ranges::for_each(m_durableNames, [&names](const auto& item) { names.insert(item.first); });
    Names survived;
    for (const std::string& name : names) {
        const Names& source = below(2) == 0 ? m_names : m_durableNames;
        if (const auto found = source.find(name); found != source.end()) {
            survived.insert(*found);
        }
    }
    m_names = m_durableNames = survived;
    std::set<std::shared_ptr<Inode>> inodes;
    std::ranges::for_each(m_names, [&inodes](const auto& item) { inodes.insert(item.second); });
    for (const std::shared_ptr<Inode>& inode : inodes) {
        inode->content = inode->durable = survivor(*inode);
        inode->lostBegin = inode->lostEnd = 0;
    }
}

std::set<std::string> MemoryFiles::paths() const
{
    std::set<std::string> paths;
    std::ranges::for_each(m_names, [&paths](const auto& item) { paths.insert(item.first); });
    return paths;
}

} // namespace crocuscove::storage
