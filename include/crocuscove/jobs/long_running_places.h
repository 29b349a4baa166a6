#pragma once

#include "crocuscove/jobs/fleet_state.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace crocuscove::jobs {

/// The workers of one service, some of which take new tasks.
struct PlacesView {
    const FleetState& state;
    std::string service;
    /// Wall clock in Unix milliseconds.
    std::int64_t nowMs = 0;
    /// Returns whether a worker of the service takes new tasks.
    std::function<bool(const Worker&)> isOpen;
};

/// Long-running tasks of a service that have no place on its open workers: room beside the long-running tasks there,
/// the label, and the limit per worker of the step. Tasks that end by themselves take no place, as they leave it in
/// time (see planAssignments).
struct WithoutPlace {
    /// Tasks that may start and wait.
    std::size_t waiting = 0;
    /// Tasks that run on workers that aren't open, after all that wait have theirs.
    std::size_t running = 0;

    [[nodiscard]] std::size_t total() const { return waiting + running; }
};

/// Packs the tasks by first fit, the largest first, so that it may count a task too many.
WithoutPlace countWithoutPlace(const PlacesView& view);

} // namespace crocuscove::jobs
