#pragma once

#include "routing/router.h"
#include "routing/slot_scheme.h"

#include <array>
#include <functional>
#include <map>
#include <queue>

namespace crocuscove::bench {

/// One kind of request in the load.
struct LoadKind {
    document::RequestKind kind;
    base::Microseconds median { 0 };
    /// Part of the slots that the kind uses at a load of one.
    double share = 0.0;
};

struct Scenario {
    std::size_t nodes = 6;
    std::vector<std::size_t> executors { 8, 9, 10, 11, 12 };
    std::uint32_t slots = 8;
    std::vector<LoadKind> kinds;
    double stragglers = 0.05;
    double stragglerFactor = 50.0;
    /// Load of a service over its slots, at a moment.
    std::function<double(std::size_t service, double seconds)> load;
    /// Part of the requests that each node gets.
    std::vector<double> nodeShares;
    double seconds = 60.0;
    /// Before this, nothing is counted, so that leases and run times are known.
    double warmUpSeconds = 10.0;
    /// Part of the backend servers that fail every request.
    double failing = 0.0;
    SchemeKind scheme = SchemeKind::SlotLeases;
    bool isBaseline = false;
    routing::DispatcherOptions options;
    std::uint32_t maxQueued = 1024;
    std::uint64_t seed = 1;
};

struct Sample {
    std::size_t service = 0;
    std::size_t kind = 0;
    double arrived = 0.0;
    /// From arrival to dispatch, or to the end for one that was not dispatched. In seconds.
    double wait = 0.0;
    double total = 0.0;
    double work = 0.0;
    bool isDispatched = false;
    bool isRefused = false;
    bool isGood = false;
};

struct Totals {
    std::vector<Sample> samples;
    std::uint64_t firstDispatches = 0;
    std::uint64_t retries = 0;
    std::uint64_t backendRefusals = 0;
    std::uint64_t overruns = 0;
    std::uint64_t messages = 0;
    std::uint64_t events = 0;
    double coreSeconds = 0.0;
    /// Slots held by a request, those that execute it at the moment, and slots there, summed over samples in which work
    /// was queued. The rest of the held ones have a request or its answer on the way.
    double slotsUsed = 0.0;
    double slotsExecuting = 0.0;
    double slotsThere = 0.0;
    /// Work that ended in time, and the work that fits the slots.
    double goodWork = 0.0;
    double capacityWork = 0.0;
};

/// Runs a scenario in virtual time.
Totals simulate(const Scenario& scenario);

} // namespace crocuscove::bench
