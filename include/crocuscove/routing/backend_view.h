#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/id.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>

namespace crocuscove::routing {

/// How an entry node uses a backend server.
enum class BackendPhase {
    /// Takes its full share.
    InService,
    /// Takes a share that rises with time, after a return.
    SlowStart,
    /// Takes one idempotent request at a time, to learn whether it works again.
    Probing,
    /// Takes no work because it failed, was silent or flapped.
    Ejected,
    /// Takes no new work because it announced that it leaves.
    Leaving,
};

inline constexpr auto backendPhaseNames = base::enumNames<BackendPhase>({
    { BackendPhase::InService, "in-service" },
    { BackendPhase::SlowStart, "slow-start" },
    { BackendPhase::Probing, "probing" },
    { BackendPhase::Ejected, "ejected" },
    { BackendPhase::Leaving, "leaving" },
});

/// A backend server as the dispatcher sees it.
struct BackendView {
    base::BackendId backend;
    base::Endpoint endpoint;
    std::uint64_t incarnation = 0;
    base::DataCentreId dataCentre;
    base::RackId rack;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    BackendPhase phase = BackendPhase::InService;
    /// Start of slow start, when in it.
    base::MonotonicTime slowStartSince;
    /// No new work goes to the backend server after this moment.
    base::MonotonicTime leaseDeadline;

    bool operator==(const BackendView&) const = default;
};

/// Requests that this entry node may have in flight at a backend server.
struct SlotLimit {
    base::BackendId backend;
    std::uint32_t limit = 0;
    /// From this moment on, `limitAfterDeadline` applies. A caller that is late can't use an expired lease.
    base::MonotonicTime deadline = base::MonotonicTime::max();
    std::uint32_t limitAfterDeadline = 0;
    /// The incarnation that the limit is for; 0 stands for any.
    std::uint64_t incarnation = 0;

    bool operator==(const SlotLimit&) const = default;
};

} // namespace crocuscove::routing
