#pragma once

#include "crocuscove/base/codec.h"
#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/id.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <string>

namespace crocuscove::routing {

/// Lease duration of an announcement. Backend servers renew it every announcementRenewal.
inline constexpr base::Milliseconds announcementLease { 3000 };
inline constexpr base::Milliseconds announcementRenewal { 1000 };

enum class BackendState {
    Serving,
    Leaving,
};

inline constexpr auto backendStateNames = base::enumNames<BackendState>({
    { BackendState::Serving, "serving" },
    { BackendState::Leaving, "leaving" },
});

/// The state that a backend server reports to an entry node. Entry nodes gossip announcements in this form.
struct Announcement {
    base::ServiceId service;
    base::BackendId backend;
    std::string host;
    std::uint16_t port = 0;
    /// Increases with each start of the backend server.
    std::uint64_t incarnation = 0;
    /// Increases with each announcement of an incarnation. The entry node that receives the announcement from the
    /// backend server assigns it.
    std::uint64_t sequence = 0;
    base::VmId vm;
    base::DataCentreId dataCentre;
    base::RackId rack;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t inFlight = 0;
    BackendState state = BackendState::Serving;
    /// Remaining lease time when the message was sent. A deadline would be useless to the receiver, as the monotonic
    /// clocks of two nodes can't be compared.
    std::uint32_t leaseRemainingMs = static_cast<std::uint32_t>(announcementLease.count());

    bool operator==(const Announcement&) const = default;
    MSGPACK_DEFINE(service, backend, host, port, incarnation, sequence, vm, dataCentre, rack, slots, connections,
        inFlight, state, leaseRemainingMs)
};

} // namespace crocuscove::routing
