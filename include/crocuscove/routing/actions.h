#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/id.h"
#include "crocuscove/base/settings.h"
#include "crocuscove/base/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace crocuscove::routing {

/// Ids of requests and of attempts to execute them, unique within one process.
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/// Whether a request was executed, as reported to the client in the header Crocuscove-Outcome.
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
    /// The service document has no such request kind.
    UnknownKind,
    /// The queue has reached its limit, which is lower for long and patient work.
    QueueFull,
    /// The client already has maxInFlightPerClient requests queued or in flight.
    ClientLimit,
    /// The request is not expected to end before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// No backend server accepts requests.
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
    /// A complete response arrived.
    Answered,
    /// The backend server responded with a server error and no retry was possible.
    ServerError,
    /// The backend server refused the request without executing it and no retry was possible.
    BackendRefused,
    /// No connection could be established and no retry was possible.
    ConnectFailed,
    /// The connection broke after bytes were sent and no retry was possible.
    ConnectionBroken,
    /// The deadline passed while an attempt was running, or after one that may have been executed.
    DeadlinePassed,
    /// The client disconnected, so no response is sent.
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

/// Sends the request to a backend server. The caller reports the end of the attempt with Dispatcher::finish.
struct Dispatch {
    RequestId request = 0;
    AttemptId attempt = 0;
    base::BackendId backend;
    base::Endpoint endpoint;
    base::MonotonicTime deadline;
    DispatchReason reason = DispatchReason::FirstAttempt;

    bool operator==(const Dispatch&) const = default;
};

/// Responds with the outcome `not-executed` and Retry-After. This is the final action for the request.
struct Refuse {
    RequestId request = 0;
    RefuseReason reason = RefuseReason::NoBackend;
    base::Milliseconds retryAfter { 0 };

    bool operator==(const Refuse&) const = default;
};

/// Responds to the client with the outcome. If `attempt` is not 0, its response is forwarded. This is the final action
/// for the request.
struct Conclude {
    RequestId request = 0;
    Outcome outcome = Outcome::Unknown;
    ConcludeReason reason = ConcludeReason::Answered;
    AttemptId attempt = 0;

    bool operator==(const Conclude&) const = default;
};

/// Closes the backend connection of the attempt. The caller need not call Dispatcher::finish for it; a late call is
/// ignored.
struct Abort {
    RequestId request = 0;
    AttemptId attempt = 0;
    AbortReason reason = AbortReason::DeadlinePassed;

    bool operator==(const Abort&) const = default;
};

/// An instruction to the caller of the dispatcher. Every request gets exactly one Refuse or Conclude.
using Action = std::variant<Dispatch, Refuse, Conclude, Abort>;
using Actions = std::vector<Action>;

} // namespace crocuscove::routing
