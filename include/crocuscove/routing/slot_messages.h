#pragma once

#include "crocuscove/base/codec.h"
#include "crocuscove/base/id.h"

#include <cstdint>
#include <vector>

namespace crocuscove::routing {

/// What an entry node wants and may use at one executor.
struct SlotDemandEntry {
    base::BackendId backend;
    std::uint64_t incarnation = 0;
    /// Slots the holder could use now.
    std::uint32_t demand = 0;
    /// No more than this many requests of the holder are or will be in flight under the grants it has applied.
    std::uint32_t bound = 0;
    /// The part of its base share that the holder does not lend.
    std::uint32_t floor = 0;

    bool operator==(const SlotDemandEntry&) const = default;
    MSGPACK_DEFINE(backend, incarnation, demand, bound, floor)
};

/// Batch from an entry node to a grantor. Entries that the grantor has acknowledged and that did not change are left
/// out.
struct SlotDemand {
    std::uint64_t epoch = 0;
    base::NodeId holder;
    std::uint64_t holderIncarnation = 0;
    base::NodeId grantor;
    /// The grantor process whose grants the holder takes; 0 before it has heard from it.
    std::uint64_t grantorIncarnation = 0;
    std::uint64_t sequence = 0;
    /// The latest grant that the holder has applied. It ignores every earlier one that may still arrive.
    std::uint64_t appliedGrant = 0;
    std::vector<SlotDemandEntry> entries;

    bool operator==(const SlotDemand&) const = default;
    MSGPACK_DEFINE(epoch, holder, holderIncarnation, grantor, grantorIncarnation, sequence, appliedGrant, entries)
};

struct SlotGrantEntry {
    base::BackendId backend;
    std::uint64_t incarnation = 0;
    /// Slots the holder may use until the lease ends.
    std::uint32_t allotment = 0;
    /// Slots of the allotment that it may use beyond that.
    std::uint32_t base = 0;

    bool operator==(const SlotGrantEntry&) const = default;
    MSGPACK_DEFINE(backend, incarnation, allotment, base)
};

/// Batch from a grantor to an entry node. It renews every lease that the grantor process gave in this epoch.
struct SlotGrant {
    std::uint64_t epoch = 0;
    base::NodeId grantor;
    std::uint64_t grantorIncarnation = 0;
    base::NodeId holder;
    std::uint64_t holderIncarnation = 0;
    std::uint64_t sequence = 0;
    /// The demand that this answers. The lease counts from the moment the holder sent it.
    std::uint64_t answeredDemand = 0;
    std::vector<SlotGrantEntry> entries;

    bool operator==(const SlotGrant&) const = default;
    MSGPACK_DEFINE(epoch, grantor, grantorIncarnation, holder, holderIncarnation, sequence, answeredDemand, entries)
};

} // namespace crocuscove::routing
