#pragma once

#include "crocuscove/routing/backend_view.h"
#include "crocuscove/routing/slot_lease.h"
#include "crocuscove/routing/slot_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace crocuscove::routing {

/// The slots that one entry node may use, as its grantors allot them. Pure: the caller gives the time, sends the
/// demands every SlotOptions::batchInterval and hands in the grants, its own node's included.
///
/// A demand promises what the node will not exceed. So the caller puts limits() in force after every change, and
/// observes every backend server right before takeDemands, without starting a request in between.
class SlotHolder {
public:
    /// `incarnation` is higher than that of any earlier process of the node.
    SlotHolder(base::NodeId self, std::uint64_t incarnation, SlotOptions options = {});

    void updateEpoch(const EntryEpoch& epoch);
    /// Replaces the backend servers of a service. A new incarnation starts without slots.
    void updateExecutors(const base::ServiceId& service, const std::vector<BackendView>& views);
    /// Takes the use of a backend server: requests in flight there, and slots that could be used now.
    void observe(base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlight, std::uint32_t demand);
    void receive(base::MonotonicTime now, const SlotGrant& grant);
    /// The batch for each grantor.
    std::vector<SlotDemand> takeDemands(base::MonotonicTime now);
    [[nodiscard]] std::vector<SlotLimit> limits(const base::ServiceId& service) const;

private:
    /// The grantor process that gave an allotment.
    using Term = std::pair<std::uint64_t, std::uint64_t>;

    struct Executor {
        base::ServiceId service;
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        std::uint32_t allotment = 0;
        std::uint32_t base = 0;
        base::MonotonicTime deadline;
        Term term;
        std::uint32_t inFlight = 0;
        std::uint32_t demand = 0;
        /// The part of the base share that is not lent.
        std::uint32_t floor = 0;
        SlotDemandEntry reported;
        std::uint64_t changedAt = 0;
    };
    struct Service {
        /// Highest demand of this and the previous period of SlotOptions::lendAfter.
        std::uint32_t peak = 0;
        std::uint32_t previousPeak = 0;
        base::MonotonicTime peakSince;
        /// In the order in which this node keeps its base shares; it never lends the first one.
        std::vector<base::BackendId> order;
    };
    struct Link {
        std::uint64_t grantorIncarnation = 0;
        std::uint64_t applied = 0;
        std::uint64_t acknowledged = 0;
        std::deque<std::pair<std::uint64_t, base::MonotonicTime>> sent;
    };

    static SlotDemandEntry entryOf(base::MonotonicTime now, const base::BackendId& backend, Executor& executor);
    void setFloors(Service& service);
    void apply(const SlotGrant& grant, const SlotGrantEntry& entry);

    base::NodeId m_self;
    std::uint64_t m_incarnation;
    SlotOptions m_options;
    EntryEpoch m_epoch;
    std::map<base::BackendId, Executor> m_executors;
    std::map<base::ServiceId, Service> m_services;
    std::map<base::NodeId, Link> m_links;
    std::uint64_t m_sequence = 0;
};

} // namespace crocuscove::routing
