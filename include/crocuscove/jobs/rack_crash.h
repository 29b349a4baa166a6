#pragma once

#include "crocuscove/base/time.h"
#include "crocuscove/jobs/worker.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuscove::jobs {

/// Workers of a rack that fell silent within this time of each other crashed together.
inline constexpr base::Milliseconds rackCrashSpread { 1'000 };

/// Returns the rack of a worker, which is its last label; the first label is the kind of machine. Empty if unknown.
std::string rackOf(const WorkerReport& report);

/// What is known of when a worker was last there.
struct WorkerContact {
    WorkerNumber worker = 0;
    std::string service;
    std::string rack;
    /// When contact with this incarnation was sought first.
    base::MonotonicTime knownSince;
    /// The first order without an answer since the last answer.
    std::optional<base::MonotonicTime> silentSince;
    /// A task under which other workers have crashed ran there.
    bool hasSuspectedTask = false;
};

/// Tells whether a worker crashed with its rack as a whole, so that what ran on it need not be the cause: all workers
/// of its service on the rack, and at least two, fell silent together. If a suspected task ran on each of them, they
/// may have crashed one by one.
bool isRackCrash(const WorkerContact& crashed, const std::vector<WorkerContact>& others);

} // namespace crocuscove::jobs
