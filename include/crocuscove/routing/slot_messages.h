#pragma once

#include "crocuscove/base/codec.h"
#include "crocuscove/base/id.h"

#include <cstdint>
#include <vector>

namespace crocuscove::routing {

/// Demand and current usage bound of an entry node at one backend server.
struct SlotDemandEntry {
    base::BackendId backend;
    std::uint64_t incarnation = 0;
    /// Slots that the holder could use now.
    std::uint32_t demand = 0;
    /// Upper bound on the holder's requests in flight, now and later, under the grants that it has applied.
    std::uint32_t inFlightBound = 0;
    /// Slots of its base share that the holder keeps and does not lend to other nodes.
    std::uint32_t reservedSlots = 0;

    bool operator==(const SlotDemandEntry&) const = default;
    MSGPACK_DEFINE(backend, incarnation, demand, inFlightBound, reservedSlots)
};

/// Batch of demands from an entry node to a grantor. Entries that are unchanged since the grantor acknowledged them are
/// left out, except in a periodic refresh.
struct SlotDemand {
    std::uint64_t epoch = 0;
    base::NodeId holder;
    std::uint64_t holderIncarnation = 0;
    base::NodeId grantor;
    /// The grantor process from which the holder accepts grants; 0 before the first message from it.
    std::uint64_t grantorIncarnation = 0;
    std::uint64_t sequence = 0;
    /// Sequence of the latest grant that the holder has applied. The holder ignores earlier grants that arrive later.
    std::uint64_t appliedGrant = 0;
    std::vector<SlotDemandEntry> entries;

    bool operator==(const SlotDemand&) const = default;
    MSGPACK_DEFINE(epoch, holder, holderIncarnation, grantor, grantorIncarnation, sequence, appliedGrant, entries)
};

struct SlotGrantEntry {
    base::BackendId backend;
    std::uint64_t incarnation = 0;
    /// Slots that the holder may use until the lease ends.
    std::uint32_t allotment = 0;
    /// Slots of the allotment that the holder may still use after the lease has ended.
    std::uint32_t base = 0;

    bool operator==(const SlotGrantEntry&) const = default;
    MSGPACK_DEFINE(backend, incarnation, allotment, base)
};

/// Batch of grants from a grantor to an entry node. It renews every lease that the grantor process issued to the node
/// in this epoch.
struct SlotGrant {
    std::uint64_t epoch = 0;
    base::NodeId grantor;
    std::uint64_t grantorIncarnation = 0;
    base::NodeId holder;
    std::uint64_t holderIncarnation = 0;
    std::uint64_t sequence = 0;
    /// Sequence of the demand that this grant answers. The lease starts at the moment when the holder sent that demand.
    std::uint64_t answeredDemand = 0;
    std::vector<SlotGrantEntry> entries;

    bool operator==(const SlotGrant&) const = default;
    MSGPACK_DEFINE(epoch, grantor, grantorIncarnation, holder, holderIncarnation, sequence, answeredDemand, entries)
};

} // namespace crocuscove::routing
