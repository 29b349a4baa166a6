#pragma once

#include "crocuscove/base/id.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::consensus {

using Index = std::uint64_t;
using Term = std::uint64_t;

/// Largest data of one entry, in bytes.
inline constexpr std::size_t maxEntryBytes = std::size_t { 1024 } * 1024;

/// Largest number of voters and learners together.
inline constexpr std::size_t maxMembers = 64;

/// Largest index and term that are accepted from a peer or a file, so that additions can't overflow.
inline constexpr std::uint64_t maxIndex = std::uint64_t { 1 } << 62;

enum class EntryKind : std::uint8_t {
    Normal,
    Membership,
    NoOp,
};

/// One entry of the replicated log. `data` is opaque, except for a membership entry.
struct Entry {
    Index index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Normal;
    std::string data;

    bool operator==(const Entry&) const = default;
};

/// State that must be durable before any message of the same Ready is sent. An empty `votedFor` means no vote.
struct HardState {
    Term term = 0;
    base::NodeId votedFor;

    bool operator==(const HardState&) const = default;
};

/// The voting members and the non-voting learners of the cluster. Both lists are sorted and disjoint.
struct Membership {
    std::vector<base::NodeId> voters;
    std::vector<base::NodeId> learners;

    [[nodiscard]] bool isVoter(const base::NodeId& node) const;
    [[nodiscard]] bool isLearner(const base::NodeId& node) const;

    bool operator==(const Membership&) const = default;
};

/// Identifies a snapshot. `size` and `checksum` describe its encoded bytes.
struct SnapshotMeta {
    Index index = 0;
    Term term = 0;
    Membership membership;
    std::uint64_t size = 0;
    std::uint64_t checksum = 0;

    bool operator==(const SnapshotMeta&) const = default;
};

/// Durable state that a node starts from; empty for a node without a data folder.
struct Restored {
    HardState hardState;
    /// Index 0 when there is no snapshot.
    SnapshotMeta snapshot;
    /// The entries after the snapshot, without gaps.
    std::vector<Entry> entries;
};

std::string encodeMembership(const Membership& membership);

/// Throws base::Error when `data` isn't a valid membership.
Membership decodeMembership(std::string_view data);

/// Returns the initial state of a new cluster: one membership entry, which every initial voter must persist first.
/// A node that joins an existing cluster starts from an empty `Restored` instead.
Restored bootstrap(Membership membership);

} // namespace crocuscove::consensus
