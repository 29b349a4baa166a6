#include "cluster.h"
#include "control_api.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/http_server.h"
#include "crocuscove/process/metrics.h"
#include "crocuscove/process/run_process.h"
#include "crocuscove/replication/storage_start.h"
#include "job_api.h"
#include "leader.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace crocuscove::control {

namespace {

/// Answers that are on their way when the node is stopped get this long.
constexpr base::Milliseconds stopDelay { 300 };
/// Limits of the control interface: a manifest with some thousand queues fits.
constexpr std::size_t maxBodyBytes = std::size_t { 1024 } * 1024;

/// A control node: its part in the cluster, the interfaces, and the leader's work while it leads.
class ControlNode {
public:
    ControlNode(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, base::Random& random)
        : m_loop(loop)
        , m_options(options)
        , m_log(log)
        , m_metricsServer(options.metricsListen
                  ? std::make_unique<process::MetricsServer>(loop, *options.metricsListen, m_metrics)
                  : nullptr)
        , m_cluster(loop, options, log, random, clusterHooks())
        , m_controlApi(options, log, m_cluster, controlApiHooks())
        , m_jobApi(log, m_metrics, m_cluster, [this](const jobs::Queue& queue) { return countWaitingJobs(queue); })
        , m_server(loop, serverOptions(options, log),
              [this](const http::HttpRequest& request, const http::Responder& responder) {
                  m_controlApi.handle(request, responder);
              })
    {
        m_metrics.setGauge("storage_available", 1);
    }

    void beginStop()
    {
        m_log.info("stopping");
        m_server.stopAccepting();
        m_stopTimer = m_loop.runAt(base::monotonicNow() + stopDelay, [this] { m_loop.stop(); });
    }

private:
    static http::HttpServerOptions serverOptions(const ControlOptions& options, const base::Log& log)
    {
        http::HttpServerOptions result;
        result.listen = options.listen;
        result.maxBodyBytes = maxBodyBytes;
        result.onHandlerError = [&log](std::string_view cause) { log.error("request_failed", { { "cause", cause } }); };
        return result;
    }

    [[nodiscard]] std::uint64_t countWaitingJobs(const jobs::Queue& queue) const
    {
        return m_leader ? m_leader->countWaitingJobs(queue) : m_cluster.state().countWaitingJobs(queue);
    }

    void showState()
    {
        const jobs::FleetState& state = m_cluster.state();
        m_metrics.setGauge("is_serving_leader", m_cluster.isServing() ? 1 : 0);
        m_metrics.setGauge("jobs", static_cast<double>(state.jobs().size()));
        m_metrics.setGauge("workers", static_cast<double>(state.workers().size()));
        m_metrics.setGauge("configuration_version", static_cast<double>(state.configuration().version));
    }

    ClusterHooks clusterHooks()
    {
        ClusterHooks hooks;
        hooks.onApplied = [this](const std::vector<jobs::Command>& commands) {
            showState();
            if (m_leader) {
                m_leader->onApplied(commands);
            }
        };
        // The leader's part is made and destroyed on its own turn, since the caller may be one of its callbacks.
        hooks.onServing = [this](bool /*isServing*/) {
            m_loop.post([this] {
                showState();
                m_metrics.count("leadership", m_cluster.isServing() ? "gained" : "lost");
                if (!m_cluster.isServing()) {
                    m_leader.reset();
                } else if (!m_leader) {
                    m_leader = std::make_unique<Leader>(m_loop, m_options, m_log, m_metrics, m_cluster);
                }
            });
        };
        hooks.onStorageChange = [this](bool isAvailable) {
            m_metrics.setGauge("storage_available", isAvailable ? 1 : 0);
            m_metrics.count("storage", isAvailable ? "recovered" : "failed");
        };
        hooks.onRequest
            = [this](const ForwardedRequest& request, const JobApi::Reply& reply) { m_jobApi.handle(request, reply); };
        return hooks;
    }

    ControlApiHooks controlApiHooks()
    {
        ControlApiHooks hooks;
        hooks.reportAge = [this](jobs::WorkerNumber worker, std::int64_t clockMs) {
            return m_leader ? m_leader->reportAge(worker, clockMs) : std::nullopt;
        };
        hooks.onLeave = [this](jobs::WorkerNumber worker) {
            if (m_leader) {
                m_leader->checkLeave(worker);
            }
        };
        hooks.askHolder = [this](jobs::WorkerNumber worker, std::function<void(AddressHolder)> callback) {
            if (m_leader) {
                m_leader->askHolder(worker, std::move(callback));
            } else {
                callback(AddressHolder::Unknown);
            }
        };
        hooks.onReport = [this](const jobs::WorkerReport& report) {
            if (m_leader) {
                m_leader->recordCrashBefore(report);
            }
        };
        return hooks;
    }

    http::EventLoop& m_loop;
    const ControlOptions& m_options;
    const base::Log& m_log;
    process::Metrics m_metrics;
    std::unique_ptr<process::MetricsServer> m_metricsServer;
    std::unique_ptr<Leader> m_leader;
    Cluster m_cluster;
    ControlApi m_controlApi;
    JobApi m_jobApi;
    http::HttpServer m_server;
    http::Timer m_stopTimer;
};

/// A control node that starts once its data folder can be opened.
class DelayedNode {
public:
    DelayedNode(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, base::Random& random)
        : m_loop(loop)
        , m_options(options)
        , m_log(log)
        , m_random(random)
        , m_start(loop, log, [this] { m_node.emplace(m_loop, m_options, m_log, m_random); })
    {
    }

    void beginStop()
    {
        if (m_node) {
            m_node->beginStop();
        } else {
            m_loop.stop();
        }
    }

private:
    http::EventLoop& m_loop;
    const ControlOptions& m_options;
    const base::Log& m_log;
    base::Random& m_random;
    std::optional<ControlNode> m_node;
    replication::StorageStart m_start;
};

} // namespace

void runControl(const ControlOptions& options)
{
    const std::uint64_t seed = std::random_device {}();
    base::Random random(seed);
    process::runProcess({ options.name, "control", options.logLevel, process::logLimits(options.logLinesPerEvent) },
        [&](http::EventLoop& loop, const base::Log& log) {
            log.info("started",
                { { "listen", options.listen.text() }, { "first_start", options.isFirstStart },
                    { "seeds", options.seeds.size() }, { "seed", seed } });
            const auto delayed = std::make_shared<DelayedNode>(loop, options, log, random);
            return process::Work { delayed, [delayed] { delayed->beginStop(); } };
        });
}

} // namespace crocuscove::control
