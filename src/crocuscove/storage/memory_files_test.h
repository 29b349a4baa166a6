#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/storage/file_hooks.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace crocuscove::storage {

/// Thrown by a file operation in place of the end of the process.
struct SimulatedCrash { };

enum class Injection : std::uint8_t {
    None,
    Crash,
    InputOutputError,
    DiskFull,
    /// As InputOutputError. If the operation is a sync, what it didn't write stays readable, but later syncs leave it
    /// out.
    LostPages,
};

/// Files in memory that know what is durable. After a crash, what wasn't synced is there in part or not at all.
class MemoryFiles {
public:
    explicit MemoryFiles(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// The hooks refer to this object.
    FileHooks hooks();

    /// Makes the operation with this number, counted from now, go wrong.
    void injectAfter(std::size_t operations, Injection injection);
    [[nodiscard]] bool hasInjected() const { return m_injection == Injection::None; }

    /// Loses what isn't durable, and all open files. Then operations work again.
    void crash();
    /// Closes all open files, as the end of a process does. What isn't durable stays visible.
    void endProcess();

    /// Writes are cut to at most this many bytes.
    std::size_t maxWriteBytes = ~std::size_t { 0 };
    /// Deliberate faults of the disk, so that tests can show that a property is able to fail.
    bool ignoresSync = false;
    bool ignoresFolderSync = false;

    [[nodiscard]] std::set<std::string> paths() const;
    std::string& content(const std::string& path) { return m_names.at(path)->content; }
    [[nodiscard]] std::size_t syncs() const { return m_syncs; }

private:
    struct Inode {
        std::string content;
        std::string durable;
        /// Ends of the part of the content that a failed sync has lost; empty when they are equal.
        std::size_t lostBegin = 0;
        std::size_t lostEnd = 0;
        bool isLocked = false;

        void resize(std::size_t size);
        void sync();
        void loseUnsynced();
    };
    using Names = std::map<std::string, std::shared_ptr<Inode>>;
    struct OpenFile {
        std::shared_ptr<Inode> inode;
        bool ownsLock = false;

        explicit OpenFile(std::shared_ptr<Inode> opened)
            : inode(std::move(opened))
        {
        }
        ~OpenFile();
        OpenFile(const OpenFile&) = delete;
        OpenFile& operator=(const OpenFile&) = delete;
    };

    int open(const std::string& path, OpenMode mode);
    std::int64_t write(int file, const char* data, std::size_t size);
    std::int64_t read(int file, char* data, std::size_t size, std::uint64_t offset);
    int lock(int file);
    int rename(const std::string& from, const std::string& to);
    int remove(const std::string& path);
    /// Counts an operation. Returns the error to give, or 0.
    int enter();
    int sync(Inode& inode);
    [[nodiscard]] std::string survivor(const Inode& inode);
    std::size_t below(std::size_t bound) { return m_random() % bound; }

    base::Random m_random;
    Names m_names;
    Names m_durableNames;
    std::map<int, std::unique_ptr<OpenFile>> m_open;
    int m_nextFile = 3;
    std::size_t m_operationsLeft = 0;
    std::size_t m_syncs = 0;
    Injection m_injection = Injection::None;
    bool m_isCrashed = false;
};

} // namespace crocuscove::storage
