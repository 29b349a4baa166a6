#include "worker_table.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <limits>
#include <string>
#include <utility>

namespace crocuscove::server {

namespace {

/// A worker stops its tasks when it could not renew its lease for this long. The leader treats them as stopped after
/// the same time plus a margin for clock drift.
constexpr base::Milliseconds workerLeaseDuration { 10'000 };
constexpr base::Milliseconds clockDriftMargin { 1000 };
constexpr std::size_t maxWorkers = 100'000;
constexpr std::size_t maxTasksPerWorker = 1024;

constexpr auto taskStateNames = base::enumNames<TaskState>({
    { TaskState::Running, "running" },
    { TaskState::Done, "done" },
    { TaskState::Failed, "failed" },
    { TaskState::Checkpointed, "checkpointed" },
});

template <typename Number> Number readNumber(const nlohmann::json& body, const char* field)
{
    const auto value = body.value(field, std::uint64_t { 0 });
    if (value > std::numeric_limits<Number>::max()) {
        throw base::InvalidInput(fmt::format("{} {} is out of range", field, value));
    }
    return static_cast<Number>(value);
}

state::Resources readResources(const nlohmann::json& body)
{
    return { readNumber<std::uint32_t>(body, "cores"), readNumber<std::uint64_t>(body, "memoryMb"),
        readNumber<std::uint32_t>(body, "accelerators") };
}

TaskReport readTask(const nlohmann::json& body)
{
    const auto name = body.at("state").get<std::string>();
    const auto state = taskStateNames.parse(name);
    if (!state) {
        throw base::InvalidInput("task state '" + name + "' is unknown; allowed: running, done, failed, checkpointed");
    }
    return { base::JobId(body.at("job").get<std::string>()), body.at("token").get<std::uint64_t>(), *state,
        readResources(body) };
}

} // namespace

WorkerReport parseWorkerReport(const nlohmann::json& body)
{
    WorkerReport report;
    report.worker = base::WorkerId(body.at("worker").get<std::string>());
    report.incarnation = body.at("incarnation").get<std::uint64_t>();
    report.vm = base::VmId(body.at("vm").get<std::string>());
    report.dataCentre = base::DataCentreId(body.at("dataCentre").get<std::string>());
    report.rack = base::RackId(body.at("rack").get<std::string>());
    report.capacity = readResources(body);
    const auto tasks = body.value("tasks", nlohmann::json::array());
    if (tasks.size() > maxTasksPerWorker) {
        throw base::InvalidInput(fmt::format("{} tasks; allowed: up to {}", tasks.size(), maxTasksPerWorker));
    }
    std::ranges::transform(tasks, std::back_inserter(report.tasks), readTask);
    report.isLeaving = body.value("state", std::string("serving")) == "leaving";
    return report;
}

bool WorkerTable::report(base::MonotonicTime now, WorkerReport report)
{
    const auto existing = m_workers.find(report.worker);
    const bool isOutdated = existing != m_workers.end() && existing->second.report.incarnation > report.incarnation;
    if (isOutdated || (existing == m_workers.end() && m_workers.size() >= maxWorkers)) {
        return false;
    }
    const auto worker = report.worker;
    m_workers.insert_or_assign(
        worker, WorkerEntry { std::move(report), now + workerLeaseDuration + clockDriftMargin, base::wallNow() });
    return true;
}

void WorkerTable::expire(base::MonotonicTime now)
{
    std::erase_if(m_workers, [&](const auto& worker) { return worker.second.leaseDeadline <= now; });
}

} // namespace crocuscove::server
