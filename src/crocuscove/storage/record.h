#pragma once

#include "crocuscove/consensus/entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace crocuscove::storage {

/// First record of a segment. It repeats the hard state, so that older segments can be removed.
struct SegmentHeader {
    consensus::Index firstIndex = 1;
    consensus::Term previousTerm = 0;
    consensus::HardState hardState;

    bool operator==(const SegmentHeader&) const = default;
};

/// The log was emptied and goes on after `index`.
struct LogReset {
    consensus::Index index = 0;
    consensus::Term term = 0;

    bool operator==(const LogReset&) const = default;
};

/// The only record of the file FORMAT.
struct FormatRecord {
    std::uint64_t version = 0;
    std::uint64_t folderId = 0;

    bool operator==(const FormatRecord&) const = default;
};

/// First record of a snapshot file; the bytes of the snapshot follow it.
struct SnapshotHeader {
    consensus::SnapshotMeta meta;

    bool operator==(const SnapshotHeader&) const = default;
};

using RecordBody
    = std::variant<SegmentHeader, consensus::Entry, consensus::HardState, LogReset, FormatRecord, SnapshotHeader>;

/// A record in a file: length of the payload (u32), xxh3-64 checksum of the payload, payload. All numbers are little
/// endian. The payload is the kind (u8), `durableBytes` (u64) and the fields of the body.
struct Record {
    /// How much of the file was synced when the record was written. A damaged record below the `durableBytes` of a
    /// later one can't be the torn end of the last write.
    std::uint64_t durableBytes = 0;
    RecordBody body;

    bool operator==(const Record&) const = default;
};

inline constexpr std::size_t recordHeaderBytes = 12;
/// Largest payload: an entry and its fields, or a snapshot header with its membership.
inline constexpr std::size_t maxPayloadBytes = consensus::maxEntryBytes + 1024;

void appendRecord(std::string& buffer, std::uint64_t durableBytes, const RecordBody& body);

/// What stands at an offset: a record, or nothing when the bytes are no whole record.
struct ReadRecord {
    std::optional<Record> record;
    /// Bytes of the record with its header. For a damaged record, what its length field states.
    std::size_t size = 0;
};

/// Reads the record at `offset`. Never throws for damaged bytes.
ReadRecord readRecord(std::string_view bytes, std::size_t offset);

std::uint64_t checksumOf(std::string_view bytes);

} // namespace crocuscove::storage
