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

/// State of one backend server, and the requests that this entry node has in flight there.
struct PooledBackend {
    base::BackendId id;
    /// Kept after the backend server is no longer listed, while attempts are still running there.
    BackendView view;
    bool isListed = false;
    SlotLimit slots;
    std::uint32_t inFlight = 0;
    /// Moving averages of the failure rate and of the ratio of actual to expected run time.
    double errorRate = 0.0;
    double runTimeRatio = 1.0;
    /// Slots that may be used now, and whether requests other than probes may be sent.
    std::uint32_t limit = 0;
    bool isUsable = false;
    /// Index in the local or remote list of free backend servers, if it is in one.
    std::optional<std::size_t> freeListIndex;
    bool isLocal = false;
    std::optional<base::MonotonicTime> nextRefresh;
};

/// A backend server to which an earlier attempt of a request was sent.
struct TriedBackend {
    base::BackendId id;
    base::DataCentreId dataCentre;
    base::RackId rack;
};

using TriedBackends = std::vector<TriedBackend>;

/// The backend servers of a service and their free slots.
class BackendPool {
public:
    explicit BackendPool(const DispatcherOptions& options);

    void updateBackends(base::MonotonicTime now, const std::vector<BackendView>& views);
    void updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits);
    /// Applies expired leases and the steps of slow start that are due.
    void advance(base::MonotonicTime now);
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;

    /// Occupies a slot of the backend server.
    void acquire(PooledBackend& backend);
    /// Frees a slot. The reference is invalid afterwards if the backend server is no longer listed.
    void release(PooledBackend& backend);
    /// Records the result of an attempt. `runTimeRatio` is the actual run time divided by the expected one.
    static void recordResult(PooledBackend& backend, bool hasFailed, double runTimeRatio);

    /// Returns the less loaded of two random backend servers with a free slot (power of two choices), in this data
    /// centre if there are any.
    [[nodiscard]] PooledBackend* choose(base::Random& random) const;
    /// Returns the best backend server with a free slot that was not tried yet, preferably in another failure domain.
    [[nodiscard]] PooledBackend* chooseUntried(const TriedBackends& tried, document::FailureDomain domain) const;
    /// Returns a backend server that is due for a probe.
    [[nodiscard]] PooledBackend* chooseProbe(base::MonotonicTime now);
    /// Returns whether a backend server that was not tried yet accepts requests, with or without a free slot.
    [[nodiscard]] bool hasUntried(const TriedBackends& tried) const;

    [[nodiscard]] bool hasFree() const { return !m_localFree.empty() || !m_remoteFree.empty(); }
    /// Number of backend servers that accept requests, and the sum of this entry node's slots there.
    [[nodiscard]] std::size_t usableBackends() const { return m_usableBackends; }
    [[nodiscard]] std::uint32_t slots() const { return m_usableSlots; }
    [[nodiscard]] std::vector<BackendUsage> usage() const;

private:
    using Deadline = std::pair<base::MonotonicTime, base::BackendId>;

    void refresh(base::MonotonicTime now, PooledBackend& backend);
    void updateFreeList(PooledBackend& backend);
    void removeFromFree(PooledBackend& backend);
    void eraseIfUnused(PooledBackend& backend);
    [[nodiscard]] std::uint32_t limitAt(base::MonotonicTime now, const PooledBackend& backend) const;
    [[nodiscard]] std::optional<base::MonotonicTime> nextChange(
        base::MonotonicTime now, const PooledBackend& backend) const;

    const DispatcherOptions& m_options;
    std::map<base::BackendId, PooledBackend> m_backends;
    std::vector<PooledBackend*> m_localFree;
    std::vector<PooledBackend*> m_remoteFree;
    std::set<Deadline> m_deadlines;
    std::set<base::BackendId> m_probing;
    std::size_t m_usableBackends = 0;
    std::uint32_t m_usableSlots = 0;
};

} // namespace crocuscove::routing
