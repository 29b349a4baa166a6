#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/consensus/entry.h"

#include <functional>
#include <string>

namespace crocuscove::consensus {

/// Reads up to `maxBytes` of the snapshot at `index` from `offset`. Returns nothing when it is no longer available.
using SnapshotReader = std::function<std::string(Index index, std::uint64_t offset, std::size_t maxBytes)>;

/// Faults that tests inject to prove that the safety checks detect them. Never set outside tests.
enum class Fault : std::uint8_t {
    None,
    CommitsEarlierTerms,
    VotesTwice,
    IgnoresLogOfCandidate,
    SkipsPreviousTermCheck,
    CommitsBeforeQuorum,
    AnswersReadsWithoutQuorum,
    ChangesManyVotersAtOnce,
    SkipsPreVote,
};

struct RaftOptions {
    base::NodeId self {};
    base::Milliseconds heartbeatInterval { 100 };
    /// Learners don't start elections, so they need fewer heartbeats. Must stay below electionTimeoutMax.
    base::Milliseconds learnerHeartbeatInterval { 500 };
    base::Milliseconds electionTimeoutMin { 500 };
    base::Milliseconds electionTimeoutMax { 1000 };
    /// Limits of one AppendRequest.
    std::size_t maxBatchBytes = std::size_t { 256 } * 1024;
    std::size_t maxBatchEntries = 1024;
    /// Largest number of unanswered AppendRequests with entries to one follower.
    std::size_t maxBatchesInFlight = 16;
    /// Limits of the uncommitted entries in the log of the leader.
    std::size_t maxUncommittedBytes = std::size_t { 32 } * 1024 * 1024;
    std::size_t maxUncommittedEntries = 65536;
    /// Largest number of committed entries in one Ready.
    std::size_t maxCommittedEntries = 4096;
    std::size_t maxPendingReads = 4096;
    std::size_t snapshotChunkBytes = std::size_t { 256 } * 1024;
    std::size_t maxSnapshotBytes = std::size_t { 512 } * 1024 * 1024;
    /// Entries a learner may lag behind the leader's commit index and still become a voter that enlarges the quorum.
    std::size_t maxPromotionLag = 1024;
    SnapshotReader readSnapshot = nullptr;
    Fault fault = Fault::None;
};

} // namespace crocuscove::consensus
