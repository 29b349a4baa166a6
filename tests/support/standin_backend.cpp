#include "support/standin_backend.h"

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/error.h"

#include <algorithm>
#include <utility>

namespace crocuscove::testing {

namespace {

constexpr std::size_t maxBodyBytes = 64UL * 1024 * 1024;
constexpr std::int64_t maxRunMs = 3'600'000;
constexpr std::chrono::hours hangTime { 24 };

constexpr auto faultNames = base::enumNames<BackendFault>({
    { BackendFault::None, "none" },
    { BackendFault::Fail, "fail" },
    { BackendFault::Hang, "hang" },
    { BackendFault::WrongEcho, "wrong-echo" },
});

http::HttpServerOptions serverOptions(const StandinBackendOptions& options)
{
    http::HttpServerOptions server;
    server.listen = options.listen;
    server.maxBodyBytes = maxBodyBytes;
    server.maxConnections = static_cast<std::size_t>(options.connections);
    return server;
}

http::HttpResponse jsonResponse(int status, const nlohmann::ordered_json& body)
{
    return { status, { { { "Content-Type", "application/json" } } }, body.dump() };
}

} // namespace

std::optional<BackendFault> parseBackendFault(std::string_view name) { return faultNames.parse(name); }

StandinBackend::StandinBackend(
    http::EventLoop& loop, const base::Log& log, const StandinBackendOptions& options, std::function<void()> onStopped)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_onStopped(std::move(onStopped))
    , m_random(static_cast<base::Random::result_type>(options.seed))
    , m_records(options.recordsFile)
    , m_incarnation(base::wallNow().time_since_epoch().count())
    , m_server(loop, serverOptions(options),
          [this](const http::HttpRequest& request, const http::Responder& responder) { handle(request, responder); })
    , m_announcer(
          loop, log, { options.admins, "/v1/backends/announce", base::Milliseconds(options.announceIntervalMs) },
          [this] { return announcement(); },
          [this](int status, const nlohmann::json& answer) { handleAnswer(status, answer); })
{
    m_log.info("started",
        { { "backend", m_options.backend }, { "port", port() }, { "seed", m_options.seed },
            { "incarnation", m_incarnation } });
    m_announcer.announce();
}

nlohmann::ordered_json StandinBackend::announcement() const
{
    return { { "service", m_options.service }, { "backend", m_options.backend }, { "host", m_options.listen.host },
        { "port", m_options.announcedPort == 0 ? port() : m_options.announcedPort }, { "incarnation", m_incarnation },
        { "vm", m_options.vm }, { "dataCentre", m_options.dataCentre }, { "rack", m_options.rack },
        { "slots", m_options.slots }, { "connections", m_options.connections }, { "inFlight", m_running.size() },
        { "state", m_isLeaving ? "leaving" : "serving" } };
}

void StandinBackend::handleAnswer(int status, const nlohmann::json& answer)
{
    if (status == 409) {
        m_log.error("stale-incarnation", { { "incarnation", m_incarnation } });
        m_announcer.stop();
        m_mayStop = true;
        return leave("stale-incarnation");
    }
    if (answer.value("drain", false)) {
        leave("drain");
    }
    if (m_isLeaving && answer.value("mayStop", false) && !std::exchange(m_mayStop, true)) {
        m_log.info("may-stop", { { "inFlight", m_running.size() } });
    }
    stopWhenDone();
}

void StandinBackend::leave(std::string_view reason)
{
    if (std::exchange(m_isLeaving, true)) {
        return stopWhenDone();
    }
    m_log.info("leaving", { { "reason", reason }, { "inFlight", m_running.size() } });
    m_stopBound = m_loop.runAt(base::monotonicNow() + base::Milliseconds(m_options.stopBoundMs), [this] {
        m_log.warning("stop-bound-reached", { { "inFlight", m_running.size() } });
        m_mayStop = true;
        stopWhenDone();
    });
    m_mayStop = m_mayStop || m_options.admins.empty();
    m_announcer.announce();
    stopWhenDone();
}

void StandinBackend::stopWhenDone()
{
    if (!m_isLeaving || !m_mayStop) {
        return;
    }
    m_server.stopAccepting();
    if (m_running.empty() && m_server.openRequests() == 0 && m_onStopped) {
        m_log.info("stopped", { { "started", m_started }, { "highestInFlight", m_highestInFlight } });
        m_records.append({ { "event", "highest" }, { "inFlight", m_highestInFlight } });
        m_announcer.stop();
        std::exchange(m_onStopped, nullptr)();
    } else if (m_running.empty() && m_onStopped) {
        // An answer is still being sent.
        m_stopBound = m_loop.runAt(base::monotonicNow() + base::Milliseconds(1), [this] { stopWhenDone(); });
    }
}

void StandinBackend::handle(const http::HttpRequest& request, const http::Responder& responder)
{
    if (request.path.starts_with("/standin/")) {
        handleControl(request, responder);
    } else if (m_running.size() >= static_cast<std::size_t>(m_options.slots)) {
        ++m_refused;
        m_records.append({ { "event", "refused" }, { "request", request.headers.get("Crocuscove-Request-Id") },
            { "load", request.headers.get("X-Load-Id") } });
        responder.respond({ 503, { { { "Crocuscove-Refused", "1" } } }, "" });
    } else {
        start(request, responder);
    }
}

void StandinBackend::handleControl(const http::HttpRequest& request, const http::Responder& responder)
{
    if (request.path == "/standin/state") {
        return responder.respond(jsonResponse(200,
            { { "backend", m_options.backend }, { "inFlight", m_running.size() },
                { "highestInFlight", m_highestInFlight }, { "started", m_started }, { "refused", m_refused },
                { "state", m_isLeaving ? "leaving" : "serving" }, { "fault", faultNames.name(m_options.fault) } }));
    }
    const auto fault = parseBackendFault(http::queryParameter(request.query, "kind").value_or(""));
    if (request.path != "/standin/fault" || request.method != "PUT" || !fault) {
        return responder.respond({ 400, {}, "PUT /standin/fault?kind=none|fail|hang|wrong-echo" });
    }
    m_options.fault = *fault;
    m_log.info("fault-changed", { { "fault", faultNames.name(*fault) } });
    responder.respond({ 200, {}, "" });
}

void StandinBackend::start(const http::HttpRequest& request, const http::Responder& responder)
{
    const auto running = m_running.insert(m_running.end(),
        { std::string(request.headers.get("Crocuscove-Request-Id")), std::string(request.headers.get("X-Load-Id")),
            base::wallNow(), {} });
    ++m_started;
    const bool isHighest = m_running.size() > m_highestInFlight;
    m_highestInFlight = std::max(m_highestInFlight, m_running.size());
    record("started", *running,
        { { "method", request.method }, { "path", request.path }, { "key", request.headers.get("Idempotency-Key") },
            { "inFlight", m_running.size() } });
    if (isHighest) {
        m_records.append({ { "event", "highest" }, { "inFlight", m_highestInFlight } });
    }
    const BackendFault fault = drawFault();
    const base::Milliseconds runTime = fault == BackendFault::Fail ? base::Milliseconds(0) : runTimeOf(request);
    if (fault == BackendFault::Hang) {
        // The timer only keeps the answer open.
        running->end = m_loop.runAt(base::monotonicNow() + hangTime, [responder] {});
    } else {
        running->end = m_loop.runAt(
            base::monotonicNow() + runTime, [this, running, responder, fault] { finish(running, responder, fault); });
    }
    if (!m_options.continuesAfterDisconnect || fault == BackendFault::Hang) {
        responder.onDisconnect([this, running] { end(running, "disconnected"); });
    }
}

void StandinBackend::finish(std::list<Running>::iterator running, const http::Responder& responder, BackendFault fault)
{
    const std::string loadId = running->loadId;
    const std::string echo = (fault == BackendFault::WrongEcho ? "wrong-" : "") + running->requestId;
    end(running, fault == BackendFault::Fail ? "failed" : "finished");
    http::HttpResponse response = jsonResponse(
        fault == BackendFault::Fail ? 500 : 200, { { "load", loadId }, { "backend", m_options.backend } });
    response.headers.add("Crocuscove-Request-Id", echo);
    response.headers.add("X-Load-Id", loadId);
    responder.respond(response);
    stopWhenDone();
}

void StandinBackend::end(std::list<Running>::iterator running, std::string_view event)
{
    record(event, *running, { { "ranMs", (base::wallNow() - running->start).count() } });
    m_running.erase(running);
    if (m_running.empty() && m_mayStop) {
        m_stopBound = m_loop.runAt(base::monotonicNow(), [this] { stopWhenDone(); });
    }
}

void StandinBackend::record(std::string_view event, const Running& running, const nlohmann::ordered_json& fields)
{
    nlohmann::ordered_json line { { "event", event }, { "request", running.requestId }, { "load", running.loadId },
        { "backend", m_options.backend }, { "atMs", base::wallNow().time_since_epoch().count() } };
    line.update(fields);
    m_records.append(line);
}

BackendFault StandinBackend::drawFault()
{
    const bool isFaulty = base::randomUnit(m_random) * 100 < static_cast<double>(m_options.faultPercent);
    return isFaulty ? m_options.fault : BackendFault::None;
}

base::Milliseconds StandinBackend::runTimeOf(const http::HttpRequest& request)
{
    try {
        if (const auto header = request.headers.find("X-Run-Ms")) {
            return base::Milliseconds(base::parseInteger(*header, 0, maxRunMs));
        }
    } catch (const base::InvalidInput& error) {
        m_log.warning("invalid-run-time", { { "reason", error.what() } });
    }
    return drawRunTime(m_options.runTimes, m_options.runTimes.medianMs, m_random);
}

} // namespace crocuscove::testing
