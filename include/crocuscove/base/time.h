#pragma once

#include <chrono>

namespace crocuscove::base {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// A moment on the local monotonic clock. Never leaves the process.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// A moment on the wall clock. Replicated state takes it only from committed entries.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Returns the current moment of the monotonic clock.
inline MonotonicTime monotonicNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

/// Returns the current moment of the wall clock.
inline WallTime wallNow() { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }

} // namespace crocuscove::base
