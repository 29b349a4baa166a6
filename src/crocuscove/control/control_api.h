#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/http_server.h"

#include <functional>
#include <string>

namespace crocuscove::control {

/// Answers workers and operators. Nodes that don't lead send them on to the leader.
class ControlApi {
public:
    /// Runs on the leader before a report that changes something is proposed.
    using ReportHook = std::function<void(const jobs::WorkerReport&)>;

    ControlApi(http::EventLoop& loop, const ControlOptions& options, const base::Log& log, Cluster& cluster,
        ReportHook onReport);

    void handle(const http::HttpRequest& request, const http::Responder& responder);

private:
    void redirect(const http::HttpRequest& request, const http::Responder& responder);
    void putConfiguration(const http::HttpRequest& request, const http::Responder& responder);
    void getConfiguration(const http::Responder& responder);
    void reportWorker(const http::HttpRequest& request, const std::string& id, const http::Responder& responder);
    /// Answers a report on a node that doesn't lead, if it changes nothing. Returns false for one that the leader must
    /// see.
    bool answerUnchangedReport(
        const http::HttpRequest& request, const std::string& id, const http::Responder& responder) const;
    void removeWorker(const std::string& id, const http::Responder& responder);
    void startWave(const http::HttpRequest& request, const http::Responder& responder);
    void getWave(const std::string& id, const http::Responder& responder);
    void commit(jobs::Command command, const http::Responder& responder, std::string body);

    http::EventLoop& m_loop;
    const ControlOptions& m_options;
    const base::Log& m_log;
    Cluster& m_cluster;
    ReportHook m_onReport;
};

} // namespace crocuscove::control
