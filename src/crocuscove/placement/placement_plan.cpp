#include "crocuscove/placement/placement_plan.h"

#include "nearest_miss.h"
#include "worker_index.h"

namespace crocuscove::placement {

namespace {

class Planner {
public:
    Planner(const PlacementView& view, const PlacementOptions& options, base::WallTime now)
        : m_view(view)
        , m_options(options)
        , m_now(now)
        , m_index(view)
        , m_capacities(distinctCapacities(view.workers))
    {
    }

    PlacementPlan plan()
    {
        sortJobs();
        if (m_queued.empty()) {
            return {};
        }
        m_index.buildOrder();
        const bool mayReject = isObserved();
        for (const JobView* job : m_queued) {
            if (mayReject && m_plan.rejects.size() < m_options.maxRejects && reject(*job)) {
                continue;
            }
            if (m_plan.starts.size() < m_options.maxStarts) {
                start(*job);
            }
        }
        return std::move(m_plan);
    }

private:
    void sortJobs()
    {
        for (const JobView& job : m_view.jobs) {
            const bool isRunning = job.record->state == state::JobState::Running;
            if (isRunning || job.startingOn) {
                if (const auto worker = m_index.find(isRunning ? job.record->worker : *job.startingOn)) {
                    m_index.occupy(*worker, job.size);
                }
            } else if (job.record->state == state::JobState::Queued && !job.record->isCancelRequested) {
                m_queued.push_back(&job);
            }
        }
    }

    bool isObserved() const
    {
        const auto observed = m_now - m_view.observingSince;
        const bool areAllKnown = std::ranges::all_of(m_view.workers, &WorkerView::isObserved);
        return observed >= (areAllKnown ? m_options.observationBound : m_options.unobservedBound);
    }

    bool reject(const JobView& job)
    {
        const auto isCovered = [&](const state::Resources& capacity) { return fits(job.size, capacity); };
        if (std::ranges::any_of(m_capacities, isCovered)) {
            return false;
        }
        const auto miss = nearestMiss(job.size, m_view.workers);
        if (miss) {
            m_plan.rejects.push_back({ job.record->spec.job, RejectReason::LargerThanEveryWorker, *miss });
        }
        return miss.has_value();
    }

    void start(const JobView& job)
    {
        if (const auto worker = m_index.bestFit(job.size)) {
            m_index.take(*worker, job.size);
            const WorkerView& chosen = m_view.workers[*worker];
            m_plan.starts.push_back({ job.record->spec.job, chosen.worker, chosen.incarnation, StartReason::BestFit });
        }
    }

    const PlacementView& m_view;
    const PlacementOptions& m_options;
    base::WallTime m_now;
    WorkerIndex m_index;
    std::vector<state::Resources> m_capacities;
    std::vector<const JobView*> m_queued;
    PlacementPlan m_plan;
};

} // namespace

PlacementPlan planPlacement(const PlacementView& view, const PlacementOptions& options, base::WallTime now)
{
    return Planner(view, options, now).plan();
}

} // namespace crocuscove::placement
