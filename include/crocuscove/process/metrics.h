#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <optional>
#include <string>

namespace crocuscove::process {

/// Counters, gauges and duration histograms of one process. Names follow the Prometheus conventions.
class Metrics {
public:
    Metrics();

    /// Counts one event of a kind, such as the outcome of a request.
    void count(const std::string& event, const std::string& outcome);
    void setGauge(const std::string& name, double value);
    /// Records the duration of an operation.
    void observe(const std::string& operation, double seconds);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_events;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Family<prometheus::Histogram>& m_durations;
};

/// Serves the metrics of a process under /metrics.
class MetricsServer {
public:
    /// Throws base::Error when the address cannot be bound. `metrics` must outlive the server.
    MetricsServer(http::EventLoop& loop, const base::Endpoint& listen, const Metrics& metrics);
    ~MetricsServer();
    MetricsServer(const MetricsServer&) = delete;
    MetricsServer& operator=(const MetricsServer&) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Returns the setting --metrics-listen.
base::Setting metricsSetting(std::optional<base::Endpoint>& target);

} // namespace crocuscove::process
