#pragma once

#include "crocuscove/consensus/entry.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuscove::consensus {

/// Largest encoded message, in bytes.
inline constexpr std::size_t maxMessageBytes = std::size_t { 4 } * 1024 * 1024;

/// Largest number of entries in a message.
inline constexpr std::size_t maxMessageEntries = 4096;

/// Asks for a vote in `electionTerm`. A pre-vote only asks whether a vote would be granted.
struct VoteRequest {
    bool preVote = false;
    Term electionTerm = 0;
    Index lastIndex = 0;
    Term lastTerm = 0;

    bool operator==(const VoteRequest&) const = default;
};

struct VoteAnswer {
    bool preVote = false;
    Term electionTerm = 0;
    bool granted = false;

    bool operator==(const VoteAnswer&) const = default;
};

/// Entries that follow `previousIndex`; without entries it is a heartbeat. The receiver echoes the heartbeat `round`.
struct AppendRequest {
    Index previousIndex = 0;
    Term previousTerm = 0;
    Index commit = 0;
    std::uint64_t round = 0;
    std::vector<Entry> entries;

    bool operator==(const AppendRequest&) const = default;
};

/// `index` is the last matching index when accepted, otherwise the highest index that may match.
struct AppendAnswer {
    bool accepted = false;
    Index previousIndex = 0;
    Index index = 0;
    std::uint64_t round = 0;

    bool operator==(const AppendAnswer&) const = default;
};

/// One chunk of a snapshot. A chunk without data asks how much of the snapshot the receiver already has.
struct SnapshotChunk {
    SnapshotMeta meta;
    std::uint64_t offset = 0;
    std::uint64_t sequence = 0;
    std::uint64_t round = 0;
    std::string data;

    bool operator==(const SnapshotChunk&) const = default;
};

/// `nextOffset` is the offset of the chunk expected next. `installed` is set when the receiver no longer needs the
/// snapshot.
struct SnapshotAnswer {
    Index snapshotIndex = 0;
    std::uint64_t nextOffset = 0;
    std::uint64_t sequence = 0;
    std::uint64_t round = 0;
    bool installed = false;

    bool operator==(const SnapshotAnswer&) const = default;
};

/// Asks the leader for an index that a linearizable read must wait for.
struct ReadRequest {
    std::uint64_t context = 0;

    bool operator==(const ReadRequest&) const = default;
};

struct ReadAnswer {
    std::uint64_t context = 0;
    bool confirmed = false;
    Index index = 0;

    bool operator==(const ReadAnswer&) const = default;
};

using MessageBody = std::variant<VoteRequest, VoteAnswer, AppendRequest, AppendAnswer, SnapshotChunk, SnapshotAnswer,
    ReadRequest, ReadAnswer>;

/// A message between two nodes. `term` is the sender's current term.
struct Message {
    base::NodeId from;
    base::NodeId to;
    Term term = 0;
    MessageBody body;

    bool operator==(const Message&) const = default;
};

std::string encodeMessage(const Message& message);

/// Throws base::Error when `bytes` isn't a valid message.
Message decodeMessage(std::string_view bytes);

} // namespace crocuscove::consensus
