#pragma once

#include "crocuscove/base/time.h"

namespace crocuscove::control {

/// How long a renewal waits at the worker for an end. Well below the lease, which each renewal extends.
inline constexpr base::Milliseconds renewWait { 1'000 };
/// How long an answer may take beyond the wait: several round trips between data centres.
inline constexpr base::Milliseconds answerTimeout { 700 };
inline constexpr base::Milliseconds retryPause { 150 };
/// How long a worker may still begin a start after it was sent, since a start may be held up on its way until after the
/// stop that settles it. Below the 2 s after which a draining worker must start nothing, and the 3 s for a cancelled
/// job (RULES, DRAIN and UNASKED).
inline constexpr base::Milliseconds startValidity { 1'800 };
/// Pause between a worker's message that it leaves and the question whether it still answers, in which its process
/// ends.
inline constexpr base::Milliseconds leaveProbeDelay { 200 };
/// How long the answer to that question may take: several round trips between data centres.
inline constexpr base::Milliseconds leaveProbeTimeout { 300 };
/// How long a worker may take to answer whether it is still at its address, when a report names that address or a later
/// incarnation of its id. The sender of the report waits for a second in all (PROTOCOL, Service discovery).
inline constexpr base::Milliseconds holderTimeout { 300 };
/// For this long after the message, a worker that no longer answers has left.
inline constexpr base::Milliseconds leaveWindow { 5'000 };
/// Weight of one more run in the share of failed runs.
inline constexpr double failureWeight = 0.15;

} // namespace crocuscove::control
