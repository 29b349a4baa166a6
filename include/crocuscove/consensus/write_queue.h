#pragma once

#include "crocuscove/consensus/raft.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace crocuscove::consensus {

/// The hard state and entries of one Ready that must be written to disk.
struct PendingWrite {
    std::optional<HardState> hardState;
    std::vector<Entry> entries;
};

/// Lets a node continue while its disk writes. It delays messages that acknowledge durable state until that state is
/// written, and keeps their order. The requests of a leader are sent at once, so that followers write at the same time
/// as the leader (Ongaro, Consensus: Bridging Theory and Practice, 10.2.1). Snapshots are not queued: the queue must be
/// idle for them.
class WriteQueue {
public:
    /// Queues the hard state, entries and messages of `ready`. Returns the messages that may be sent at once.
    std::vector<Message> add(Ready& ready);

    /// Returns everything queued, to be written with one sync. Empty while a write is in progress.
    std::vector<PendingWrite> start();

    struct Finished {
        /// For Raft::persisted; 0 for none.
        Index durable = 0;
        std::vector<Message> messages;
    };
    /// Ends the write in progress. Every Ready that the core has at this moment must have been added before, so that
    /// entries that were replaced meanwhile don't count as durable.
    Finished finish();

    [[nodiscard]] bool isIdle() const { return m_items.empty(); }

private:
    struct Item {
        PendingWrite write;
        std::vector<Message> messages;
        bool hasHardState = false;
        Index firstIndex = 0;
        Index lastIndex = 0;

        [[nodiscard]] bool needsWrite() const { return hasHardState || lastIndex > 0; }
    };

    std::deque<Item> m_items;
    /// Items at the front that are being written.
    std::size_t m_writing = 0;
};

} // namespace crocuscove::consensus
