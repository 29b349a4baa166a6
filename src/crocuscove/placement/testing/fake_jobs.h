#pragma once

#include "crocuscove/placement/placement_plan.h"

#include <deque>
#include <string>

namespace crocuscove::placement::testing {

/// Owns job records and the view over them.
struct FakeJobs {
    std::deque<state::JobRecord> records;
    PlacementView view;
    base::WallTime now { base::Milliseconds(1'000'000'000) };

    void addWorker(const std::string& id, state::Resources capacity)
    {
        WorkerView worker;
        worker.worker = base::WorkerId(id);
        worker.incarnation = 1;
        worker.capacity = capacity;
        view.workers.push_back(worker);
    }

    state::JobRecord& addJob(const std::string& id, state::Resources size, const std::string& team = "team")
    {
        state::JobRecord& record = records.emplace_back();
        record.spec.job = base::JobId(id);
        record.spec.team = base::TeamId(team);
        record.spec.declared = size;
        record.submittedAt = record.changedAt = now;
        view.jobs.push_back({ &record, size, {}, false });
        return record;
    }

    state::JobRecord& addRunning(const std::string& id, state::Resources size, const std::string& worker)
    {
        state::JobRecord& record = addJob(id, size);
        record.state = state::JobState::Running;
        record.worker = base::WorkerId(worker);
        record.starts = 1;
        return record;
    }

    /// Applies the starts of a plan to the records.
    void start(const PlacementPlan& plan)
    {
        for (const StartAction& action : plan.starts) {
            for (state::JobRecord& record : records) {
                if (record.spec.job == action.job) {
                    record.state = state::JobState::Running;
                    record.worker = action.worker;
                    record.changedAt = now;
                    ++record.starts;
                }
            }
        }
    }
};

} // namespace crocuscove::placement::testing
