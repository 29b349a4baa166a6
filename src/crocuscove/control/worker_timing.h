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
/// Weight of one more run in the share of failed runs.
inline constexpr double failureWeight = 0.15;

} // namespace crocuscove::control
