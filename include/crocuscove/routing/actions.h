#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/id.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace crocuscove::routing {

/// Ids of requests and attempts, unique within one process.
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/// What a client is told in the header Crocuscove-Outcome.
enum class Outcome {
    Executed,
    NotExecuted,
    Unknown,
};

inline constexpr auto outcomeNames = base::enumNames<Outcome>({
    { Outcome::Executed, "executed" },
    { Outcome::NotExecuted, "not-executed" },
    { Outcome::Unknown, "unknown" },
});

enum class DispatchReason {
    FirstAttempt,
    Retry,
    Probe,
};

inline constexpr auto dispatchReasonNames = base::enumNames<DispatchReason>({
    { DispatchReason::FirstAttempt, "first-attempt" },
    { DispatchReason::Retry, "retry" },
    { DispatchReason::Probe, "probe" },
});

enum class RefuseReason {
    /// The document has no such request kind.
    UnknownKind,
    /// The queue holds maxQueued requests.
    QueueFull,
    /// The client has maxInFlightPerClient requests queued or in flight.
    ClientLimit,
    /// The estimated wait passes the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// No backend server takes work.
    NoBackend,
};

inline constexpr auto refuseReasonNames = base::enumNames<RefuseReason>({
    { RefuseReason::UnknownKind, "unknown-kind" },
    { RefuseReason::QueueFull, "queue-full" },
    { RefuseReason::ClientLimit, "client-limit" },
    { RefuseReason::DeadlineUnreachable, "deadline-unreachable" },
    { RefuseReason::DeadlinePassed, "deadline-passed" },
    { RefuseReason::NoBackend, "no-backend" },
});

enum class ConcludeReason {
    /// A complete answer arrived.
    Answered,
    /// The backend server answered with an error and no retry was possible.
    ServerError,
    /// The backend server refused the request by contract and no retry was possible.
    BackendRefused,
    /// No connection could be made and no retry was possible.
    ConnectFailed,
    /// The connection broke after bytes were sent and no retry was possible.
    ConnectionBroken,
    /// The deadline passed while an attempt ran.
    DeadlinePassed,
    /// The client has gone. There is nobody to answer.
    ClientGone,
};

inline constexpr auto concludeReasonNames = base::enumNames<ConcludeReason>({
    { ConcludeReason::Answered, "answered" },
    { ConcludeReason::ServerError, "server-error" },
    { ConcludeReason::BackendRefused, "backend-refused" },
    { ConcludeReason::ConnectFailed, "connect-failed" },
    { ConcludeReason::ConnectionBroken, "connection-broken" },
    { ConcludeReason::DeadlinePassed, "deadline-passed" },
    { ConcludeReason::ClientGone, "client-gone" },
});

enum class AbortReason {
    DeadlinePassed,
    ClientGone,
};

inline constexpr auto abortReasonNames = base::enumNames<AbortReason>({
    { AbortReason::DeadlinePassed, "deadline-passed" },
    { AbortReason::ClientGone, "client-gone" },
});

/// Send the request to the backend server. The caller reports the end of the attempt by Dispatcher::finish.
struct Dispatch {
    RequestId request = 0;
    AttemptId attempt = 0;
    base::BackendId backend;
    base::Endpoint endpoint;
    base::MonotonicTime deadline;
    DispatchReason reason = DispatchReason::FirstAttempt;

    bool operator==(const Dispatch&) const = default;
};

/// Answer `not-executed` with Retry-After. This concludes the request.
struct Refuse {
    RequestId request = 0;
    RefuseReason reason = RefuseReason::NoBackend;
    base::Milliseconds retryAfter { 0 };

    bool operator==(const Refuse&) const = default;
};

/// Answer the client with the outcome. The answer of `attempt`, if not 0 and complete, is passed on.
struct Conclude {
    RequestId request = 0;
    Outcome outcome = Outcome::Unknown;
    ConcludeReason reason = ConcludeReason::Answered;
    AttemptId attempt = 0;

    bool operator==(const Conclude&) const = default;
};

/// Close the backend connection of the attempt. No finish is expected for it; one that crosses it is ignored.
struct Abort {
    RequestId request = 0;
    AttemptId attempt = 0;
    AbortReason reason = AbortReason::DeadlinePassed;

    bool operator==(const Abort&) const = default;
};

/// Every request gets exactly one Refuse or Conclude.
using Action = std::variant<Dispatch, Refuse, Conclude, Abort>;
using Actions = std::vector<Action>;

} // namespace crocuscove::routing
