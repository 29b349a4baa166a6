#pragma once

#include "crocuscove/routing/backend_view.h"
#include "crocuscove/routing/slot_lease.h"
#include "crocuscove/routing/slot_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocuscove::routing {

/// Leases out the slots of the backend servers for which this entry node is the grantor. It keeps an upper bound on the
/// requests that each holder may have in flight; the sum of the bounds at a backend server never exceeds its slots. It
/// does no I/O and reads no clock: the caller passes the time, demands and reports, and sends the grants every
/// SlotOptions::batchInterval.
class SlotGrantor {
public:
    /// `incarnation` is higher than that of any earlier process of the node.
    SlotGrantor(base::NodeId self, std::uint64_t incarnation, SlotOptions options = {});

    /// Switches to a newer epoch and discards all state, because the grants of earlier grantors are unknown.
    void updateEpoch(base::MonotonicTime now, const EntryEpoch& epoch);
    /// Records that the replicated log confirmed at `confirmedAt` that the epoch is the latest. Grants are issued only
    /// within SlotOptions::authority of a confirmation.
    void confirmEpoch(std::uint64_t epoch, base::MonotonicTime confirmedAt);
    /// Replaces the set of backend servers of all services.
    void updateBackendViews(base::MonotonicTime now, const std::vector<BackendView>& views);
    /// Applies a backend server's own count of requests in flight. `madeNotBefore` is a lower bound on the time at
    /// which the report was made, such as the time of the answer to the previous announcement.
    void report(const base::BackendId& backend, std::uint64_t incarnation, std::uint32_t inFlight,
        base::MonotonicTime madeNotBefore);
    void receive(base::MonotonicTime now, const SlotDemand& demand);
    /// Returns the answers to the demands received since the last call.
    std::vector<SlotGrant> takeGrants(base::MonotonicTime now);

private:
    struct UnappliedGrant {
        std::uint64_t sequence = 0;
        std::uint32_t allotment = 0;
    };
    /// State of one holder at one backend server.
    struct Share {
        bool isReported = false;
        std::uint32_t demand = 0;
        std::uint32_t inFlightBound = 0;
        std::uint32_t reservedSlots = 0;
        std::uint32_t allotment = 0;
        /// Sequence of the first grant that must contain the current allotment.
        std::uint64_t changedAt = 0;
        /// Grants that were sent and that the holder may still apply.
        std::vector<UnappliedGrant> unapplied;
    };
    struct BackendRecord {
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        /// Upper bound on the requests in flight that belong to no share, such as those started under earlier grantors.
        std::uint32_t unattributed = 0;
        /// Only a report made after this moment lowers `unattributed`.
        base::MonotonicTime unattributedSince;
        std::map<base::NodeId, Share> shares;
    };
    struct Holder {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t lastApplied = 0;
        std::uint64_t lastGrant = 0;
        bool needsGrant = false;
        base::MonotonicTime lastDemandAt;
        /// Without another grant, the holder starts no requests in leased slots after this moment.
        base::MonotonicTime leaseEnd;
    };

    [[nodiscard]] base::Milliseconds previousAuthority() const;
    BackendRecord makeBackendRecord(const base::BackendId& backend, const BackendView& view) const;
    void restartHolder(base::MonotonicTime now, const base::NodeId& node, Holder& holder, std::uint64_t incarnation);
    static void dropAppliedGrants(Share& share, const Holder& holder);
    static std::uint32_t upperBoundOf(const Share& share, std::uint32_t base);
    void updateAllotments(base::MonotonicTime now, const base::BackendId& backend, BackendRecord& record);
    /// Returns the slots that the shares of the epoch's nodes may use.
    [[nodiscard]] std::int64_t freeSlots(const BackendRecord& record) const;
    [[nodiscard]] std::map<base::NodeId, std::uint32_t> targetAllotments(
        base::MonotonicTime now, const base::BackendId& backend, const BackendRecord& record) const;
    void addEntries(SlotGrant& grant, const Holder& holder);

    base::NodeId m_self;
    std::uint64_t m_incarnation;
    SlotOptions m_options;
    EntryEpoch m_epoch;
    base::MonotonicTime m_epochSince;
    std::optional<base::MonotonicTime> m_confirmedAt;
    std::map<base::BackendId, BackendRecord> m_backends;
    std::map<base::NodeId, Holder> m_holders;
    /// Times at which backend servers were dropped, kept for as long as leases on them may be valid.
    std::map<base::BackendId, base::MonotonicTime> m_droppedAt;
};

} // namespace crocuscove::routing
