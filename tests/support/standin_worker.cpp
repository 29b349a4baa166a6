#include "support/standin_worker.h"

#include <algorithm>
#include <utility>

namespace crocuscove::testing {

namespace {

constexpr std::size_t maxTasks = 10'000;
constexpr std::chrono::seconds endedTaskRetention { 30 };
constexpr std::string_view runningState = "running";

} // namespace

StandinWorker::StandinWorker(
    http::EventLoop& loop, const base::Log& log, const StandinWorkerOptions& options, std::function<void()> onStopped)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_onStopped(std::move(onStopped))
    , m_random(static_cast<base::Random::result_type>(options.seed))
    , m_records(options.recordsFile)
    , m_incarnation(base::wallNow().time_since_epoch().count())
    , m_announcer(
          loop, log, { options.admins, "/v1/workers/announce", base::Milliseconds(options.announceIntervalMs) },
          [this] { return announcement(); },
          [this](int status, const nlohmann::json& answer) { handleAnswer(status, answer); })
{
    m_log.info(
        "started", { { "worker", m_options.worker }, { "seed", m_options.seed }, { "incarnation", m_incarnation } });
    m_announcer.announce();
}

nlohmann::ordered_json StandinWorker::announcement() const
{
    nlohmann::ordered_json tasks = nlohmann::ordered_json::array();
    for (const auto& [job, task] : m_tasks) {
        const bool isRunning = task.state == runningState;
        tasks.push_back({ { "job", job }, { "token", task.token }, { "state", task.state },
            { "cores", isRunning ? m_options.taskCores : 0 }, { "memoryMb", isRunning ? m_options.taskMemoryMb : 0 } });
    }
    return { { "worker", m_options.worker }, { "incarnation", m_incarnation }, { "vm", m_options.vm },
        { "dataCentre", m_options.dataCentre }, { "rack", m_options.rack }, { "cores", m_options.cores },
        { "memoryMb", m_options.memoryMb }, { "accelerators", m_options.accelerators }, { "tasks", tasks },
        { "state", m_isLeaving ? "leaving" : "serving" } };
}

void StandinWorker::handleAnswer(int status, const nlohmann::json& answer)
{
    if (status == 409) {
        m_log.error("stale-incarnation", { { "incarnation", m_incarnation } });
        m_announcer.stop();
        m_mayStop = true;
        return leave("stale-incarnation");
    }
    const nlohmann::json none = nlohmann::json::array();
    std::ranges::for_each(answer.value("stop", none), [this](const nlohmann::json& order) { stopTask(order); });
    std::ranges::for_each(answer.value("start", none), [this](const nlohmann::json& order) { startTask(order); });
    forgetEnded();
    if (answer.value("drain", false)) {
        leave("drain");
    }
    m_mayStop = m_mayStop || (m_isLeaving && answer.value("mayStop", false));
    stopWhenDone();
}

void StandinWorker::startTask(const nlohmann::json& order)
{
    const std::string job = order.at("job");
    const std::int64_t token = order.at("token");
    const auto known = m_tasks.find(job);
    const bool isStale = known != m_tasks.end() && token <= known->second.token;
    if (m_isLeaving || isStale || m_tasks.size() >= maxTasks) {
        // A repeated order for a known token is normal, since orders repeat until the next announcement.
        if (!isStale || token < known->second.token) {
            m_log.warning("start-refused", { { "job", job }, { "token", token }, { "leaving", m_isLeaving } });
        }
        return;
    }
    const bool isFromCheckpoint = order.value("checkpoint", false);
    base::Milliseconds runTime = drawRunTime(m_options.runTimes, m_options.runTimes.medianMs, m_random);
    if (m_options.failsEverything) {
        runTime = base::Milliseconds(0);
    } else if (isFromCheckpoint) {
        runTime /= 2;
    }
    m_records.append({ { "event", "started" }, { "job", job }, { "token", token }, { "worker", m_options.worker },
        { "incarnation", m_incarnation }, { "checkpoint", isFromCheckpoint },
        { "atMs", base::wallNow().time_since_epoch().count() } });
    Task& task = m_tasks[job];
    task = { token, std::string(runningState), base::monotonicNow() + runTime, {} };
    scheduleEnd(job, task);
    m_announcer.announce();
}

void StandinWorker::scheduleEnd(const std::string& job, Task& task)
{
    task.timer = m_loop.runAt(task.end, [this, job] { endTask(job, m_options.failsEverything ? "failed" : "done"); });
}

void StandinWorker::stopTask(const nlohmann::json& order)
{
    const std::string job = order.at("job");
    const auto entry = m_tasks.find(job);
    if (entry == m_tasks.end() || entry->second.token != order.at("token").get<std::int64_t>()) {
        return;
    }
    Task& task = entry->second;
    const std::string how = order.value("how", "stop");
    if (task.state != runningState) {
        m_tasks.erase(entry); // The leader knows that it has ended.
    } else if (how == "throttle") {
        const auto now = base::monotonicNow();
        task.end = now + (task.end - now) * 2;
        scheduleEnd(job, task);
    } else {
        endTask(job, how == "checkpoint" ? "checkpointed" : "failed");
    }
}

void StandinWorker::endTask(const std::string& job, std::string_view state)
{
    Task& task = m_tasks.at(job);
    task.timer.cancel();
    task.state = state;
    task.end = base::monotonicNow();
    m_records.append({ { "event", "ended" }, { "job", job }, { "token", task.token }, { "state", state },
        { "worker", m_options.worker }, { "atMs", base::wallNow().time_since_epoch().count() } });
    m_announcer.announce();
    stopWhenDone();
}

void StandinWorker::forgetEnded()
{
    const auto now = base::monotonicNow();
    std::erase_if(m_tasks, [&](const auto& entry) {
        return entry.second.state != runningState && entry.second.end + endedTaskRetention < now;
    });
}

bool StandinWorker::isRunningTasks() const
{
    return std::ranges::any_of(m_tasks, [](const auto& entry) { return entry.second.state == runningState; });
}

void StandinWorker::leave(std::string_view reason)
{
    if (!std::exchange(m_isLeaving, true)) {
        m_log.info("leaving", { { "reason", reason }, { "tasks", m_tasks.size() } });
        m_stopBound = m_loop.runAt(base::monotonicNow() + base::Milliseconds(m_options.stopBoundMs), [this] {
            m_log.warning("stop-bound-reached", { { "tasks", m_tasks.size() } });
            m_mayStop = true;
            stopWhenDone();
        });
        m_mayStop = m_mayStop || m_options.admins.empty();
        m_announcer.announce();
    }
    stopWhenDone();
}

void StandinWorker::stopWhenDone()
{
    if (m_isLeaving && m_mayStop && !isRunningTasks() && m_onStopped) {
        m_log.info("stopped");
        m_announcer.stop();
        std::exchange(m_onStopped, nullptr)();
    }
}

} // namespace crocuscove::testing
