#pragma once

#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace crocuscove::routing {

/// The membership of the entry nodes as committed in the replicated log.
struct EntryEpoch {
    std::uint64_t number = 0;
    std::vector<base::NodeId> nodes;
    /// Divisor of the base share, floor(slots / shareNodes). It is at least the number of entry nodes and equal in
    /// every epoch, so that a node with an outdated epoch uses no larger share than the other nodes reserve for it.
    std::uint32_t shareNodes = 1;
    /// True if there was no earlier epoch, and so no earlier grantor that may still grant slots.
    bool isFirst = false;
    /// Incarnation of the process that a node had when it first became an entry node; 0 if it is unknown.
    std::map<base::NodeId, std::uint64_t> firstProcesses {};

    bool operator==(const EntryEpoch&) const = default;
};

struct SlotOptions {
    base::Milliseconds lease { 1000 };
    base::Milliseconds batchInterval { 50 };
    /// Time for which a grantor may issue grants after the replicated log last confirmed its epoch.
    base::Milliseconds authority { 2000 };
    /// Allowance for the drift between the monotonic clocks of two nodes over one lease.
    base::Milliseconds clockMargin { 50 };
    /// Longest time between the decision to start a request and the arrival of its first byte at the backend server.
    /// The caller closes a connection on which sending the request would take longer.
    base::Milliseconds startMargin { 500 };
    /// Period over which a holder tracks its peak demand. It lends the base slots beyond the peak of the current and
    /// the previous period.
    base::Milliseconds demandWindow { 500 };
};

/// Returns the entry node that leases out the slots of a backend server, chosen by rendezvous hashing. The id is empty
/// if the epoch has no nodes.
base::NodeId grantorOf(const EntryEpoch& epoch, const base::BackendId& backend);

/// Returns the number of queued requests for which an entry node requests slots at the backend server at `position`.
/// The parts add up to `queued`; a larger demand would take slots from nodes that need them.
std::uint32_t queuedShare(std::size_t queued, std::size_t executors, std::size_t position);

/// Returns the slots of a backend server that are reserved for each entry node. They need no lease.
std::uint32_t baseShare(const EntryEpoch& epoch, std::uint32_t slots);

/// Returns the slots of a backend server that are reserved for nodes that are not in the epoch. Such a node may be
/// partitioned and use its base share.
std::uint32_t absentShares(const EntryEpoch& epoch, std::uint32_t slots);

/// Returns whether the process is the first that its node had as an entry node. Then no grantor of any epoch has lent
/// the base share that the node has at a backend server which the process has not reported to a grantor.
bool isFirstProcess(const EntryEpoch& epoch, const base::NodeId& node, std::uint64_t incarnation);

} // namespace crocuscove::routing
