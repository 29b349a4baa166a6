#pragma once

#include "crocuscove/consensus/raft.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace crocuscove::consensus {

/// What one Ready makes durable.
struct PendingWrite {
    std::optional<HardState> hardState;
    std::vector<Entry> entries;
};

/// Lets a node go on while its disk writes. It holds back the messages that promise something durable until that is
/// written, in order. The requests of a leader are sent at once, so that followers write at the same time as the leader
/// (Ongaro, Consensus: Bridging Theory and Practice, 10.2.1). Snapshots are not queued: the queue must be idle for
/// them.
class WriteQueue {
public:
    /// Queues what `ready` makes durable and takes its messages. Returns those that may be sent now.
    std::vector<Message> add(Ready& ready);

    /// Hands out everything queued, to be written in one go. Empty while a write is in progress.
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
