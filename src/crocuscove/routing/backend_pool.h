#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/routing/backend_view.h"
#include "crocuscove/routing/dispatcher.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocuscove::routing {

/// One backend server: what is known of it, and what this entry node has in flight there.
struct PooledBackend {
    base::BackendId id;
    /// Stays when the backend server is no longer listed, for the attempts that still run there.
    BackendView view;
    bool isListed = false;
    SlotLimit slots;
    std::uint32_t inFlight = 0;
    /// Moving averages of failed attempts and of run time over expected run time.
    double errorRate = 0.0;
    double slowness = 1.0;
    /// Slots that may be used now, and whether it takes ordinary work.
    std::uint32_t limit = 0;
    bool isUsable = false;
    /// Position among the free ones near or far, when it is there.
    std::optional<std::size_t> position;
    bool isNear = false;
    std::optional<base::MonotonicTime> due;
};

/// A backend server that a request was sent to before.
struct TriedBackend {
    base::BackendId id;
    base::DataCentreId dataCentre;
    base::RackId rack;
};

using TriedBackends = std::vector<TriedBackend>;

/// The backend servers of a service with their free slots.
class BackendPool {
public:
    explicit BackendPool(const DispatcherOptions& options);

    void updateBackends(base::MonotonicTime now, const std::vector<BackendView>& views);
    void updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits);
    /// Applies expired leases and steps of slow start.
    void advance(base::MonotonicTime now);
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;

    /// Takes a slot, or gives it back.
    void acquire(PooledBackend& backend);
    /// The backend server may be forgotten by this.
    void release(PooledBackend& backend);
    /// `slowness` is the run time over the expected one.
    static void noteResult(PooledBackend& backend, bool hasFailed, double slowness);

    /// The better of two random backend servers with a free slot, in this data centre if there are any.
    [[nodiscard]] PooledBackend* choose(base::Random& random) const;
    /// The best free one not tried yet, in another failure domain if there is any.
    [[nodiscard]] PooledBackend* chooseOther(const TriedBackends& tried, document::FailureDomain domain) const;
    /// A backend server that waits for a probe.
    [[nodiscard]] PooledBackend* chooseProbe(base::MonotonicTime now);
    /// Tells whether a backend server that was not tried takes work, with or without a free slot.
    [[nodiscard]] bool hasOther(const TriedBackends& tried) const;

    [[nodiscard]] bool hasFree() const { return !m_near.empty() || !m_far.empty(); }
    /// Backend servers that take work, and the slots of this entry node there.
    [[nodiscard]] std::size_t usable() const { return m_usable; }
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] std::vector<BackendUsage> usage() const;

private:
    using Due = std::pair<base::MonotonicTime, base::BackendId>;

    void refresh(base::MonotonicTime now, PooledBackend& backend);
    void place(PooledBackend& backend);
    void removeFromFree(PooledBackend& backend);
    void forgetUnlisted(PooledBackend& backend);
    [[nodiscard]] std::uint32_t limitAt(base::MonotonicTime now, const PooledBackend& backend) const;
    [[nodiscard]] std::optional<base::MonotonicTime> nextChange(
        base::MonotonicTime now, const PooledBackend& backend) const;

    const DispatcherOptions& m_options;
    std::map<base::BackendId, PooledBackend> m_backends;
    std::vector<PooledBackend*> m_near;
    std::vector<PooledBackend*> m_far;
    std::set<Due> m_due;
    std::set<base::BackendId> m_probing;
    std::size_t m_usable = 0;
    std::uint32_t m_slots = 0;
};

} // namespace crocuscove::routing
