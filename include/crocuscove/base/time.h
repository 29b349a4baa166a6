#pragma once

#include <time.h>

#include <chrono>

namespace crocuscove::base {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// A moment on the local monotonic clock. Never leaves the process.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// A moment on the wall clock. Replicated state takes it only from committed entries.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Returns the current moment of the monotonic clock. It counts the time that the machine is suspended, so that leases
/// and leadership end during a suspension.
inline MonotonicTime monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::duration_cast<Microseconds>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// Returns the current moment of the wall clock.
inline WallTime wallNow() { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }

} // namespace crocuscove::base
