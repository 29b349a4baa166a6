#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/consensus/entry.h"

#include <deque>

namespace crocuscove::consensus {

enum class ProgressState : std::uint8_t {
    /// The matching index isn't known: one message at a time.
    Probe,
    /// Batches are sent without waiting for answers, up to a bound.
    Replicate,
    /// The follower needs entries that were compacted: one snapshot chunk at a time.
    Snapshot,
};

/// What the leader knows about one other node.
struct Progress {
    Index match = 0;
    Index next = 1;
    ProgressState state = ProgressState::Probe;
    /// A probe or a snapshot chunk was sent and not answered since.
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
