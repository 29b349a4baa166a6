#pragma once

#include "crocuscove/storage/data_folder.h"
#include "crocuscove/storage/record.h"

#include <string>
#include <vector>

namespace crocuscove::storage {

std::string segmentName(consensus::Index firstIndex);

/// The first index in the name of a segment, or nothing for other files.
std::optional<consensus::Index> parseSegmentName(std::string_view name);

/// The log while it is read from segments, oldest first.
struct LogImage {
    /// The entry before the first one.
    consensus::Index previousIndex = 0;
    consensus::Term previousTerm = 0;
    std::vector<consensus::Entry> entries;
    consensus::HardState hardState;
    bool hasSegment = false;

    [[nodiscard]] consensus::Index lastIndex() const { return previousIndex + entries.size(); }
    [[nodiscard]] consensus::Term lastTerm() const { return entries.empty() ? previousTerm : entries.back().term; }
    [[nodiscard]] std::optional<consensus::Term> termAt(consensus::Index index) const;
    /// Drops the entries through `index`.
    void dropThrough(consensus::Index index);
};

/// Adds the records of a segment to `log`. In the last segment a torn end is left out and returned. Throws
/// StorageError for every other damage. `path` is for messages.
std::optional<TornTail> readSegment(
    LogImage& log, std::string_view bytes, const std::string& path, consensus::Index firstIndex, bool isLast);

} // namespace crocuscove::storage
