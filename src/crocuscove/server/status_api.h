#pragma once

#include "backend_registry.h"
#include "gateway.h"
#include "http_router.h"
#include "maintenance_controller.h"
#include "node_table.h"

#include "crocuscove/transport/peer_network.h"

namespace crocuscove::server {

/// Objects that StatusApi reads from. They must outlive it. `maintenance` is null when no platform is configured.
struct StatusSources {
    const Replica& replica;
    const NodeTable& nodes;
    const BackendRegistry& backends;
    const Gateway& gateway;
    const MaintenanceController* maintenance;
    const transport::PeerNetwork& network;
};

/// Admin API for the cluster status, Prometheus metrics, and the health checks of load balancers.
class StatusApi {
public:
    explicit StatusApi(StatusSources sources);

    void addRoutes(HttpRouter& router);

private:
    void respondStatus(const http::Responder& responder) const;
    void respondMetrics(const http::Responder& responder) const;
    [[nodiscard]] nlohmann::ordered_json buildServices() const;
    [[nodiscard]] nlohmann::ordered_json buildService(
        const document::ServiceDocument& document, const state::DocumentRecord& record) const;
    [[nodiscard]] nlohmann::ordered_json buildNodes() const;
    [[nodiscard]] nlohmann::ordered_json buildVms() const;
    [[nodiscard]] nlohmann::ordered_json buildMaintenance() const;

    StatusSources m_sources;
};

} // namespace crocuscove::server
