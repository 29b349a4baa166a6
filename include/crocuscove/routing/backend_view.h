#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/id.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>

namespace crocuscove::routing {

/// The state in which an entry node uses a backend server.
enum class BackendPhase {
    /// Receives its full share of requests.
    InService,
    /// Receives a share of requests that rises with time after it has returned to service.
    SlowStart,
    /// Receives one idempotent request at a time, which tests whether it has recovered.
    Probing,
    /// Receives no requests because it failed or restarted too often.
    Ejected,
    /// Receives no new requests because it announced that it is leaving.
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
    /// Start of the slow start. It applies only in the phase SlowStart.
    base::MonotonicTime slowStartSince;
    /// No new request is sent to the backend server from this moment on.
    base::MonotonicTime leaseDeadline;

    bool operator==(const BackendView&) const = default;
};

/// Maximum number of requests that this entry node may have in flight at a backend server.
struct SlotLimit {
    base::BackendId backend;
    std::uint32_t limit = 0;
    /// From this moment on, `limitAfterDeadline` applies, so that a delayed caller can't use an expired lease.
    base::MonotonicTime deadline = base::MonotonicTime::max();
    std::uint32_t limitAfterDeadline = 0;
    /// The incarnation of the backend server to which the limit applies; 0 matches any incarnation.
    std::uint64_t incarnation = 0;

    bool operator==(const SlotLimit&) const = default;
};

} // namespace crocuscove::routing
