#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocuscove::routing {

/// The entry nodes of a committed epoch.
struct EntryEpoch {
    std::uint64_t number = 0;
    std::vector<base::NodeId> nodes;
    /// Base shares are floor(slots / shareNodes). At least the number of entry nodes, and the same in every epoch, so
    /// that a node which lags behind keeps no larger share than others reserve for it.
    std::uint32_t shareNodes = 1;
    /// Tells that no epoch came before, so that no earlier grantor can still have authority.
    bool isFirst = false;

    bool operator==(const EntryEpoch&) const = default;
};

struct SlotOptions {
    base::Milliseconds lease { 1000 };
    base::Milliseconds batchInterval { 50 };
    /// A node acts as grantor no longer than this after the replicated log last confirmed its epoch.
    base::Milliseconds authority { 2000 };
    /// Allowance for monotonic clocks that run at different rates, over one lease.
    base::Milliseconds clockMargin { 50 };
    /// Longest time between the decision to start a request and its first byte at the backend server. The caller
    /// closes a connection that takes longer before it sends the request.
    base::Milliseconds startMargin { 500 };
    /// A holder lends what it did not need within this time.
    base::Milliseconds lendAfter { 500 };
};

/// The entry node that leases out the slots of a backend server, by rendezvous hashing. Empty without entry nodes.
base::NodeId grantorOf(const EntryEpoch& epoch, const base::BackendId& backend);

/// The part of the queued requests that an entry node asks slots for at one of its executors, so that the parts add up
/// to the queue. Asking for more at each would take slots from nodes that need them.
std::uint32_t queuedShare(std::size_t queued, std::size_t executors, std::size_t position);

/// Slots of a backend server that every entry node keeps.
std::uint32_t baseShare(const EntryEpoch& epoch, std::uint32_t slots);

} // namespace crocuscove::routing
