#include "crocuscove/process/metrics.h"

#include "crocuscove/http/http_server.h"

#include <prometheus/text_serializer.h>

namespace crocuscove::process {

namespace {

/// Upper bounds in seconds, from a call within a data centre to the longest time that a client waits.
const prometheus::Histogram::BucketBoundaries durationBounds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1,
    2, 5, 10 };

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_events(prometheus::BuildCounter()
                   .Name("crocuscove_events_total")
                   .Help("Events by kind and outcome")
                   .Register(*m_registry))
    , m_gauges(prometheus::BuildGauge().Name("crocuscove_state").Help("Current values by name").Register(*m_registry))
    , m_durations(prometheus::BuildHistogram()
                      .Name("crocuscove_operation_duration_seconds")
                      .Help("Durations by operation")
                      .Register(*m_registry))
{
}

void Metrics::count(const std::string& event, const std::string& outcome)
{
    m_events.Add({ { "event", event }, { "outcome", outcome } }).Increment();
}

void Metrics::setGauge(const std::string& name, double value) { m_gauges.Add({ { "name", name } }).Set(value); }

void Metrics::observe(const std::string& operation, double seconds)
{
    m_durations.Add({ { "operation", operation } }, durationBounds).Observe(seconds);
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

class MetricsServer::Impl {
public:
    Impl(http::EventLoop& loop, const base::Endpoint& listen, const Metrics& metrics)
        : m_server(
            loop, options(listen), [&metrics](const http::HttpRequest& request, const http::Responder& responder) {
                http::HttpResponse response;
                response.status = request.path == "/metrics" ? 200 : 404;
                if (response.status == 200) {
                    response.headers.add("Content-Type", "text/plain; version=0.0.4");
                    response.body = metrics.text();
                }
                responder.respond(response);
            })
    {
    }

private:
    static http::HttpServerOptions options(const base::Endpoint& listen)
    {
        http::HttpServerOptions result;
        result.listen = listen;
        return result;
    }

    http::HttpServer m_server;
};

MetricsServer::MetricsServer(http::EventLoop& loop, const base::Endpoint& listen, const Metrics& metrics)
    : m_impl(std::make_unique<Impl>(loop, listen, metrics))
{
}

MetricsServer::~MetricsServer() = default;

base::Setting metricsSetting(std::optional<base::Endpoint>& target)
{
    return { "metrics-listen", "listener of the metrics, default none", "IPv4:PORT",
        [&target](std::string_view value) { target = base::parseEndpoint(value); } };
}

} // namespace crocuscove::process
