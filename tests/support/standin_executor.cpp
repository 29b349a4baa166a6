#include "support/standin_executor.h"

#include "support/odd_rows.h"

#include <algorithm>
#include <utility>

namespace crocuscove::testing {

namespace {

constexpr base::Milliseconds leaseCheckInterval { 50 };
constexpr base::Milliseconds reportTimeout { 1'000 };
/// Starts that were on their way when a smaller capacity was noted arrive within this time.
constexpr base::Milliseconds capacityGrace { 300 };

http::HttpServerOptions serverOptions(const base::Endpoint& listen)
{
    http::HttpServerOptions options;
    options.listen = listen;
    return options;
}

/// Leaves a connection open without an answer.
void leaveOpen(const http::Responder& responder)
{
    static std::vector<http::Responder> silent;
    silent.push_back(responder);
}

/// Tells whether a task crashes its worker: the payload names the end of its name.
bool isDeadly(const std::string& payload, const std::string& task)
{
    static const std::string mark = "deadly=";
    const auto found = payload.find(mark);
    return found != std::string::npos && task.ends_with(payload.substr(found + mark.size()));
}

} // namespace

StandinExecutor::StandinExecutor(http::EventLoop& loop, StandinExecutorOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_records(m_options.recordsFile)
    , m_startedAt(base::monotonicNow())
    , m_born(base::wallNow().time_since_epoch().count())
    , m_countedCpu(m_options.cpu)
    , m_client(loop, http::HttpClientOptions {})
    , m_server(loop, serverOptions(m_options.listen),
          [this](const http::HttpRequest& request, const http::Responder& responder) { handle(request, responder); })
{
    m_reportTimer = loop.runEvery(base::Milliseconds(m_options.reportIntervalMs), [this] { report(); });
    m_leaseTimer = loop.runEvery(leaseCheckInterval, [this] { checkLease(); });
}

void StandinExecutor::checkLease()
{
    if (clockMs() <= m_leaseMs) {
        return;
    }
    while (!m_running.empty()) {
        end(std::string(m_running.begin()->first), "lapsed");
    }
    m_lastEndBeforeLapse = m_lastEnd;
}

std::int64_t StandinExecutor::clockMs() const
{
    const auto elapsed = std::chrono::duration_cast<base::Milliseconds>(base::monotonicNow() - m_startedAt);
    return elapsed.count() * m_options.clockPermille / 1'000;
}

void StandinExecutor::respond(const http::Responder& responder, int status, nlohmann::json body) const
{
    body["clockMs"] = clockMs();
    http::HttpResponse response;
    response.status = status;
    response.body = body.dump();
    if (m_options.hasOddRows) {
        response.body = withOddRows(withOddRows(response.body, "running"), "ended");
    }
    responder.respond(response);
}

void StandinExecutor::record(
    const std::string& event, const std::string& task, std::uint32_t run, const std::string& detail, std::int64_t agoMs)
{
    m_records.append({ { "event", event }, { "task", task }, { "run", run }, { "detail", detail },
        { "atMs", base::wallNow().time_since_epoch().count() - agoMs } });
}

void StandinExecutor::handle(const http::HttpRequest& request, const http::Responder& responder)
{
    if (request.path == "/standin/restart") {
        restart(nlohmann::json::parse(request.body), responder);
        return;
    }
    if (base::monotonicNow() < m_downUntil) {
        leaveOpen(responder);
        return;
    }
    if (request.path == "/standin/capacity") {
        setCpu(nlohmann::json::parse(request.body).at("cpu").get<std::int64_t>());
        respond(responder, 200, nlohmann::json::object());
        return;
    }
    if (request.headers.get("Expect-Instance") != m_options.id) {
        respond(responder, 421, nlohmann::json::object());
        return;
    }
    if (request.path == "/api/run-start") {
        restartForStart();
    }
    if (isLateOrder(request.path)) {
        const auto body = nlohmann::json::parse(request.body);
        record("deferred", body.at("task"), body.at("run"), request.path);
        leaveOpen(responder);
        m_lateOrders.push_back(m_loop.runAt(base::monotonicNow() + base::Milliseconds(m_options.lateOrderDelayMs),
            [this, request, responder] { carryOut(request, responder); }));
        const base::Milliseconds crashAfter(std::exchange(m_options.crashAfterLateOrderMs, 0));
        if (crashAfter.count() > 0) {
            m_crashTimer = m_loop.runAt(base::monotonicNow() + crashAfter,
                [this, task = body.at("task"), run = body.at("run")] { crash(task, run); });
        }
        return;
    }
    carryOut(request, responder);
}

void StandinExecutor::restartForStart()
{
    if (++m_starts != m_options.restartsAtStart) {
        return;
    }
    record("restart", "", 0, m_options.id);
    if (m_hold.responder) {
        leaveOpen(*m_hold.responder);
    }
    beginLife(base::monotonicNow());
}

bool StandinExecutor::isLateOrder(const std::string& path)
{
    const auto now = base::monotonicNow();
    if (m_options.lateOrdersForMs > 0 && !m_lateOrdersUntil && path == "/api/run-start") {
        m_lateOrdersUntil = now + base::Milliseconds(m_options.lateOrdersForMs);
    }
    return m_lateOrdersUntil && now < *m_lateOrdersUntil && (path == "/api/run-start" || path == "/api/run-stop");
}

void StandinExecutor::carryOut(const http::HttpRequest& request, const http::Responder& responder)
{
    const auto body = nlohmann::json::parse(request.body);
    const auto fence = body.value("fence", std::uint64_t { 0 });
    if (fence < m_fence) {
        record("refused", body.value("task", ""), 0, "fence");
        respond(responder, 409, { { "reason", "fence" } });
        return;
    }
    m_fence = fence;
    if (request.path == "/api/run-start") {
        start(body, responder);
    } else if (request.path == "/api/run-stop") {
        stop(body, responder);
    } else if (request.path == "/api/hold") {
        hold(body, responder);
    } else {
        respond(responder, 200, nlohmann::json::object());
    }
}

void StandinExecutor::extendLease(const nlohmann::json& body)
{
    checkLease();
    const std::int64_t deadlineMs = body.value("deadlineMs", std::int64_t { 0 });
    m_leaseMs = std::max(m_leaseMs, std::min(deadlineMs, clockMs() + m_options.maxLeaseMs));
}

void StandinExecutor::start(const nlohmann::json& body, const http::Responder& responder)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    extendLease(body);
    if (m_options.drainsOnStart && !std::exchange(m_isDraining, true)) {
        leaveOpen(responder);
        return;
    }
    if (m_options.refusedStarts > 0) {
        --m_options.refusedStarts;
        record("refused", task, run, "unhealthy");
        respond(responder, 503, nlohmann::json::object());
        return;
    }
    if (m_options.shrinksOnStart >= 0) {
        setCpu(std::exchange(m_options.shrinksOnStart, -1));
        m_unansweredTask = task;
    }
    if (task == m_unansweredTask && m_options.cpu < m_countedCpu) {
        leaveOpen(responder);
        return;
    }
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.number == run) {
        respond(responder, 200, nlohmann::json::object());
        return;
    }
    if (running != m_running.end() || (m_pastRuns.contains(task) && m_pastRuns.at(task) >= run)) {
        record("refused", task, run, "old");
        respond(responder, 409, { { "reason", "old" } });
        return;
    }
    if (body.value("deadlineMs", std::int64_t { 0 }) <= clockMs()) {
        record("refused", task, run, "late");
        respond(responder, 409, { { "reason", "late" } });
        return;
    }
    const auto payload = body.at("spec").get<std::string>();
    const std::int64_t runMs = std::stoll(payload);
    Run& entry = m_running[task];
    entry.number = run;
    if (isDeadly(payload, task)) {
        m_crashTimer = m_loop.runAt(
            base::monotonicNow() + base::Milliseconds(m_options.crashDelayMs), [this, task, run] { crash(task, run); });
    } else if (runMs > 0) {
        entry.end = m_loop.runAt(base::monotonicNow() + base::Milliseconds(runMs), [this, task] { end(task, "done"); });
    }
    record("start", task, run, body.value("checkpoint", ""));
    checkCapacity(task, run);
    if (m_options.unansweredStarts > 0) {
        --m_options.unansweredStarts;
        leaveOpen(responder);
        return;
    }
    respond(responder, 200, nlohmann::json::object());
}

void StandinExecutor::stop(const nlohmann::json& body, const http::Responder& responder)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    m_pastRuns[task] = std::max(m_pastRuns[task], run);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.number == run) {
        end(task, "stopped");
    }
    if (m_options.unansweredStops > 0) {
        --m_options.unansweredStops;
        leaveOpen(responder);
        return;
    }
    respond(responder, 200, nlohmann::json::object());
}

// A process that was stopped learns late that its lease has ended; what ran has ended with the lease.
void StandinExecutor::end(const std::string& task, std::string how)
{
    if (!m_running.contains(task)) {
        // The lease ended it in the same turn in which its timer ran out.
        return;
    }
    const std::int64_t overdueMs = std::max<std::int64_t>(0, clockMs() - m_leaseMs);
    if (overdueMs > 0 && how == "done") {
        how = "lapsed";
    }
    // Kept until the end: the timer of the run may be what calls this.
    const auto run = std::make_shared<Run>(std::move(m_running.at(task)));
    m_running.erase(task);
    m_pastRuns[task] = std::max(m_pastRuns[task], run->number);
    m_ended.push_back(nlohmann::json::array({ ++m_lastEnd, task, run->number, how, "" }));
    record("end", task, run->number, how, how == "lapsed" ? overdueMs : 0);
    m_loop.post([run] { run->end.cancel(); });
    answerHold();
}

void StandinExecutor::crash(const std::string& task, std::uint32_t run)
{
    record("crash", task, run, m_options.id);
    m_hold.responder.reset();
    m_downUntil = base::monotonicNow() + base::Milliseconds(m_options.crashMs);
    if (m_options.renamesAfterCrash) {
        m_options.id += "." + std::to_string(++m_crashes);
    }
    beginLife(m_downUntil);
}

void StandinExecutor::restart(const nlohmann::json& body, const http::Responder& responder)
{
    m_options.id = body.at("id").get<std::string>();
    beginLife(base::monotonicNow() + base::Milliseconds(body.at("afterMs").get<std::int64_t>()));
    respond(responder, 200, nlohmann::json::object());
}

void StandinExecutor::beginLife(base::MonotonicTime reportsFrom)
{
    while (!m_running.empty()) {
        end(std::string(m_running.begin()->first), "killed");
    }
    m_hold.responder.reset();
    m_pastRuns.clear();
    m_ended.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseMs = 0;
    m_lastEndBeforeLapse = 0;
    m_sequence = 0;
    m_born = base::wallNow().time_since_epoch().count();
    m_startedAt = base::monotonicNow();
    m_reportsFrom = reportsFrom;
}

void StandinExecutor::setCpu(std::int64_t cpu)
{
    m_options.cpu = cpu;
    m_countedCpu = std::max(m_countedCpu, cpu);
    m_countTimer.reset();
}

void StandinExecutor::noteReported(std::int64_t cpu)
{
    if (cpu != m_options.cpu || cpu >= m_countedCpu || m_countTimer) {
        return;
    }
    m_countTimer = m_loop.runAt(base::monotonicNow() + capacityGrace, [this, cpu] {
        m_countedCpu = cpu;
        record("capacity-counts", "", 0, std::to_string(cpu));
    });
}

void StandinExecutor::checkCapacity(const std::string& task, std::uint32_t run)
{
    const std::int64_t used = static_cast<std::int64_t>(m_running.size()) * m_options.taskCpu;
    if (used > m_countedCpu) {
        record("over-capacity", task, run, std::to_string(used));
    }
}

void StandinExecutor::hold(const nlohmann::json& body, const http::Responder& responder)
{
    extendLease(body);
    const auto cursor = body.at("ackCursor").get<std::uint64_t>();
    std::erase_if(m_ended, [&](const nlohmann::json& row) {
        const bool isNoted = row[0].get<std::uint64_t>() <= cursor;
        if (isNoted && row[0].get<std::uint64_t>() > m_lastEndBeforeLapse) {
            record("noted", row[1], row[2], row[3]);
        }
        return isNoted;
    });
    answerHold();
    m_hold.responder = std::make_shared<http::Responder>(responder);
    const auto waitMs = body.value("waitMs", std::int64_t { 0 });
    if (!m_ended.empty() || waitMs == 0) {
        answerHold();
        return;
    }
    m_hold.timeout = m_loop.runAt(base::monotonicNow() + base::Milliseconds(waitMs), [this] { answerHold(); });
}

void StandinExecutor::answerHold()
{
    const auto responder = std::exchange(m_hold.responder, nullptr);
    if (!responder) {
        return;
    }
    nlohmann::json running = nlohmann::json::array();
    for (const auto& [task, run] : m_running) {
        running.push_back(nlohmann::json::array({ task, run.number, "", 100, 0 }));
    }
    respond(*responder, 200, { { "running", running }, { "ended", m_ended }, { "born", m_born } });
}

void StandinExecutor::report()
{
    if (m_options.controls.empty() || base::monotonicNow() < m_reportsFrom) {
        return;
    }
    const base::Endpoint control = m_options.controls[m_nextControl++ % m_options.controls.size()];
    const nlohmann::json body { { "service", m_options.service },
        { "address",
            (m_options.advertise.port != 0 ? m_options.advertise
                                           : base::Endpoint { m_options.listen.host, m_server.port() })
                .text() },
        { "zone", "z" }, { "version", "v1" }, { "slots", 8 }, { "state", m_isDraining ? "draining" : "ready" },
        { "coldLeftMs", 0 }, { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", 0 } } },
        { "labels", { "a", m_options.rack } }, { "clockMs", clockMs() }, { "seq", ++m_sequence }, { "born", m_born } };
    http::HttpRequest request;
    request.method = "PUT";
    request.path = "/api/instances/" + m_options.id;
    request.body = body.dump();
    // A node that doesn't lead sends on to the leader, which is among the nodes that are asked in turn.
    m_client.call(control, request, base::monotonicNow() + reportTimeout,
        [this, isDraining = m_isDraining, cpu = m_options.cpu](const http::ExchangeResult& result) {
            if (!result.response || result.response->status != 200) {
                return;
            }
            noteReported(cpu);
            if (isDraining) {
                record("draining-noted", "", 0, "");
            }
        });
}

} // namespace crocuscove::testing
