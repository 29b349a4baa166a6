#include "crocuscove/storage/snapshot_file.h"

#include <fmt/format.h>

#include <charconv>

namespace crocuscove::storage {

namespace {

constexpr std::string_view prefix = "snapshot-";
constexpr std::string_view suffix = ".snap";

std::string encodeHeader(const consensus::SnapshotMeta& meta)
{
    std::string header;
    appendRecord(header, 0, SnapshotHeader { meta });
    return header;
}

} // namespace

std::string snapshotName(consensus::Index index) { return fmt::format("{}{}{}", prefix, index, suffix); }

std::optional<consensus::Index> parseSnapshotName(std::string_view name)
{
    if (!name.starts_with(prefix) || !name.ends_with(suffix) || name.size() <= prefix.size() + suffix.size()) {
        return std::nullopt;
    }
    const std::string_view digits = name.substr(prefix.size(), name.size() - prefix.size() - suffix.size());
    consensus::Index index = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    const bool valid = error == std::errc() && end == digits.data() + digits.size() && index > 0;
    return valid ? std::optional(index) : std::nullopt;
}

SnapshotContent readSnapshotFile(const FileHooks& hooks, const std::string& folder, consensus::Index index)
{
    const File file(hooks, folder + "/" + snapshotName(index), OpenMode::Read);
    std::string bytes = file.read(0, file.size());
    const auto fail = [&file](std::uint64_t offset, std::string_view cause) {
        throw StorageError(StorageFault::Corrupt, file.path(), offset, cause);
    };
    const ReadRecord header = readRecord(bytes, 0);
    if (!header.record || !std::holds_alternative<SnapshotHeader>(header.record->body)) {
        fail(0, "the snapshot has no valid header");
    }
    const consensus::SnapshotMeta& meta = std::get<SnapshotHeader>(header.record->body).meta;
    bytes.erase(0, header.size);
    if (meta.index != index) {
        fail(0, "the index differs from the name of the file");
    }
    if (bytes.size() != meta.size || checksumOf(bytes) != meta.checksum) {
        fail(header.size, "the data of the snapshot is damaged");
    }
    return { meta, std::move(bytes) };
}

std::uint64_t writeSnapshotFile(
    const FileHooks& hooks, const std::string& folder, const consensus::SnapshotMeta& meta, std::string_view data)
{
    const std::string header = encodeHeader(meta);
    writeTemporaryFile(hooks, folder, snapshotName(meta.index), { header, data });
    return header.size();
}

std::uint64_t snapshotDataOffset(const consensus::SnapshotMeta& meta) { return encodeHeader(meta).size(); }

} // namespace crocuscove::storage
