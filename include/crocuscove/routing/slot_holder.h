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

/// The slots that one entry node may use at the backend servers, as allotted by their grantors. It does no I/O and
/// reads no clock: the caller passes the time, sends the demands every SlotOptions::batchInterval and passes in the
/// grants, including those of its own node.
///
/// A demand states an upper bound that the node must not exceed. The caller therefore applies limits() after every
/// change, and calls recordUsage for every backend server right before takeDemands, without starting a request in
/// between.
class SlotHolder {
public:
    /// `incarnation` is higher than that of any earlier process of the node.
    SlotHolder(base::NodeId self, std::uint64_t incarnation, SlotOptions options = {});

    void updateEpoch(const EntryEpoch& epoch);
    /// Replaces the backend servers of a service. A new incarnation of a backend server starts with the base share in
    /// the first process of a node, see isFirstProcess(), and with no slots in a later one.
    void updateBackendViews(const base::ServiceId& service, const std::vector<BackendView>& views);
    /// Records the requests in flight at a backend server and the slots that could be used there now.
    void recordUsage(
        base::MonotonicTime now, const base::BackendId& backend, std::uint32_t inFlight, std::uint32_t demand);
    void receive(base::MonotonicTime now, const SlotGrant& grant);
    /// Returns one batch of demands for each grantor.
    std::vector<SlotDemand> takeDemands(base::MonotonicTime now);
    [[nodiscard]] std::vector<SlotLimit> limits(const base::ServiceId& service) const;

private:
    /// Epoch and incarnation of the grantor process that issued an allotment.
    using GrantorTerm = std::pair<std::uint64_t, std::uint64_t>;

    struct BackendRecord {
        base::ServiceId service;
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        std::uint32_t allotment = 0;
        std::uint32_t base = 0;
        base::MonotonicTime deadline;
        GrantorTerm term;
        std::uint32_t inFlight = 0;
        std::uint32_t demand = 0;
        /// Slots of the base share that are kept and not lent.
        std::uint32_t reservedSlots = 0;
        SlotDemandEntry lastReported;
        std::uint64_t changedAt = 0;
    };
    struct Service {
        /// Highest demand of this and the previous period of SlotOptions::demandWindow.
        std::uint32_t peak = 0;
        std::uint32_t previousPeak = 0;
        base::MonotonicTime peakSince;
        /// Backend servers in the order in which this node keeps its base shares. The first share is never lent.
        std::vector<base::BackendId> retentionOrder;
    };
    struct GrantorLink {
        std::uint64_t grantorIncarnation = 0;
        std::uint64_t lastApplied = 0;
        std::uint64_t acknowledged = 0;
        std::deque<std::pair<std::uint64_t, base::MonotonicTime>> sentDemands;
    };

    static SlotDemandEntry makeDemandEntry(
        base::MonotonicTime now, const base::BackendId& backend, BackendRecord& record);
    void reserveSlots(Service& service);
    void keepBaseShare(BackendRecord& record) const;
    void rememberDropped(const base::BackendId& backend, std::uint64_t incarnation);
    void applyEntry(const SlotGrant& grant, const SlotGrantEntry& entry);

    base::NodeId m_self;
    std::uint64_t m_incarnation;
    SlotOptions m_options;
    EntryEpoch m_epoch;
    std::map<base::BackendId, BackendRecord> m_backends;
    std::map<base::ServiceId, Service> m_services;
    std::map<base::NodeId, GrantorLink> m_links;
    /// Incarnations of the backend servers that this holder dropped. Their base shares may have been lent.
    std::map<base::BackendId, std::uint64_t> m_dropped;
    bool m_hasBaseShares = false;
    std::uint64_t m_sequence = 0;
};

} // namespace crocuscove::routing
