#include "fleet_api.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <limits>
#include <string>
#include <utility>

namespace crocuscove::server {

namespace {

using Json = nlohmann::ordered_json;

constexpr base::Milliseconds forwardTimeout { 2000 };
constexpr base::Milliseconds jobCommandTimeout { 5000 };
/// Slots are leased only after a second announcement, so a new backend server is asked to renew early.
constexpr base::Milliseconds firstRenewalInterval { 100 };
constexpr std::uint64_t maxExpectedSeconds = 366ULL * 24 * 3600;

std::uint32_t readCount(const nlohmann::json& body, const char* field, std::uint32_t minimum, std::uint32_t maximum)
{
    const auto value = body.at(field).get<std::int64_t>();
    if (value < minimum || value > maximum) {
        throw base::InvalidInput(fmt::format("{} {}: out of range; allowed: {} to {}", field, value, minimum, maximum));
    }
    return static_cast<std::uint32_t>(value);
}

routing::Announcement parseAnnouncement(const nlohmann::json& body)
{
    constexpr std::uint32_t maxSlots = 1024;
    constexpr std::uint32_t maxConnections = 65536;
    routing::Announcement announcement;
    announcement.service = base::ServiceId(body.at("service").get<std::string>());
    announcement.backend = base::BackendId(body.at("backend").get<std::string>());
    announcement.port
        = static_cast<std::uint16_t>(readCount(body, "port", 1, std::numeric_limits<std::uint16_t>::max()));
    const auto host = body.at("host").get<std::string>();
    announcement.host = base::parseEndpoint(base::Endpoint { host, announcement.port }.text()).host;
    announcement.incarnation = body.at("incarnation").get<std::uint64_t>();
    announcement.vm = base::VmId(body.at("vm").get<std::string>());
    announcement.dataCentre = base::DataCentreId(body.at("dataCentre").get<std::string>());
    announcement.rack = base::RackId(body.at("rack").get<std::string>());
    announcement.slots = readCount(body, "slots", 1, maxSlots);
    announcement.connections = readCount(body, "connections", 1, maxConnections);
    announcement.inFlight = readCount(body, "inFlight", 0, maxConnections);
    const auto stateName = body.at("state").get<std::string>();
    const auto state = routing::backendStateNames.parse(stateName);
    if (!state) {
        throw base::InvalidInput("state '" + stateName + "' is unknown; allowed: serving, leaving");
    }
    announcement.state = *state;
    return announcement;
}

state::JobSpec parseJob(const nlohmann::json& body)
{
    constexpr std::uint32_t maxCores = 4096;
    state::JobSpec spec;
    spec.job = base::JobId(body.at("job").get<std::string>());
    spec.team = base::TeamId(body.at("team").get<std::string>());
    spec.declared.cores = readCount(body, "cores", 0, maxCores);
    spec.declared.memoryMb = readCount(body, "memoryMb", 0, std::numeric_limits<std::uint32_t>::max());
    spec.declared.accelerators = body.contains("accelerators") ? readCount(body, "accelerators", 0, maxCores) : 0;
    spec.isIdempotent = body.at("idempotent").get<bool>();
    spec.isUrgent = body.value("urgent", false);
    spec.expectedSeconds = body.value("expectedSeconds", std::uint64_t { 0 });
    if (spec.expectedSeconds > maxExpectedSeconds) {
        throw base::InvalidInput(fmt::format("expectedSeconds: out of range; allowed: 0 to {}", maxExpectedSeconds));
    }
    return spec;
}

Json jobJson(const state::JobRecord& job)
{
    return { { "job", job.spec.job.text() }, { "state", state::jobStateName(job.state) }, { "reason", job.reason },
        { "worker", job.worker.text() }, { "token", job.token }, { "starts", job.starts } };
}

} // namespace

FleetApi::FleetApi(const base::Log& log, Replica& replica, CommandSubmitter& submitter, BackendRegistry& backends,
    const Gateway& gateway, JobController& jobs, PeerRpc& rpc)
    : m_log(log)
    , m_replica(replica)
    , m_submitter(submitter)
    , m_backends(backends)
    , m_gateway(gateway)
    , m_jobs(jobs)
    , m_rpc(rpc)
{
}

void FleetApi::addRoutes(HttpRouter& router)
{
    router.add("POST", "/v1/backends/announce",
        [this](const auto&, auto& request, const auto& responder) { announceBackend(request, responder); });
    router.add("POST", "/v1/workers/announce",
        [this](const auto&, auto& request, const auto& responder) { announceWorker(request, responder); });
    router.add("POST", "/v1/jobs",
        [this](const auto&, auto& request, const auto& responder) { submitJob(request, responder); });
    router.add("GET", "/v1/jobs/{job}", [this](const auto& parameters, auto&, const auto& responder) {
        getJob(base::JobId(parameters[0]), responder);
    });
    router.add("POST", "/v1/jobs/{job}/cancel", [this](const auto& parameters, auto&, const auto& responder) {
        cancelJob(base::JobId(parameters[0]), responder);
    });
}

void FleetApi::announceBackend(const http::HttpRequest& request, const http::Responder& responder)
{
    const auto announcement = parseAnnouncement(nlohmann::json::parse(request.body));
    const auto reason = m_backends.announce(announcement);
    using routing::MergeReason;
    if (reason == MergeReason::Added || reason == MergeReason::Renewed || reason == MergeReason::Restarted) {
        respondJson(responder, 200, buildBackendResponse(announcement, reason != MergeReason::Renewed));
        return;
    }
    m_log.warning("announcement_refused",
        { { "backend", announcement.backend.text() }, { "service", announcement.service.text() },
            { "incarnation", announcement.incarnation }, { "reason", routing::mergeReasonNames.name(reason) } });
    respondError(responder, 409, routing::mergeReasonNames.name(reason));
}

Json FleetApi::buildBackendResponse(const routing::Announcement& announcement, bool isFirst) const
{
    const auto record = m_replica.state().vms().find(announcement.vm);
    const bool isKnown = record != m_replica.state().vms().end();
    const bool isDraining = isKnown && record->second.phase == state::VmPhase::Draining;
    const bool isRebooting = isKnown && record->second.phase == state::VmPhase::Rebooting;
    const auto renewal = isFirst ? firstRenewalInterval : routing::announcementRenewal;
    const auto inFlight = m_gateway.inFlightAt(announcement.service, announcement.backend);
    const auto stop = m_backends.directory().mayStop(base::monotonicNow(), announcement.backend, inFlight);
    // A backend server keeps announcing itself while its VM drains, so that the drain can still be cancelled.
    const bool mayStop = stop == routing::StopReason::MayStop && !isDraining;
    return { { "renewWithinMs", renewal.count() }, { "drain", isDraining || isRebooting }, { "mayStop", mayStop } };
}

void FleetApi::announceWorker(const http::HttpRequest& request, const http::Responder& responder)
{
    const auto report = parseWorkerReport(nlohmann::json::parse(request.body));
    if (m_replica.isServing()) {
        const auto answer = m_jobs.handleReport(report);
        respondJson(responder, answer.contains("error") ? 409 : 200, answer);
        return;
    }
    if (m_replica.isLeader()) {
        // The state may lack the run of a task that the worker reports, which would be forgotten and started again.
        respondError(responder, 503, "unavailable");
        return;
    }
    const auto leader = m_replica.leader();
    const bool isSent = !leader.empty()
        && m_rpc.call(leader, Procedure::WorkerReport, request.body, base::monotonicNow() + forwardTimeout,
            [responder](const std::optional<std::string>& reply) {
                const auto answer = reply ? Json::parse(*reply) : Json { { "error", "timeout" } };
                const bool isStale = answer.value("error", "") == "stale-incarnation";
                respondJson(responder, !answer.contains("error") ? 200 : (isStale ? 409 : 503), answer);
            });
    if (!isSent) {
        respondError(responder, 503, "unavailable");
    }
}

void FleetApi::handleForwardedReport(const std::string& payload, const PeerRpc::Reply& reply)
{
    if (!m_replica.isServing()) {
        reply(Json { { "error", "not-leader" } }.dump());
        return;
    }
    reply(m_jobs.handleReport(parseWorkerReport(nlohmann::json::parse(payload))).dump());
}

void FleetApi::submitJob(const http::HttpRequest& request, const http::Responder& responder)
{
    const auto spec = parseJob(nlohmann::json::parse(request.body));
    m_submitter.submit(state::SubmitJob { spec }, base::monotonicNow() + jobCommandTimeout,
        [this, spec, responder](const ProposalResult& result) {
            if (result.outcome == ProposalOutcome::NotExecuted) {
                respondError(responder, 503, "unavailable", { { "outcome", "not-executed" } });
            } else if (result.outcome == ProposalOutcome::Unknown) {
                respondError(responder, 504, "timeout", { { "outcome", "unknown" } });
            } else if (result.result.code == state::ResultCode::LimitReached) {
                respondError(responder, 503, "too-many-jobs", { { "outcome", "not-executed" } });
            } else {
                m_log.info("job_submitted",
                    { { "job", spec.job.text() }, { "team", spec.team.text() },
                        { "result", state::resultCodeName(result.result.code) } });
                respondJson(responder, 200, { { "job", spec.job.text() }, { "state", "queued" } });
            }
        });
}

void FleetApi::getJob(const base::JobId& job, const http::Responder& responder) const
{
    const auto entry = m_replica.state().jobs().find(job);
    if (entry == m_replica.state().jobs().end()) {
        respondError(responder, 404, "not-found", { { "job", job.text() } });
        return;
    }
    respondJson(responder, 200, jobJson(entry->second));
}

void FleetApi::cancelJob(const base::JobId& job, const http::Responder& responder)
{
    m_submitter.submit(state::CancelJob { job }, base::monotonicNow() + jobCommandTimeout,
        [this, job, responder](const ProposalResult& result) {
            const bool isApplied = result.outcome == ProposalOutcome::Applied;
            if (!isApplied) {
                respondError(responder, result.outcome == ProposalOutcome::Unknown ? 504 : 503, "unavailable",
                    { { "outcome", result.outcome == ProposalOutcome::Unknown ? "unknown" : "not-executed" } });
            } else if (result.result.code == state::ResultCode::Ok) {
                m_log.info("job_cancel_requested", { { "job", job.text() } });
                respondJson(responder, 200, { { "job", job.text() }, { "cancelRequested", true } });
            } else {
                const bool isMissing = result.result.code == state::ResultCode::NotFound;
                respondError(responder, isMissing ? 404 : 409, state::resultCodeName(result.result.code),
                    { { "cause", result.result.detail } });
            }
        });
}

} // namespace crocuscove::server
