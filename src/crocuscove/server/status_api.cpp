#include "status_api.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <string>

namespace crocuscove::server {

namespace {

using Json = nlohmann::ordered_json;

bool isInService(const routing::BackendView& view)
{
    return view.phase == routing::BackendPhase::InService || view.phase == routing::BackendPhase::SlowStart;
}

void setGauge(prometheus::Registry& registry, const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

void setCounter(prometheus::Registry& registry, const std::string& name, const std::string& help,
    const std::map<std::string, std::string>& labels, std::uint64_t value)
{
    prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels).Increment(
        static_cast<double>(value));
}

} // namespace

StatusApi::StatusApi(StatusSources sources)
    : m_sources(sources)
{
}

void StatusApi::addRoutes(HttpRouter& router)
{
    router.add("GET", "/v1/status", [this](const auto&, auto&, const auto& responder) { respondStatus(responder); });
    router.add("GET", "/metrics", [this](const auto&, auto&, const auto& responder) { respondMetrics(responder); });
    router.add("GET", "/healthz/live", [](const auto&, auto&, const auto& responder) {
        respondJson(responder, 200, { { "live", true } });
    });
    router.add("GET", "/healthz/ready", [this](const auto&, auto&, const auto& responder) {
        const bool isReady = m_sources.nodes.isReady();
        respondJson(responder, isReady ? 200 : 503, { { "ready", isReady } });
    });
}

void StatusApi::respondStatus(const http::Responder& responder) const
{
    respondJson(responder, 200,
        { { "services", buildServices() }, { "nodes", buildNodes() }, { "vms", buildVms() },
            { "maintenance", buildMaintenance() } });
}

Json StatusApi::buildServices() const
{
    Json list = Json::array();
    for (const auto& [id, record] : m_sources.replica.state().documents()) {
        const auto* document = m_sources.replica.state().serviceDocument(id);
        if (document != nullptr) {
            list.push_back(buildService(*document, record));
        }
    }
    return list;
}

Json StatusApi::buildService(const document::ServiceDocument& document, const state::DocumentRecord& record) const
{
    const auto views = m_sources.backends.directory().views(document.service);
    const auto wanted = document.pool.executors.minimum;
    Json reasons = Json::array();
    std::ranges::for_each(views, [&](const routing::BackendView& view) {
        if (!isInService(view)) {
            reasons.push_back(
                fmt::format("{} is {}", view.backend.text(), routing::backendPhaseNames.name(view.phase)));
        }
    });
    if (views.size() < wanted) {
        reasons.push_back(fmt::format("{} of {} executors announce themselves", views.size(), wanted));
    }
    std::ranges::for_each(m_sources.nodes.nodes(), [&](const NodeView& node) {
        if (!node.isReachable) {
            reasons.push_back(fmt::format("node {} is unreachable", node.status.node.text()));
        } else if (node.status.applied < record.revisions.back().index) {
            reasons.push_back(
                fmt::format("node {} has not applied revision {}", node.status.node.text(), record.revision()));
        }
    });
    return { { "service", document.service.text() }, { "revision", record.revision() }, { "wanted", wanted },
        { "inService", std::ranges::count_if(views, isInService) }, { "reasons", reasons } };
}

Json StatusApi::buildNodes() const
{
    Json list = Json::array();
    std::ranges::transform(m_sources.nodes.nodes(), std::back_inserter(list), [](const NodeView& view) {
        const std::string role = view.status.isVoter ? (view.status.isEntry ? "entry,voter" : "voter") : "entry";
        return Json { { "node", view.status.node.text() }, { "role", role }, { "leader", view.status.isLeader },
            { "applied", view.status.applied }, { "ready", view.isReachable && view.status.isReady },
            { "reachable", view.isReachable } };
    });
    return list;
}

Json StatusApi::buildVms() const
{
    Json list = Json::array();
    std::ranges::transform(m_sources.replica.state().vms(), std::back_inserter(list), [](const auto& entry) {
        const state::VmRecord& record = entry.second;
        return Json { { "vm", record.vm.text() }, { "pool", record.pool.text() },
            { "phase", state::vmPhaseName(record.phase) }, { "reason", state::vmReasonName(record.reason) },
            { "lastMaintainedMs", record.lastMaintained.time_since_epoch().count() } };
    });
    return list;
}

Json StatusApi::buildMaintenance() const
{
    if (m_sources.maintenance == nullptr) {
        return { { "state", "no platform is configured" } };
    }
    if (!m_sources.replica.isLeader()) {
        return { { "state", "see the leader" }, { "leader", m_sources.replica.leader().text() } };
    }
    const auto& plan = m_sources.maintenance->plan();
    Json pauses = Json::array();
    std::ranges::transform(plan.pauses, std::back_inserter(pauses), [](const maintenance::MaintenancePause& pause) {
        const std::string scope
            = pause.pool ? pause.pool->text() : (pause.dataCentre ? pause.dataCentre->text() : "fleet");
        return Json { { "scope", scope }, { "reason", maintenance::pauseReasonName(pause.reason) },
            { "vms", pause.vms } };
    });
    Json body { { "state", pauses.empty() ? "running" : "paused" }, { "done", plan.progress.done },
        { "remaining", plan.progress.remaining }, { "stopped", plan.progress.running },
        { "overdue", plan.progress.overdue }, { "lost", plan.progress.lost }, { "pauses", pauses } };
    if (plan.progress.expectedEnd) {
        body["expectedEndMs"] = plan.progress.expectedEnd->time_since_epoch().count();
    }
    return body;
}

void StatusApi::respondMetrics(const http::Responder& responder) const
{
    prometheus::Registry registry;
    const auto& counters = m_sources.gateway.counters();
    const std::string requestsHelp = "Clients' requests by the outcome they were told";
    setCounter(registry, "crocuscove_requests_total", requestsHelp, { { "outcome", "executed" } }, counters.executed);
    setCounter(
        registry, "crocuscove_requests_total", requestsHelp, { { "outcome", "not-executed" } }, counters.notExecuted);
    setCounter(registry, "crocuscove_requests_total", requestsHelp, { { "outcome", "unknown" } }, counters.unknown);
    setCounter(registry, "crocuscove_attempts_total", "Attempts at backend servers", {}, counters.dispatched);
    setCounter(registry, "crocuscove_retries_total", "Attempts that were retries", {}, counters.retried);
    const auto& network = m_sources.network.counters();
    setCounter(registry, "crocuscove_peer_messages_sent_total", "Messages sent to other nodes", {}, network.sent);
    setCounter(registry, "crocuscove_peer_bytes_sent_total", "Bytes sent to other nodes", {}, network.sentBytes);
    setCounter(
        registry, "crocuscove_peer_messages_dropped_total", "Messages dropped before sending", {}, network.dropped);
    setCounter(registry, "crocuscove_peer_messages_received_total", "Messages received from other nodes", {},
        network.received);
    setCounter(registry, "crocuscove_peer_messages_refused_total", "Messages refused", {}, network.refused);
    setGauge(registry, "crocuscove_requests_open", "Requests that are not concluded",
        static_cast<double>(m_sources.gateway.openRequests()));
    setGauge(registry, "crocuscove_requests_queued", "Requests that wait for a slot",
        static_cast<double>(m_sources.gateway.queued()));
    setGauge(registry, "crocuscove_applied_index", "Last log entry applied",
        static_cast<double>(m_sources.replica.appliedIndex()));
    setGauge(registry, "crocuscove_leader", "1 when this node leads", m_sources.replica.isLeader() ? 1 : 0);
    setGauge(registry, "crocuscove_ready", "1 when this node is ready", m_sources.nodes.isReady() ? 1 : 0);
    http::HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = prometheus::TextSerializer().Serialize(registry.Collect());
    responder.respond(response);
}

} // namespace crocuscove::server
