#include "crocuscove/jobs/long_running_places.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuscove::jobs {

namespace {

/// Decisions of one LongRunningPlaces that may pack all tasks anew.
constexpr std::size_t maxPackings = 1;

/// Decides from what has no place with the worker open and with it closed.
Closing decideClosing(const WithoutPlace& open, const WithoutPlace& closed, bool mayReturn)
{
    if (closed.total() <= open.total()) {
        return Closing::WithPlaces;
    }
    return mayReturn && closed.waiting <= open.waiting ? Closing::WithoutPlaces : Closing::No;
}

} // namespace

LongRunningPlaces::LongRunningPlaces(const PlacesView& view)
    : m_packingsLeft(maxPackings)
{
    collectRunning(view);
    collectWaiting(view);
    pack();
}

void LongRunningPlaces::collectRunning(const PlacesView& view)
{
    for (const auto& [number, worker] : view.state.workers()) {
        if (worker.report.service != view.service) {
            continue;
        }
        Place place;
        place.worker = &worker;
        place.isUsable = !worker.report.isDraining && view.isUsable(worker);
        place.isOpen = place.isUsable && !view.isClosed(worker);
        for (const TaskKey& key : view.state.tasksOf(number)) {
            const Job& job = *view.state.findJob(key.job);
            const StepSpec& spec = job.spec.steps[key.step];
            if (spec.isLongRunning && job.isActive()) {
                place.running.push_back({ { key.job, key.occurrence, key.step }, &spec, false });
            }
        }
        m_places.push_back(std::move(place));
    }
}

void LongRunningPlaces::collectWaiting(const PlacesView& view)
{
    for (const auto& [queueName, jobs] : view.state.readyLongRunningJobs()) {
        const Queue* queue = view.state.findQueue(queueName);
        if (queue == nullptr || queue->service != view.service) {
            continue;
        }
        for (const JobId id : jobs) {
            const Job& job = *view.state.findJob(id);
            for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
                if (job.spec.steps[step].isLongRunning) {
                    collectWaiting(view, job, step);
                }
            }
        }
    }
}

void LongRunningPlaces::collectWaiting(const PlacesView& view, const Job& job, std::uint32_t step)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        if (job.spec.dueMs(occurrence) <= view.nowMs && job.isStepReady(occurrence, step)) {
            m_waiting.insert(m_waiting.end(), job.occurrences[occurrence][step].waitingTasks,
                Claim { { job.id, occurrence, step }, &job.spec.steps[step], true });
        }
    }
}

void LongRunningPlaces::pack()
{
    m_waitingWithoutPlace.clear();
    m_withoutPlace = {};
    std::vector<Claim> claims = m_waiting;
    for (Place& place : m_places) {
        place.free = place.worker->report.capacity;
        place.perStep.clear();
        place.guests.clear();
        for (const Claim& task : place.running) {
            place.free -= task.spec->reservation();
            ++place.perStep[task.step];
        }
        if (!place.isOpen) {
            std::ranges::copy(place.running, std::back_inserter(claims));
        }
    }
    placeAll(std::move(claims));
}

void LongRunningPlaces::placeAll(std::vector<Claim> claims)
{
    std::ranges::sort(claims, std::ranges::greater {}, [](const Claim& claim) {
        return std::tuple(claim.isWaiting, claim.spec->perTask.memoryMb, claim.spec->perTask.cpuMilli, claim.step);
    });
    for (const Claim& claim : claims) {
        if (place(claim) != nullptr) {
            continue;
        }
        if (claim.isWaiting) {
            ++m_withoutPlace.waiting;
            m_waitingWithoutPlace.push_back(claim);
        } else {
            ++m_withoutPlace.running;
        }
    }
}

LongRunningPlaces::Place* LongRunningPlaces::place(const Claim& claim)
{
    const Resources required = claim.spec->reservation();
    const auto found = std::ranges::find_if(m_places, [&](const Place& place) {
        if (!place.isOpen || !required.fitsInto(place.free)) {
            return false;
        }
        const auto count = place.perStep.find(claim.step);
        return isAllowedOn(*place.worker, *claim.spec, count == place.perStep.end() ? 0 : count->second);
    });
    if (found == m_places.end()) {
        return nullptr;
    }
    found->free -= required;
    ++found->perStep[claim.step];
    found->guests.push_back(claim);
    return &*found;
}

void LongRunningPlaces::removeLastGuest(Place& place)
{
    const Claim& guest = place.guests.back();
    place.free += guest.spec->reservation();
    --place.perStep.at(guest.step);
    place.guests.pop_back();
}

LongRunningPlaces::Place* LongRunningPlaces::find(WorkerNumber worker)
{
    const auto found
        = std::ranges::lower_bound(m_places, worker, {}, [](const Place& place) { return place.worker->number; });
    return found == m_places.end() || found->worker->number != worker ? nullptr : &*found;
}

Closing LongRunningPlaces::close(WorkerNumber worker, bool mayReturn)
{
    Place* place = find(worker);
    if (place == nullptr || !place->isOpen) {
        return Closing::WithPlaces;
    }
    place->isOpen = false;
    Closing closing = closeByMoving(*place, mayReturn);
    if (closing == Closing::No && m_packingsLeft > 0) {
        --m_packingsLeft;
        closing = closeByPacking(*place, mayReturn);
    }
    place->isOpen = closing == Closing::No;
    return closing;
}

Closing LongRunningPlaces::closeByMoving(Place& place, bool mayReturn)
{
    std::vector<Claim> claims = place.guests;
    std::ranges::copy(place.running, std::back_inserter(claims));
    std::vector<Place*> targets;
    WithoutPlace lost;
    for (const Claim& claim : claims) {
        Place* target = this->place(claim);
        if (target != nullptr) {
            targets.push_back(target);
        } else {
            ++(claim.isWaiting ? lost.waiting : lost.running);
        }
    }
    const Closing closing = decideClosing({}, lost, mayReturn);
    if (closing == Closing::No) {
        std::ranges::for_each(targets, [](Place* target) { removeLastGuest(*target); });
        return closing;
    }
    while (!place.guests.empty()) {
        removeLastGuest(place);
    }
    m_withoutPlace.running += lost.running;
    return closing;
}

Closing LongRunningPlaces::closeByPacking(Place& place, bool mayReturn)
{
    const WithoutPlace open = m_withoutPlace;
    pack();
    const Closing closing = decideClosing(open, m_withoutPlace, mayReturn);
    if (closing == Closing::No) {
        place.isOpen = true;
        pack();
    }
    return closing;
}

bool LongRunningPlaces::reopen(WorkerNumber worker)
{
    Place* place = find(worker);
    if (place == nullptr || place->isOpen || !place->isUsable) {
        return false;
    }
    place->isOpen = true;
    const std::size_t waiting = m_withoutPlace.waiting;
    m_withoutPlace.waiting = 0;
    placeAll(std::exchange(m_waitingWithoutPlace, {}));
    place->isOpen = m_withoutPlace.waiting < waiting;
    return place->isOpen;
}

bool hasWaitingLongRunning(const FleetState& state, const std::string& service)
{
    return std::ranges::any_of(state.readyLongRunningJobs(), [&](const auto& entry) {
        const Queue* queue = entry.second.empty() ? nullptr : state.findQueue(entry.first);
        return queue != nullptr && queue->service == service;
    });
}

bool mayAllBeInterrupted(const FleetState& state, WorkerNumber worker)
{
    std::map<std::tuple<JobId, std::uint32_t, std::uint32_t>, std::uint32_t> perStep;
    return std::ranges::all_of(state.tasksOf(worker), [&](const TaskKey& key) {
        const StepSpec& spec = state.findJob(key.job)->spec.steps[key.step];
        return !spec.isLongRunning
            || ++perStep[{ key.job, key.occurrence, key.step }] <= std::max(1U, spec.mayInterrupt);
    });
}

} // namespace crocuscove::jobs
