#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/consensus/entry.h"

#include <deque>

namespace crocuscove::consensus {

enum class ProgressState : std::uint8_t {
    /// The last index that matches the leader's log isn't known; one message is sent at a time.
    Probe,
    /// Batches are sent without waiting for answers, up to RaftOptions::maxBatchesInFlight.
    Replicate,
    /// The follower needs compacted entries; one snapshot chunk is sent at a time.
    Snapshot,
};

/// The leader's view of the replication to one other node.
struct Progress {
    Index match = 0;
    Index next = 1;
    ProgressState state = ProgressState::Probe;
    /// The last probe or snapshot chunk has not been answered yet.
    bool awaitsAnswer = false;
    bool heartbeatDue = true;
    /// Last indexes of the batches in flight.
    std::deque<Index> inFlight;
    Index sentCommit = 0;
    std::uint64_t answeredRound = 0;
    base::MonotonicTime lastContact;
    SnapshotMeta snapshot;
    std::uint64_t snapshotOffset = 0;
    bool isOffsetKnown = false;
    /// Sequence of the last chunk with data. Answers to earlier chunks are out of date.
    std::uint64_t snapshotSequence = 0;

    void becomeProbe(Index nextIndex)
    {
        state = ProgressState::Probe;
        next = nextIndex;
        awaitsAnswer = false;
        inFlight.clear();
    }

    void becomeReplicate()
    {
        state = ProgressState::Replicate;
        next = match + 1;
        awaitsAnswer = false;
        inFlight.clear();
    }

    void becomeSnapshot(const SnapshotMeta& meta)
    {
        state = ProgressState::Snapshot;
        awaitsAnswer = false;
        inFlight.clear();
        snapshot = meta;
        snapshotOffset = 0;
        isOffsetKnown = false;
        snapshotSequence = 0;
    }
};

} // namespace crocuscove::consensus
