#pragma once

#include "crocuscove/placement/placement_plan.h"

#include <algorithm>
#include <deque>
#include <map>
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
        view.jobs.push_back({ .record = &record, .size = size });
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

    state::JobRecord& job(const std::string& id)
    {
        return *std::ranges::find_if(
            records, [&](const state::JobRecord& record) { return record.spec.job.text() == id; });
    }

    /// Sums the running jobs by the text that `keyOf` gives them.
    template <typename Key> std::map<std::string, state::Resources> usedBy(Key&& keyOf) const
    {
        std::map<std::string, state::Resources> used;
        for (const state::JobRecord& record : records) {
            if (record.state == state::JobState::Running) {
                state::Resources& sum = used[keyOf(record)];
                sum.cores += record.spec.declared.cores;
                sum.memoryMb += record.spec.declared.memoryMb;
                sum.accelerators += record.spec.declared.accelerators;
            }
        }
        return used;
    }

    /// Applies the starts of a plan to the records.
    void start(const PlacementPlan& plan)
    {
        for (const StartAction& action : plan.starts) {
            state::JobRecord& record = job(action.job.text());
            record.state = state::JobState::Running;
            record.worker = action.worker;
            record.changedAt = now;
            ++record.starts;
        }
    }
};

} // namespace crocuscove::placement::testing
