#include "crocuscove/jobs/long_running_places.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace crocuscove::jobs {

namespace {

/// Identifies a step of one occurrence of a job.
using StepKey = std::tuple<JobId, std::uint32_t, std::uint32_t>;

StepKey stepOf(const TaskKey& key) { return { key.job, key.occurrence, key.step }; }

struct Place {
    const Worker* worker = nullptr;
    Resources free;
    std::map<StepKey, std::uint32_t> perStep;
};

struct Claim {
    StepKey step;
    const StepSpec* spec = nullptr;
};

class Packer {
public:
    explicit Packer(const PlacesView& view)
        : m_view(view)
    {
        for (const auto& [number, worker] : view.state.workers()) {
            if (worker.report.service != view.service) {
                continue;
            }
            const bool isOpen = !worker.report.isDraining && view.isOpen(worker);
            Place place { &worker, worker.report.capacity, {} };
            for (const TaskKey& key : view.state.tasksOf(number)) {
                const Job& job = *view.state.findJob(key.job);
                const StepSpec& spec = job.spec.steps[key.step];
                if (!spec.isLongRunning || !job.isActive()) {
                    continue;
                }
                if (!isOpen) {
                    m_running.push_back({ stepOf(key), &spec });
                }
                place.free -= spec.reservation();
                ++place.perStep[stepOf(key)];
            }
            if (isOpen) {
                m_places.push_back(std::move(place));
            }
        }
        collectWaiting();
    }

    WithoutPlace pack()
    {
        const std::size_t waiting = placeAll(m_waiting);
        return { waiting, placeAll(m_running) };
    }

private:
    void collectWaiting()
    {
        for (const auto& [queueName, jobs] : m_view.state.readyLongRunningJobs()) {
            const Queue* queue = m_view.state.findQueue(queueName);
            if (queue == nullptr || queue->service != m_view.service) {
                continue;
            }
            for (const JobId id : jobs) {
                const Job& job = *m_view.state.findJob(id);
                for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
                    if (job.spec.steps[step].isLongRunning) {
                        collectWaiting(job, step);
                    }
                }
            }
        }
    }

    void collectWaiting(const Job& job, std::uint32_t step)
    {
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            if (job.spec.dueMs(occurrence) <= m_view.nowMs && job.isStepReady(occurrence, step)) {
                m_waiting.insert(m_waiting.end(), job.occurrences[occurrence][step].waitingTasks,
                    Claim { { job.id, occurrence, step }, &job.spec.steps[step] });
            }
        }
    }

    /// Returns how many tasks found no place.
    std::size_t placeAll(std::vector<Claim>& claims)
    {
        std::ranges::sort(claims, std::ranges::greater {}, [](const Claim& claim) {
            return std::tuple(claim.spec->perTask.memoryMb, claim.spec->perTask.cpuMilli, claim.step);
        });
        return static_cast<std::size_t>(
            std::ranges::count_if(claims, [this](const Claim& claim) { return !place(claim); }));
    }

    bool place(const Claim& claim)
    {
        const StepSpec& spec = *claim.spec;
        const auto found = std::ranges::find_if(m_places, [&](const Place& place) {
            const auto count = place.perStep.find(claim.step);
            return spec.reservation().fitsInto(place.free)
                && isAllowedOn(*place.worker, spec, count == place.perStep.end() ? 0 : count->second);
        });
        if (found == m_places.end()) {
            return false;
        }
        found->free -= spec.reservation();
        ++found->perStep[claim.step];
        return true;
    }

    const PlacesView& m_view;
    std::vector<Place> m_places;
    std::vector<Claim> m_waiting;
    std::vector<Claim> m_running;
};

} // namespace

WithoutPlace countWithoutPlace(const PlacesView& view) { return Packer(view).pack(); }

Closing decideClosing(const WithoutPlace& open, const WithoutPlace& closed, bool mayReturn)
{
    if (closed.total() <= open.total()) {
        return Closing::WithPlaces;
    }
    return mayReturn && closed.waiting <= open.waiting ? Closing::WithoutPlaces : Closing::No;
}

bool mayAllBeInterrupted(const FleetState& state, WorkerNumber worker)
{
    std::map<StepKey, std::uint32_t> perStep;
    return std::ranges::all_of(state.tasksOf(worker), [&](const TaskKey& key) {
        const StepSpec& spec = state.findJob(key.job)->spec.steps[key.step];
        return !spec.isLongRunning || ++perStep[stepOf(key)] <= std::max(1U, spec.mayInterrupt);
    });
}

} // namespace crocuscove::jobs
