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

/// Counters, gauges and latency histograms of one process, by the naming conventions of Prometheus.
class Metrics {
public:
    Metrics();

    /// Counts one event of a kind, such as the outcome of a request.
    void count(const std::string& event, const std::string& outcome);
    void setGauge(const std::string& name, double value);
    /// Notes how long an operation took.
    void observe(const std::string& operation, double seconds);

    /// Returns the text format of Prometheus.
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
    /// Throws base::Error when the address can't be bound.
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
