#include "crocuscove/base/error.h"
#include "crocuscove/control/node_settings.h"
#include "crocuscove/entry/entry_options.h"
#include "crocuscove/http/http_server.h"
#include "crocuscove/process/metrics.h"
#include "crocuscove/process/run_process.h"
#include "leader_link.h"
#include "platform/control_paths.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace crocuscove::entry {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
/// How long a request waits for a leader to be found before it is refused: most elections are over by then, and the
/// client still has time to come back. Without a leader for longer than an election, LeaderLink refuses all but
/// cancellings at once.
constexpr base::Milliseconds refuseAfter { 500 };
/// A request that a leader was given is answered as unknown after this time; clients wait for 3 s.
constexpr base::Milliseconds answerTimeout { 2'500 };
/// The next leader is mostly elected by then, and a refusal costs little.
constexpr std::string_view retryAfterSeconds = "1";
/// The balancer sends no new connections once two readiness checks, a second apart, have failed.
constexpr base::Milliseconds drainDelay { 2'500 };
/// Left of the stop timeout when the process ends in any case.
constexpr base::Milliseconds stopMargin { 500 };
constexpr base::Milliseconds stopCheckInterval { 100 };
constexpr base::Milliseconds stateInterval { 1'000 };
constexpr std::size_t maxBodyBytes = 262'144;
constexpr std::size_t maxHeaderBytes = 16'384;
constexpr base::Milliseconds headerTimeout { 3'000 };
constexpr base::Milliseconds idleTimeout { 15'000 };

/// Takes the port off a Host header; host names compare without case.
std::string hostName(std::string_view header)
{
    std::string host(header.substr(0, header.find(':')));
    std::ranges::transform(host, host.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

/// An entry node: takes clients' requests and forwards them to the leader.
class EntryNode {
public:
    EntryNode(http::EventLoop& loop, const EntryOptions& options, const base::Log& log)
        : m_loop(loop)
        , m_options(options)
        , m_log(log)
        , m_metricsServer(options.metricsListen
                  ? std::make_unique<process::MetricsServer>(loop, *options.metricsListen, m_metrics)
                  : nullptr)
        , m_link(loop, options, log)
        , m_server(loop, serverOptions(options, log),
              [this](http::HttpRequest request, const http::Responder& responder) {
                  handle(std::move(request), responder);
              })
        , m_readyServer(
              loop, readyOptions(options), [this](const http::HttpRequest& request, const http::Responder& responder) {
                  answerReadiness(request, responder);
              })
    {
        m_stateTimer = loop.runEvery(stateInterval, [this] { showState(); });
        showState();
    }

    void beginStop()
    {
        if (m_isStopping) {
            return;
        }
        m_isStopping = true;
        m_log.info("stopping", { { "open_requests", m_server.openRequests() } });
        const auto now = base::monotonicNow();
        m_stopAt = now + m_options.stopTimeout - stopMargin;
        m_drainTimer = m_loop.runAt(now + drainDelay, [this] {
            m_server.stopAccepting();
            m_checkTimer = m_loop.runEvery(stopCheckInterval, [this] {
                if (m_server.openRequests() == 0 || base::monotonicNow() >= m_stopAt) {
                    m_loop.stop();
                }
            });
        });
    }

private:
    static http::HttpServerOptions serverOptions(const EntryOptions& options, const base::Log& log)
    {
        http::HttpServerOptions result;
        result.listen = options.listen;
        result.maxBodyBytes = maxBodyBytes;
        result.maxHeaderBytes = maxHeaderBytes;
        result.requestTimeout = headerTimeout;
        result.idleTimeout = idleTimeout;
        result.onHandlerError = [&log](std::string_view cause) { log.error("request_failed", { { "cause", cause } }); };
        return result;
    }

    static http::HttpServerOptions readyOptions(const EntryOptions& options)
    {
        http::HttpServerOptions result;
        result.listen = options.readyListen;
        return result;
    }

    void showState()
    {
        const auto lostAt = m_link.leaderLostAt();
        const std::chrono::duration<double> away
            = lostAt ? base::monotonicNow() - *lostAt : base::MonotonicTime::duration::zero();
        m_metrics.setGauge("leader_away_seconds", away.count());
        m_metrics.setGauge("is_ready", !m_isStopping && m_link.isReady(base::monotonicNow()) ? 1 : 0);
    }

    void answerReadiness(const http::HttpRequest& request, const http::Responder& responder) const
    {
        const bool isReady = !m_isStopping && m_link.isReady(base::monotonicNow());
        http::HttpResponse response;
        response.status = request.path != platform::readinessPath ? 404 : isReady ? 200 : statusUnavailable;
        responder.respond(response);
    }

    void handle(http::HttpRequest request, const http::Responder& responder)
    {
        control::ForwardedRequest forwarded;
        forwarded.method = std::move(request.method);
        forwarded.host = hostName(request.headers.get("Host"));
        forwarded.path = std::move(request.path);
        forwarded.body = std::move(request.body);
        const auto now = base::monotonicNow();
        const std::string path = forwarded.path;
        m_link.request(std::move(forwarded), now + refuseAfter, now + answerTimeout,
            [this, responder, path, now](const RequestResult& result) { answer(responder, path, now, result); });
    }

    void answer(const http::Responder& responder, const std::string& path, base::MonotonicTime receivedAt,
        const RequestResult& result)
    {
        http::HttpResponse response;
        response.status = static_cast<int>(result.status);
        response.body = result.body;
        if (result.failure) {
            const bool isUnknown = *result.failure == RequestFailure::Unknown;
            response.status = isUnknown ? statusTimeout : statusUnavailable;
            const auto waited
                = std::chrono::duration_cast<base::Milliseconds>(base::monotonicNow() - receivedAt).count();
            m_log.warning("request_not_answered",
                { { "path", path }, { "outcome", isUnknown ? "unknown" : "not-executed" }, { "waited_ms", waited } });
            m_metrics.count("request_without_leader", isUnknown ? "unknown" : "not-executed");
        }
        const std::chrono::duration<double> waitedSeconds = base::monotonicNow() - receivedAt;
        m_metrics.count("request", std::to_string(response.status));
        m_metrics.observe("request", waitedSeconds.count());
        if (response.status == statusUnavailable) {
            response.headers.add("Retry-After", std::string(retryAfterSeconds));
        }
        if (!response.body.empty()) {
            response.headers.add("Content-Type", "application/json");
        }
        if (m_isStopping) {
            response.headers.add("Connection", "close");
        }
        responder.respond(response);
    }

    http::EventLoop& m_loop;
    const EntryOptions& m_options;
    const base::Log& m_log;
    process::Metrics m_metrics;
    std::unique_ptr<process::MetricsServer> m_metricsServer;
    LeaderLink m_link;
    http::HttpServer m_server;
    http::HttpServer m_readyServer;
    bool m_isStopping = false;
    base::MonotonicTime m_stopAt;
    http::Timer m_stateTimer;
    http::Timer m_drainTimer;
    http::Timer m_checkTimer;
};

} // namespace

std::vector<base::Setting> entrySettings(EntryOptions& options)
{
    const auto endpointSetting = [](std::string name, const std::string& help, base::Endpoint& target) {
        return base::Setting { std::move(name), help + ", default " + target.text(), "IPv4:PORT",
            [&target](std::string_view value) { target = base::parseEndpoint(value); } };
    };
    return {
        { "name", "name of this VM", "a text",
            [&options](std::string_view value) { options.name = std::string(value); } },
        endpointSetting("listen", "listener for clients", options.listen),
        endpointSetting("ready-listen", "listener of the readiness check", options.readyListen),
        control::internalPortSetting(options.internalPort),
        control::seedsSetting(options.seeds),
        process::metricsSetting(options.metricsListen),
        process::logLinesSetting(options.logLinesPerEvent),
        { "stop-timeout-ms", "ms from SIGTERM to the end, default 6000", "1 to 3600000",
            [&options](std::string_view value) {
                options.stopTimeout = base::Milliseconds(base::parseInteger(value, 1, 3'600'000));
            } },
    };
}

void runEntry(const EntryOptions& options)
{
    process::runProcess({ options.name, "entry", options.logLevel, process::logLimits(options.logLinesPerEvent) },
        [&](http::EventLoop& loop, const base::Log& log) {
            log.info("started", { { "listen", options.listen.text() }, { "seeds", options.seeds.size() } });
            const auto node = std::make_shared<EntryNode>(loop, options, log);
            return process::Work { node, [node] { node->beginStop(); } };
        });
}

} // namespace crocuscove::entry
