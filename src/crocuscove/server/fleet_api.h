#pragma once

#include "backend_registry.h"
#include "command_submitter.h"
#include "gateway.h"
#include "http_router.h"
#include "job_controller.h"
#include "peer_rpc.h"

namespace crocuscove::server {

/// Admin API for announcements of backend servers and workers, and for submitting, reading and cancelling jobs.
class FleetApi {
public:
    /// The references must outlive this.
    FleetApi(const base::Log& log, Replica& replica, CommandSubmitter& submitter, BackendRegistry& backends,
        const Gateway& gateway, JobController& jobs, PeerRpc& rpc);

    void addRoutes(HttpRouter& router);

    /// Processes a worker's report that another node has forwarded to this leader.
    void handleForwardedReport(const std::string& payload, const PeerRpc::Reply& reply);

private:
    void announceBackend(const http::HttpRequest& request, const http::Responder& responder);
    void announceWorker(const http::HttpRequest& request, const http::Responder& responder);
    void submitJob(const http::HttpRequest& request, const http::Responder& responder);
    void getJob(const base::JobId& job, const http::Responder& responder) const;
    void cancelJob(const base::JobId& job, const http::Responder& responder);
    [[nodiscard]] nlohmann::ordered_json buildBackendResponse(
        const routing::Announcement& announcement, bool isFirst) const;

    const base::Log& m_log;
    Replica& m_replica;
    CommandSubmitter& m_submitter;
    BackendRegistry& m_backends;
    const Gateway& m_gateway;
    JobController& m_jobs;
    PeerRpc& m_rpc;
};

} // namespace crocuscove::server
