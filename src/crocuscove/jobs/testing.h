#pragma once

#include "crocuscove/jobs/fleet_state.h"

#include <string>
#include <utility>

namespace crocuscove::jobs::testing {

inline Configuration configuration(std::uint64_t version = 1, std::uint32_t maxAttempts = 2)
{
    Configuration result;
    result.version = version;
    Queue queue;
    queue.name = "q";
    queue.host = "host";
    queue.pathPrefix = "/q/";
    queue.service = "pool";
    queue.maxAttempts = maxAttempts;
    queue.stretch = 2.0;
    queue.objectiveMarginMs = 500;
    result.queues = { queue };
    result.services = { { "pool", false, false }, { "other", false, false }, { "spare", false, true } };
    return result;
}

inline WorkerReport report(const std::string& id, std::int64_t incarnation = 1, std::uint64_t sequence = 1)
{
    WorkerReport result;
    result.id = id;
    result.incarnation = incarnation;
    result.service = "pool";
    result.address = "127.0.0.1:" + std::to_string(1000 + std::hash<std::string> {}(id) % 50000);
    result.capacity = { 4000, 4096, 0 };
    result.sequence = sequence;
    return result;
}

inline StepSpec step(std::uint32_t tasks, std::int64_t cpuMilli = 1000)
{
    StepSpec result;
    result.taskCount = tasks;
    result.perTask = { cpuMilli, 100, 0 };
    result.estimateMs = 500;
    return result;
}

inline AcceptJob accept(JobId id, std::vector<StepSpec> steps, std::int64_t nowMs = 1000)
{
    AcceptJob result;
    result.job = id;
    result.queue = "q";
    result.spec.payload = "payload";
    result.spec.steps = std::move(steps);
    result.nowMs = nowMs;
    return result;
}

inline AssignTasks assign(const TaskKey& key, std::uint32_t run, WorkerNumber worker)
{
    return { { { key, run, worker } } };
}

inline RecordTaskEnds ended(WorkerNumber worker, std::uint64_t number, const TaskKey& key, std::uint32_t run,
    TaskEndReason kind, std::string checkpoint = {})
{
    return { worker, { { number, key, run, kind, std::move(checkpoint) } }, 2000 };
}

inline RecordCrash crash(
    const std::string& worker, std::int64_t incarnation, std::vector<CrashedRun> runs, bool isConfirmed = true)
{
    return { worker, incarnation, std::move(runs), isConfirmed, 3000 };
}

} // namespace crocuscove::jobs::testing
