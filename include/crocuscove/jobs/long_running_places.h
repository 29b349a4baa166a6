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

/// Whether a worker may be closed for new tasks, so that its VM can be maintained.
enum class Closing : std::uint8_t {
    /// The long-running tasks of the service have places elsewhere.
    WithPlaces,
    /// Some haven't, and come back with the VM.
    WithoutPlaces,
    No,
};

/// Decides from what has no place with the worker open and with it closed. `mayReturn` tells whether its tasks may all
/// be away until the VM is back, without another VM of the service away. A task that waits never loses a place; one
/// that has none either way holds up nothing.
Closing decideClosing(const WithoutPlace& open, const WithoutPlace& closed, bool mayReturn);

/// Returns whether all long-running tasks on a worker may be interrupted at the same time.
bool mayAllBeInterrupted(const FleetState& state, WorkerNumber worker);

} // namespace crocuscove::jobs
