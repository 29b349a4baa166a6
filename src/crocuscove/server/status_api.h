#pragma once

#include "backend_registry.h"
#include "gateway.h"
#include "http_router.h"
#include "maintenance_controller.h"
#include "node_table.h"

#include "crocuscove/transport/peer_network.h"

namespace crocuscove::server {

/// Sources of the status and the metrics. The references must outlive the api. Without a platform there is no
/// maintenance controller.
struct StatusSources {
    const Replica& replica;
    const NodeTable& nodes;
    const BackendRegistry& backends;
    const Gateway& gateway;
    const MaintenanceController* maintenance;
    const transport::PeerNetwork& network;
};

/// Status for operators, metrics, and the balancer's checks.
class StatusApi {
public:
    explicit StatusApi(StatusSources sources);

    void addRoutes(HttpRouter& router);

private:
    void status(const http::Responder& responder) const;
    void metrics(const http::Responder& responder) const;
    [[nodiscard]] nlohmann::ordered_json services() const;
    [[nodiscard]] nlohmann::ordered_json service(
        const document::ServiceDocument& document, const state::DocumentRecord& record) const;
    [[nodiscard]] nlohmann::ordered_json nodes() const;
    [[nodiscard]] nlohmann::ordered_json vms() const;
    [[nodiscard]] nlohmann::ordered_json maintenance() const;

    StatusSources m_sources;
};

} // namespace crocuscove::server
