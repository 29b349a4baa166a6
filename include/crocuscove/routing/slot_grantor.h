#pragma once

#include "crocuscove/routing/backend_view.h"
#include "crocuscove/routing/slot_lease.h"
#include "crocuscove/routing/slot_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocuscove::routing {

/// Leases out the slots of the backend servers whose grantor this entry node is. Keeps an upper bound of what each
/// holder may have in flight, and never lets the bounds of a backend server add up to more than its slots. Pure: the
/// caller gives the time, hands in demands and reports, and sends the grants every SlotOptions::batchInterval.
class SlotGrantor {
public:
    /// `incarnation` is higher than that of any earlier process of the node.
    SlotGrantor(base::NodeId self, std::uint64_t incarnation, SlotOptions options = {});

    /// Starts an epoch anew: what earlier grantors may have given is unknown.
    void updateEpoch(base::MonotonicTime now, const EntryEpoch& epoch);
    /// The replicated log confirmed at `confirmedAt` that the epoch is the latest. Without this nothing is granted.
    void confirmEpoch(std::uint64_t epoch, base::MonotonicTime confirmedAt);
    /// Replaces the backend servers, of all services.
    void updateExecutors(base::MonotonicTime now, const std::vector<BackendView>& views);
    /// Takes a backend server's own count of requests in flight. `madeNotBefore` is a moment at which the report was
    /// certainly not made yet, such as the answer to the announcement before it.
    void report(const base::BackendId& backend, std::uint64_t incarnation, std::uint32_t inFlight,
        base::MonotonicTime madeNotBefore);
    void receive(base::MonotonicTime now, const SlotDemand& demand);
    /// The answers to the demands since the last call.
    std::vector<SlotGrant> takeGrants(base::MonotonicTime now);

private:
    struct Unapplied {
        std::uint64_t sequence = 0;
        std::uint32_t allotment = 0;
    };
    /// A holder at one backend server.
    struct Share {
        bool isReported = false;
        std::uint32_t demand = 0;
        std::uint32_t bound = 0;
        std::uint32_t floor = 0;
        std::uint32_t allotment = 0;
        /// The first grant that has to carry the allotment.
        std::uint64_t changedAt = 0;
        /// Grants that the holder may still apply.
        std::vector<Unapplied> unapplied;
    };
    struct Executor {
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        /// Upper bound of requests in flight that no share accounts for.
        std::uint32_t orphans = 0;
        /// Only a report made after this moment lowers `orphans`.
        base::MonotonicTime orphansSince;
        std::map<base::NodeId, Share> shares;
    };
    struct Holder {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t applied = 0;
        std::uint64_t granted = 0;
        bool isDue = false;
        base::MonotonicTime heardAt;
        /// After this moment the holder starts nothing on leased slots, unless it gets another grant.
        base::MonotonicTime leaseEnd;
    };

    [[nodiscard]] base::Milliseconds earlierAuthority() const;
    Executor freshExecutor(const base::BackendId& backend, const BackendView& view) const;
    void restartHolder(base::MonotonicTime now, const base::NodeId& node, Holder& holder, std::uint64_t incarnation);
    static void noteApplied(Share& share, const Holder& holder);
    static std::uint32_t upperBound(const Share& share, std::uint32_t base);
    void allot(base::MonotonicTime now, const base::BackendId& backend, Executor& executor);
    [[nodiscard]] std::map<base::NodeId, std::uint32_t> targets(
        base::MonotonicTime now, const base::BackendId& backend, const Executor& executor) const;
    void fill(SlotGrant& grant, const Holder& holder);

    base::NodeId m_self;
    std::uint64_t m_incarnation;
    SlotOptions m_options;
    EntryEpoch m_epoch;
    base::MonotonicTime m_epochSince;
    std::optional<base::MonotonicTime> m_confirmedAt;
    std::map<base::BackendId, Executor> m_executors;
    std::map<base::NodeId, Holder> m_holders;
    /// When executors were dropped, for as long as leases on them may run.
    std::map<base::BackendId, base::MonotonicTime> m_dropped;
};

} // namespace crocuscove::routing
