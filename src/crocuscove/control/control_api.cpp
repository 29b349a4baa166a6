#include "control_api.h"

#include "crocuscove/jobs/worker_change.h"
#include "platform/configuration_codec.h"
#include "platform/control_paths.h"
#include "platform/json_fields.h"
#include "platform/vm_codec.h"
#include "platform/worker_codec.h"

#include <charconv>
#include <utility>

namespace crocuscove::control {

namespace {

constexpr int statusOk = 200;
constexpr int statusRedirect = 307;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

http::HttpResponse response(int status, std::string body = {})
{
    http::HttpResponse result;
    result.status = status;
    if (!body.empty()) {
        result.headers.add("Content-Type", "application/json");
    }
    result.body = std::move(body);
    return result;
}

/// Throws MalformedMessage.
jobs::WorkerReport decodeReport(const std::string& id, std::string_view body)
{
    jobs::WorkerReport report = platform::decodeWorkerReport(id, body);
    if (!jobs::hasPossibleStart(report, base::wallNow().time_since_epoch().count())) {
        throw platform::MalformedMessage("the worker can't have started at that time");
    }
    return report;
}

} // namespace

ControlApi::ControlApi(const ControlOptions& options, const base::Log& log, Cluster& cluster, ControlApiHooks hooks)
    : m_options(options)
    , m_log(log)
    , m_cluster(cluster)
    , m_hooks(std::move(hooks))
{
}

void ControlApi::handle(const http::HttpRequest& request, const http::Responder& responder)
{
    const platform::ControlTarget target = platform::parseControlTarget(request.method, request.path);
    if (target.call == platform::ControlCall::Unknown) {
        responder.respond(response(statusNotFound));
        return;
    }
    if (!m_cluster.isServing()) {
        const bool isReport = target.call == platform::ControlCall::ReportWorker;
        if (!isReport || !answerUnchangedReport(request, target.id, responder)) {
            redirect(request, responder);
        }
        return;
    }
    switch (target.call) {
    case platform::ControlCall::PutConfiguration:
        putConfiguration(request, responder);
        break;
    case platform::ControlCall::GetConfiguration:
        getConfiguration(responder);
        break;
    case platform::ControlCall::ReportWorker:
        reportWorker(request, target.id, responder);
        break;
    case platform::ControlCall::RemoveWorker:
        removeWorker(target.id, responder);
        break;
    case platform::ControlCall::StartWave:
        startWave(request, responder);
        break;
    case platform::ControlCall::GetWave:
        getWave(target.id, responder);
        break;
    case platform::ControlCall::Unknown:
        break;
    }
}

void ControlApi::redirect(const http::HttpRequest& request, const http::Responder& responder)
{
    const std::string leader = m_cluster.leaderAddress();
    if (leader.empty()) {
        responder.respond(response(statusUnavailable));
        return;
    }
    http::HttpResponse result = response(statusRedirect);
    result.headers.add(
        "Location", "http://" + base::Endpoint { leader, m_options.listen.port }.text() + request.rawTarget);
    responder.respond(result);
}

void ControlApi::commit(jobs::Command command, const http::Responder& responder, std::string body)
{
    m_cluster.propose(std::move(command), [responder, body = std::move(body)](ProposalOutcome outcome) {
        responder.respond(outcome == ProposalOutcome::Applied ? response(statusOk, body) : response(statusUnavailable));
    });
}

void ControlApi::putConfiguration(const http::HttpRequest& request, const http::Responder& responder)
{
    jobs::PutConfiguration command;
    try {
        command.configuration = platform::decodeConfiguration(request.body);
    } catch (const platform::MalformedMessage& error) {
        m_log.warning("configuration_refused", { { "cause", error.what() }, { "bytes", request.body.size() } });
        responder.respond(response(statusBadRequest));
        return;
    }
    const std::uint64_t version = command.configuration.version;
    const std::uint64_t held = m_cluster.state().configuration().version;
    m_log.info("configuration_received", { { "version", version }, { "held", held } });
    if (version <= held) {
        responder.respond(response(statusOk));
        return;
    }
    commit(std::move(command), responder, "");
}

void ControlApi::getConfiguration(const http::Responder& responder)
{
    m_cluster.confirmCurrent([this, responder](bool isCurrent) {
        const jobs::Configuration& configuration = m_cluster.state().configuration();
        const bool isKnown = isCurrent && configuration.version > 0;
        responder.respond(isKnown ? response(statusOk, configuration.source) : response(statusUnavailable));
    });
}

// A report that changes nothing is answered from the state; a change is answered once it is committed.
void ControlApi::reportWorker(const http::HttpRequest& request, const std::string& id, const http::Responder& responder)
{
    jobs::WorkerReport report;
    try {
        report = decodeReport(id, request.body);
    } catch (const platform::MalformedMessage& error) {
        refuseReport(id, error.what(), responder);
        return;
    }
    const std::string body
        = platform::encodeReportAnswer(base::Endpoint { m_cluster.reportAddress(id), m_options.listen.port }.text());
    const jobs::FleetState& state = m_cluster.state();
    if (state.configuration().findService(report.service) == nullptr) {
        responder.respond(response(state.configuration().version == 0 ? statusUnavailable : statusOk));
        return;
    }
    if (state.isOfRemovedWorker(report)) {
        m_log.info("worker_report_outdated",
            { { "worker", id }, { "incarnation", report.incarnation }, { "sequence", report.sequence } });
        const bool isLeader = m_cluster.hasLeadership(base::monotonicNow());
        responder.respond(isLeader ? response(statusOk, body) : response(statusUnavailable));
        return;
    }
    const jobs::Worker* known = state.findWorker(id);
    if (known != nullptr) {
        report = limitGrowth(*known, std::move(report), request.body);
    }
    if (known != nullptr && jobs::compareReports(known->report, report) == jobs::WorkerChange::None) {
        const bool isLeader = m_cluster.hasLeadership(base::monotonicNow());
        responder.respond(isLeader ? response(statusOk, body) : response(statusUnavailable));
        return;
    }
    if (known != nullptr && known->report.capacity != report.capacity) {
        recordCapacityChange(known->number);
    }
    checkReplacement(std::move(report), responder, body);
}

void ControlApi::checkReplacement(jobs::WorkerReport report, const http::Responder& responder, const std::string& body)
{
    const jobs::Worker* holder = m_cluster.state().findWorkerAt(report.address);
    const bool isHeld
        = holder != nullptr && holder->report.id != report.id && holder->report.incarnation <= report.incarnation;
    if (!isHeld) {
        checkPredecessor(std::move(report), responder, body);
        return;
    }
    const jobs::WorkerNumber number = holder->number;
    m_hooks.askHolder(
        number, [this, known = holder->report.id, report = std::move(report), responder, body](AddressHolder answered) {
            onAddressHolder(answered, known, report, responder, body);
        });
}

// A worker that doesn't answer keeps its tasks until its lease has ended; the report is sent again meanwhile.
void ControlApi::onAddressHolder(AddressHolder holder, const std::string& known, jobs::WorkerReport report,
    const http::Responder& responder, const std::string& body)
{
    const jobs::Worker* current = m_cluster.state().findWorkerAt(report.address);
    const bool isFree = current == nullptr || current->report.id != known;
    m_log.info("worker_address_claimed",
        { { "worker", report.id }, { "incarnation", report.incarnation }, { "address", report.address },
            { "known", known }, { "answered_by", addressHolderName(holder) } });
    if (isFree || holder == AddressHolder::OtherWorker) {
        checkPredecessor(std::move(report), responder, body);
    } else if (holder == AddressHolder::Unknown) {
        responder.respond(response(statusUnavailable));
    } else {
        refuseReport(report.id, "another worker answers at its address", responder);
    }
}

void ControlApi::checkPredecessor(jobs::WorkerReport report, const http::Responder& responder, const std::string& body)
{
    const jobs::Worker* known = m_cluster.state().findWorker(report.id);
    if (known == nullptr || known->report.incarnation >= report.incarnation) {
        recordReport(std::move(report), responder, body);
        return;
    }
    const jobs::WorkerNumber number = known->number;
    m_hooks.askHolder(number, [this, report = std::move(report), responder, body](AddressHolder answered) {
        if (answered == AddressHolder::KnownIncarnation) {
            refuseReport(report.id, "an earlier incarnation still answers", responder);
        } else {
            recordReport(report, responder, body);
        }
    });
}

void ControlApi::recordReport(jobs::WorkerReport report, const http::Responder& responder, std::string body)
{
    if (!m_cluster.isServing()) {
        responder.respond(response(statusUnavailable));
        return;
    }
    m_log.info("worker_report",
        { { "worker", report.id }, { "incarnation", report.incarnation }, { "service", report.service },
            { "draining", report.isDraining }, { "cpu_milli", report.capacity.cpuMilli },
            { "memory_mb", report.capacity.memoryMb }, { "sequence", report.sequence } });
    m_hooks.onReport(report);
    commit(jobs::RecordWorker { std::move(report) }, responder, std::move(body));
}

void ControlApi::refuseReport(const std::string& id, std::string_view cause, const http::Responder& responder) const
{
    m_log.warning("worker_report_refused", { { "worker", id }, { "cause", cause } });
    responder.respond(response(statusBadRequest));
}

jobs::WorkerReport ControlApi::limitGrowth(
    const jobs::Worker& known, jobs::WorkerReport report, std::string_view body) const
{
    jobs::WorkerReport limited = jobs::withoutGrowth(known.report, report);
    if (limited.capacity == report.capacity || jobs::compareReports(known.report, report) == jobs::WorkerChange::None) {
        return report;
    }
    const auto clockMs = platform::decodeReportClock(body);
    const auto next = m_nextGrowthAt.find(known.number);
    const auto refusal
        = jobs::checkGrowth(base::monotonicNow(), next == m_nextGrowthAt.end() ? base::MonotonicTime() : next->second,
            clockMs ? m_hooks.reportAge(known.number, *clockMs) : std::nullopt);
    if (refusal == jobs::GrowthRefusal::None) {
        return report;
    }
    m_log.info("worker_growth_held",
        { { "worker", report.id }, { "reason", jobs::growthRefusalName(refusal) },
            { "cpu_milli", report.capacity.cpuMilli }, { "memory_mb", report.capacity.memoryMb } });
    return limited;
}

void ControlApi::recordCapacityChange(jobs::WorkerNumber worker)
{
    const auto& workers = m_cluster.state().workers();
    if (m_nextGrowthAt.size() > 2 * workers.size()) {
        std::erase_if(m_nextGrowthAt, [&](const auto& entry) { return !workers.contains(entry.first); });
    }
    m_nextGrowthAt[worker] = base::monotonicNow() + jobs::growthInterval;
}

bool ControlApi::answerUnchangedReport(
    const http::HttpRequest& request, const std::string& id, const http::Responder& responder) const
{
    const jobs::Worker* known = m_cluster.state().findWorker(id);
    if (known == nullptr || !m_cluster.isInContact(base::monotonicNow())) {
        return false;
    }
    try {
        const jobs::WorkerReport report = decodeReport(id, request.body);
        if (jobs::compareReports(known->report, report) != jobs::WorkerChange::None) {
            return false;
        }
    } catch (const platform::MalformedMessage& error) {
        refuseReport(id, error.what(), responder);
        return true;
    }
    responder.respond(response(statusOk, platform::encodeReportAnswer(m_options.listen.text())));
    return true;
}

void ControlApi::removeWorker(const std::string& id, const http::Responder& responder)
{
    const jobs::Worker* worker = m_cluster.state().findWorker(id);
    if (!m_cluster.hasLeadership(base::monotonicNow())) {
        responder.respond(response(statusUnavailable));
        return;
    }
    if (worker != nullptr) {
        m_log.info("worker_leaves",
            { { "worker", id }, { "tasks", worker->assignedTasks }, { "draining", worker->report.isDraining } });
        m_hooks.onLeave(worker->number);
    }
    responder.respond(response(statusOk));
}

void ControlApi::startWave(const http::HttpRequest& request, const http::Responder& responder)
{
    try {
        jobs::Wave wave = platform::decodeWave(request.body, base::wallNow().time_since_epoch().count());
        m_log.info(
            "wave_received", { { "wave", wave.id }, { "vms", wave.vms.size() }, { "concurrent", wave.maxConcurrent } });
        commit(jobs::RecordWave { std::move(wave) }, responder, "");
    } catch (const platform::MalformedMessage& error) {
        m_log.warning("wave_refused", { { "cause", error.what() } });
        responder.respond(response(statusBadRequest));
    }
}

void ControlApi::getWave(const std::string& id, const http::Responder& responder)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == id.data() + id.size();
    m_cluster.confirmCurrent([this, responder, number, isNumber](bool isCurrent) {
        const auto wave = m_cluster.state().waves().find(number);
        if (!isCurrent) {
            responder.respond(response(statusUnavailable));
        } else if (!isNumber || wave == m_cluster.state().waves().end()) {
            responder.respond(response(statusNotFound));
        } else {
            responder.respond(response(statusOk, platform::encodeWaveState(wave->second.isDone())));
        }
    });
}

} // namespace crocuscove::control
