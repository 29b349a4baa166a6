#include "crocuscove/storage/data_folder.h"

#include "crocuscove/storage/recovery.h"
#include "crocuscove/storage/wal_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace crocuscove::storage {

namespace {

std::uint64_t randomFolderId()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

} // namespace

class DataFolder::Impl {
public:
    explicit Impl(DataFolderOptions options)
        : m_options(std::move(options))
        , m_lock(lockFolder())
        , m_wal(m_options.files, m_options.path, m_options.segmentBytes)
    {
        FolderListing listing = listDataFolder(files(), path());
        removeTemporary(listing);
        if (!listing.hasFormat) {
            createFiles(listing);
            listing.segments = { 1 };
        }
        m_folderId = readFormat(files(), path()).folderId;
        recover(listing);
    }

    void reopen()
    {
        m_failed = true;
        requireSameFolder();
        const std::uint64_t unsynced = m_wal.unsyncedBytes();
        m_wal.discardUnsynced();
        removeTemporary(listDataFolder(files(), path()));
        requireRoom(m_options.requiredRoomBytes + unsynced);
        const FolderListing listing = listDataFolder(files(), path());
        m_snapshot = {};
        recover(listing);
        m_failed = false;
    }

    Recovered takeRecovered() { return std::exchange(m_recovered, {}); }

    [[nodiscard]] std::uint64_t folderId() const { return m_folderId; }

    void append(const std::optional<consensus::HardState>& hardState, std::span<const consensus::Entry> entries)
    {
        requireUsable();
        m_wal.append(hardState, entries);
    }

    void sync()
    {
        requireUsable();
        guarded([this] { m_wal.flush(); });
    }

    consensus::SnapshotMeta saveSnapshot(consensus::SnapshotMeta meta, std::string_view data)
    {
        requireUsable();
        const std::uint64_t checksum = checksumOf(data);
        const bool differs = (meta.size != 0 && meta.size != data.size())
            || (meta.checksum != 0 && meta.checksum != checksum) || meta.index <= m_snapshot.index;
        if (differs) {
            throw StorageError(StorageFault::Corrupt, path() + "/" + snapshotName(meta.index), 0,
                "the snapshot differs from its stated size or checksum, or isn't newer than the stored one");
        }
        meta.size = data.size();
        meta.checksum = checksum;
        sync();
        // The temporary file is no part of the folder's content, so that the folder stays usable when it can't be
        // written.
        const std::uint64_t dataOffset = writeSnapshotFile(files(), path(), meta, data);
        guarded([&] {
            publishTemporaryFile(files(), path(), snapshotName(meta.index));
            m_snapshotDataOffset = dataOffset;
            const consensus::Index older = std::exchange(m_snapshot, meta).index;
            if (m_wal.termAt(meta.index) != meta.term) {
                m_wal.reset(meta.index, meta.term);
            }
            if (older > 0) {
                removeFile(snapshotName(older));
            }
            m_wal.removeCovered(meta.index);
        });
        return meta;
    }

    [[nodiscard]] std::string readSnapshot(consensus::Index index, std::uint64_t offset, std::size_t maxBytes) const
    {
        if (index != m_snapshot.index || index == 0 || offset >= m_snapshot.size) {
            return {};
        }
        const File file(files(), path() + "/" + snapshotName(index), OpenMode::Read);
        return file.read(m_snapshotDataOffset + offset, std::min<std::uint64_t>(maxBytes, m_snapshot.size - offset));
    }

    [[nodiscard]] std::uint64_t logBytes() const { return m_wal.bytes(); }

    [[nodiscard]] bool hasFailed() const { return m_failed; }

private:
    [[nodiscard]] const FileHooks& files() const { return m_options.files; }
    [[nodiscard]] const std::string& path() const { return m_options.path; }

    File lockFolder()
    {
        checkResult(files().makeFolder(path()), path(), 0, "create folder");
        File lock(files(), path() + "/" + std::string(lockName), OpenMode::Lock);
        lock.lock();
        return lock;
    }

    void removeTemporary(const FolderListing& listing)
    {
        std::ranges::for_each(listing.temporary, [this](const std::string& name) { removeFile(name); });
    }

    /// Throws StorageError when the path leads to another folder than the one that was opened.
    void requireSameFolder()
    {
        const std::string file = path() + "/" + std::string(formatName);
        if (!listDataFolder(files(), path()).hasFormat) {
            throw StorageError(StorageFault::Corrupt, file, 0, "the file is missing");
        }
        if (const std::uint64_t id = readFormat(files(), path()).folderId; id != m_folderId) {
            throw StorageError(StorageFault::Corrupt, file, 0,
                fmt::format("the folder has the id {:016x} instead of {:016x}", id, m_folderId));
        }
    }

    /// Throws StorageError unless the disk takes some more bytes.
    void requireRoom(std::uint64_t bytes)
    {
        const std::string name = "room";
        writeTemporaryFile(files(), path(), name, { std::string(bytes, '\0') });
        removeFile(name + std::string(temporarySuffix));
    }

    /// FORMAT is written last, so that a folder with FORMAT and without a segment has lost its log.
    void createFiles(const FolderListing& listing)
    {
        const bool isInterrupted = listing.segments == std::vector<consensus::Index> { 1 } && holdsOnlyHeader(1);
        if (!listing.snapshots.empty() || (!listing.segments.empty() && !isInterrupted)) {
            throw StorageError(StorageFault::Corrupt, path() + "/" + std::string(formatName), 0, "the file is missing");
        }
        m_wal.create();
        std::string format;
        const std::uint64_t id = m_options.chooseFolderId ? m_options.chooseFolderId() : randomFolderId();
        appendRecord(format, 0, FormatRecord { formatVersion, id });
        writeWholeFile(files(), path(), std::string(formatName), { format });
    }

    [[nodiscard]] bool holdsOnlyHeader(consensus::Index firstIndex) const
    {
        const File file(files(), path() + "/" + segmentName(firstIndex), OpenMode::Read);
        const std::string bytes = file.read(0, file.size());
        return readRecord(bytes, 0).size == bytes.size();
    }

    void recover(const FolderListing& listing)
    {
        FolderContent content = readFolderContent(files(), path(), listing);
        // A process that was killed may have left names that aren't durable.
        checkResult(files().syncFolder(path()), path(), 0, "sync folder");
        m_wal.resume(content, listing);
        const consensus::HardState hardState = content.log.hardState;
        if (content.snapshot) {
            m_snapshot = content.snapshot->meta;
            m_snapshotDataOffset = snapshotDataOffset(m_snapshot);
        }
        finishInterrupted(content, listing);
        m_recovered.isNew = hardState.term == 0 && !content.snapshot && content.log.entries.empty();
        m_recovered.restored = { hardState, m_snapshot, std::move(content.log.entries) };
        m_recovered.snapshotData = content.snapshot ? std::move(content.snapshot->data) : std::string();
        m_recovered.tornTail = std::move(content.tornTail);
    }

    /// Does what a crash during saveSnapshot left undone.
    void finishInterrupted(const FolderContent& content, const FolderListing& listing)
    {
        if (content.needsHardState) {
            m_wal.append(content.log.hardState, {});
        }
        if (content.needsReset) {
            m_wal.reset(m_snapshot.index, m_snapshot.term);
        }
        m_wal.flush();
        for (const consensus::Index index : listing.snapshots) {
            if (index != m_snapshot.index) {
                removeFile(snapshotName(index));
            }
        }
        m_wal.removeCovered(m_snapshot.index);
    }

    void removeFile(const std::string& name)
    {
        const std::string file = path() + "/" + name;
        checkResult(files().remove(file), file, 0, "remove");
    }

    void requireUsable() const
    {
        if (m_failed) {
            throw StorageError(StorageFault::FailedBefore, path(), 0, "an earlier write failed; open the folder again");
        }
    }

    /// Runs a change of the disk. After a failure the content of the disk is unknown, so that later calls are refused.
    template <typename Change> void guarded(Change change)
    {
        m_failed = true;
        change();
        m_failed = false;
    }

    DataFolderOptions m_options;
    File m_lock;
    WalWriter m_wal;
    std::uint64_t m_folderId = 0;
    consensus::SnapshotMeta m_snapshot;
    std::uint64_t m_snapshotDataOffset = 0;
    Recovered m_recovered;
    bool m_failed = false;
};

DataFolder::DataFolder(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

DataFolder::~DataFolder() = default;
DataFolder::DataFolder(DataFolder&&) noexcept = default;
DataFolder& DataFolder::operator=(DataFolder&&) noexcept = default;

DataFolder DataFolder::open(DataFolderOptions options)
{
    return DataFolder(std::make_unique<Impl>(std::move(options)));
}

void DataFolder::reopen() { m_impl->reopen(); }

Recovered DataFolder::takeRecovered() { return m_impl->takeRecovered(); }

std::uint64_t DataFolder::folderId() const { return m_impl->folderId(); }

void DataFolder::append(const std::optional<consensus::HardState>& hardState, std::span<const consensus::Entry> entries)
{
    m_impl->append(hardState, entries);
}

void DataFolder::sync() { m_impl->sync(); }

consensus::SnapshotMeta DataFolder::saveSnapshot(consensus::SnapshotMeta meta, std::string_view data)
{
    return m_impl->saveSnapshot(std::move(meta), data);
}

std::string DataFolder::readSnapshot(consensus::Index index, std::uint64_t offset, std::size_t maxBytes) const
{
    return m_impl->readSnapshot(index, offset, maxBytes);
}

std::uint64_t DataFolder::logBytes() const { return m_impl->logBytes(); }

bool DataFolder::hasFailed() const { return m_impl->hasFailed(); }

} // namespace crocuscove::storage
