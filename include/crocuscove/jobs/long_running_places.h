#pragma once

#include "crocuscove/jobs/fleet_state.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace crocuscove::jobs {

/// The workers of one service, some of which take new tasks.
struct PlacesView {
    const FleetState& state;
    std::string service;
    /// Wall clock in Unix milliseconds.
    std::int64_t nowMs = 0;
    /// Returns whether a worker of the service can take new tasks.
    std::function<bool(const Worker&)> isUsable;
    /// Returns whether a worker is kept from taking new tasks, as its VM is about to be maintained.
    std::function<bool(const Worker&)> isClosed;
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

/// Whether a worker may be closed for new tasks, so that its VM can be maintained.
enum class Closing : std::uint8_t {
    /// The long-running tasks of the service have places elsewhere.
    WithPlaces,
    /// Some haven't, and come back with the VM.
    WithoutPlaces,
    No,
};

/// The places of the long-running tasks of one service: they are packed by first fit, the largest first, so that a task
/// too many may be counted as without place. Made once for a round of decisions, since it looks at all workers of the
/// service; a decision then looks at the tasks that it takes from their place.
class LongRunningPlaces {
public:
    /// The state must not change while this is used.
    explicit LongRunningPlaces(const PlacesView& view);

    [[nodiscard]] const WithoutPlace& withoutPlace() const { return m_withoutPlace; }

    /// Closes a worker for new tasks if it may be. `mayReturn` tells whether its tasks may all be away until the VM is
    /// back, without another VM of the service away. A task that waits never loses a place; one that has none either
    /// way holds up nothing.
    Closing close(WorkerNumber worker, bool mayReturn);

    /// Opens a closed worker if a task that waits has a place only then. Returns whether it did.
    bool reopen(WorkerNumber worker);

private:
    /// Identifies a step of one occurrence of a job.
    using StepKey = std::tuple<JobId, std::uint32_t, std::uint32_t>;
    /// A task that needs a place.
    struct Claim {
        StepKey step;
        const StepSpec* spec = nullptr;
        bool isWaiting = false;
    };
    /// What one worker offers to long-running tasks.
    struct Place {
        const Worker* worker = nullptr;
        bool isUsable = false;
        bool isOpen = false;
        /// Free beside `running` and `guests`.
        Resources free;
        std::map<StepKey, std::uint32_t> perStep;
        /// The long-running tasks that run there.
        std::vector<Claim> running;
        /// Tasks that wait or run elsewhere, and have their place here.
        std::vector<Claim> guests;
    };

    void collectRunning(const PlacesView& view);
    void collectWaiting(const PlacesView& view);
    void collectWaiting(const PlacesView& view, const Job& job, std::uint32_t step);
    /// Gives all tasks their places anew.
    void pack();
    /// Gives each task a place, those that wait first, and counts those without.
    void placeAll(std::vector<Claim> claims);
    /// Gives a task the first place that fits; returns a null pointer if there is none.
    Place* place(const Claim& claim);
    static void removeLastGuest(Place& place);
    Place* find(WorkerNumber worker);
    /// Moves what has its place on a closed worker, or runs there, to the places that are left; changes nothing if the
    /// worker may not be closed so.
    Closing closeByMoving(Place& place, bool mayReturn);
    Closing closeByPacking(Place& place, bool mayReturn);

    /// In the order of the workers' numbers.
    std::vector<Place> m_places;
    std::vector<Claim> m_waiting;
    /// Tasks that wait and have no place.
    std::vector<Claim> m_waitingWithoutPlace;
    WithoutPlace m_withoutPlace;
    /// Decisions that may still pack all tasks anew, each of which costs as much as making this object.
    std::size_t m_packingsLeft;
};

/// Returns whether a job of the service with long-running tasks has a task that may start and waits.
[[nodiscard]] bool hasWaitingLongRunning(const FleetState& state, const std::string& service);

/// Returns whether all long-running tasks on a worker may be interrupted at the same time.
bool mayAllBeInterrupted(const FleetState& state, WorkerNumber worker);

} // namespace crocuscove::jobs
