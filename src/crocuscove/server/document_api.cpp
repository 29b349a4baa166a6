#include "document_api.h"

#include "crocuscove/base/error.h"
#include "crocuscove/document/diff.h"
#include "crocuscove/document/parse.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace crocuscove::server {

namespace {

using Json = nlohmann::ordered_json;

constexpr base::Milliseconds putTimeout { 5000 };
constexpr base::Milliseconds readTimeout { 1000 };
constexpr std::size_t maxRequestIdBytes = 128;

Json problemJson(const document::Problem& problem)
{
    return { { "file", problem.file }, { "line", problem.line }, { "column", problem.column },
        { "field", problem.field }, { "cause", problem.cause }, { "allowed", problem.allowed } };
}

void respondInvalid(const http::Responder& responder, const std::vector<document::Problem>& problems)
{
    Json list = Json::array();
    std::ranges::transform(problems, std::back_inserter(list), problemJson);
    respondError(responder, 400, "invalid-document", { { "problems", list } });
}

std::uint64_t parseRevision(std::string_view text, std::string_view name)
{
    try {
        return static_cast<std::uint64_t>(base::parseInteger(text, 0, 1'000'000'000'000));
    } catch (const base::InvalidInput& error) {
        throw base::InvalidInput(fmt::format("{} '{}': {}; allowed: a revision, 0 or more", name, text, error.what()));
    }
}

std::string requireRequestId(const http::HttpRequest& request)
{
    std::string id(request.headers.get("Crocuscove-Request-Id"));
    const bool isPrintable = std::ranges::all_of(id, [](char c) { return c > ' ' && c <= '~'; });
    if (id.empty() || id.size() > maxRequestIdBytes || !isPrintable) {
        throw base::InvalidInput(
            fmt::format("Crocuscove-Request-Id is missing or invalid; allowed: 1 to {} printable ASCII characters",
                maxRequestIdBytes));
    }
    return id;
}

} // namespace

DocumentApi::DocumentApi(const base::Log& log, Replica& replica, CommandSubmitter& submitter, const NodeTable& nodes)
    : m_log(log)
    , m_replica(replica)
    , m_submitter(submitter)
    , m_nodes(nodes)
{
}

void DocumentApi::addRoutes(HttpRouter& router)
{
    router.add("GET", "/v1/documents",
        [this](const auto&, auto&, const auto& responder) { respondCurrent([this] { return list(); }, responder); });
    router.add("PUT", "/v1/documents/{service}", [this](const auto& parameters, auto& request, const auto& responder) {
        put(base::ServiceId(parameters[0]), request, responder);
    });
    router.add("GET", "/v1/documents/{service}", [this](const auto& parameters, auto& request, const auto& responder) {
        const auto wanted = http::queryParameter(request.query, "revision");
        const auto revision = wanted ? std::optional(parseRevision(*wanted, "revision")) : std::nullopt;
        respondCurrent(
            [this, service = base::ServiceId(parameters[0]), revision] { return get(service, revision); }, responder);
    });
    router.add("GET", "/v1/documents/{service}/history", [this](const auto& parameters, auto&, const auto& responder) {
        respondCurrent([this, service = base::ServiceId(parameters[0])] { return history(service); }, responder);
    });
    router.add("GET", "/v1/documents/{service}/rollout", [this](const auto& parameters, auto&, const auto& responder) {
        respondRollout(base::ServiceId(parameters[0]), responder);
    });
}

void DocumentApi::put(const base::ServiceId& service, http::HttpRequest& request, const http::Responder& responder)
{
    const std::string requestId = requireRequestId(request);
    const auto expected
        = parseRevision(request.headers.get("Crocuscove-Expected-Revision"), "Crocuscove-Expected-Revision");
    const auto parsed = document::parseDocument(request.body, service.text());
    if (!parsed.document) {
        respondInvalid(responder, parsed.problems);
        return;
    }
    if (document::documentId(*parsed.document) != service) {
        const auto documentName = document::documentId(*parsed.document).text();
        respondInvalid(responder,
            { { service.text(), 0, 0, "service", "the document names '" + documentName + "'",
                "the service of the path" } });
        return;
    }
    const state::PutDocument command { requestId, service, expected, std::move(request.body) };
    m_submitter.submit(command, base::monotonicNow() + putTimeout,
        [this, service, requestId, text = command.text, responder](
            const ProposalResult& result) { respondPut(service, requestId, text, result, responder); });
}

void DocumentApi::respondPut(const base::ServiceId& service, const std::string& requestId, const std::string& text,
    const ProposalResult& result, const http::Responder& responder) const
{
    const bool isApplied = result.outcome == ProposalOutcome::Applied;
    const auto code = isApplied ? state::resultCodeName(result.result.code) : "not-applied";
    m_log.info("document_put",
        { { "service", service.text() }, { "request", requestId }, { "result", code },
            { "revision", result.result.number } });
    if (result.outcome == ProposalOutcome::NotExecuted) {
        respondError(responder, 503, "unavailable", { { "outcome", "not-executed" } });
    } else if (!isApplied) {
        respondError(responder, 504, "timeout", { { "outcome", "unknown" } });
    } else if (result.result.code == state::ResultCode::Ok) {
        respondJson(responder, 200, { { "service", service.text() }, { "revision", result.result.number } });
    } else if (result.result.code == state::ResultCode::Conflict) {
        respondConflict(service, text, result.result, responder);
    } else {
        respondError(responder, 400, state::resultCodeName(result.result.code), { { "cause", result.result.detail } });
    }
}

void DocumentApi::respondConflict(const base::ServiceId& service, const std::string& text,
    const state::CommandResult& result, const http::Responder& responder) const
{
    Json difference = Json::array();
    const auto& documents = m_replica.state().documents();
    const auto record = documents.find(service);
    const auto proposed = document::parseDocument(text, service.text());
    if (record != documents.end() && proposed.document) {
        std::ranges::transform(document::diffDocuments(*record->second.inForce, *proposed.document),
            std::back_inserter(difference), [](const document::FieldChange& change) {
                return Json { { "field", change.field }, { "before", change.before }, { "after", change.after } };
            });
    }
    respondError(
        responder, 409, "revision-conflict", { { "revisionInForce", result.number }, { "difference", difference } });
}

void DocumentApi::respondCurrent(std::function<http::HttpResponse()> read, const http::Responder& responder)
{
    m_replica.confirmCurrent(base::monotonicNow() + readTimeout, [read = std::move(read), responder](bool isCurrent) {
        auto response = read();
        if (!isCurrent) {
            response.headers.add("Crocuscove-Stale", "1");
        }
        responder.respond(response);
    });
}

http::HttpResponse DocumentApi::list() const
{
    Json documents = Json::array();
    for (const auto& [service, record] : m_replica.state().documents()) {
        const auto* document = m_replica.state().serviceDocument(service);
        documents.push_back({ { "service", service.text() }, { "revision", record.revision() },
            { "team", document == nullptr ? "" : document->team.text() } });
    }
    return jsonResponse(200, { { "documents", documents } });
}

http::HttpResponse DocumentApi::get(const base::ServiceId& service, std::optional<std::uint64_t> wanted) const
{
    const auto& documents = m_replica.state().documents();
    const auto record = documents.find(service);
    if (record == documents.end()) {
        return errorResponse(404, "not-found", { { "service", service.text() } });
    }
    const auto number = wanted.value_or(record->second.revision());
    const auto& revisions = record->second.revisions;
    const auto revision = std::ranges::find(revisions, number, &state::DocumentRevision::revision);
    if (revision == revisions.end()) {
        return errorResponse(404, "not-found", { { "service", service.text() }, { "revision", number } });
    }
    http::HttpResponse response;
    response.headers.add("Content-Type", "application/yaml");
    response.headers.add("Crocuscove-Revision", std::to_string(number));
    response.body = revision->text;
    return response;
}

http::HttpResponse DocumentApi::history(const base::ServiceId& service) const
{
    const auto& documents = m_replica.state().documents();
    const auto record = documents.find(service);
    if (record == documents.end()) {
        return errorResponse(404, "not-found", { { "service", service.text() } });
    }
    Json revisions = Json::array();
    std::ranges::transform(
        record->second.revisions, std::back_inserter(revisions), [](const state::DocumentRevision& revision) {
            return Json { { "revision", revision.revision },
                { "appliedAtMs", revision.appliedAt.time_since_epoch().count() }, { "requestId", revision.requestId } };
        });
    return jsonResponse(200, { { "service", service.text() }, { "revisions", revisions } });
}

void DocumentApi::respondRollout(const base::ServiceId& service, const http::Responder& responder) const
{
    const auto& documents = m_replica.state().documents();
    const auto record = documents.find(service);
    if (record == documents.end()) {
        respondError(responder, 404, "not-found", { { "service", service.text() } });
        return;
    }
    const auto& latest = record->second.revisions.back();
    Json nodes = Json::array();
    std::ranges::transform(m_nodes.nodes(), std::back_inserter(nodes), [&](const NodeView& view) {
        const auto appliedRevision
            = std::ranges::find_if(record->second.revisions.rbegin(), record->second.revisions.rend(),
                [&](const state::DocumentRevision& revision) { return revision.index <= view.status.applied; });
        const auto revision = appliedRevision == record->second.revisions.rend() ? 0 : appliedRevision->revision;
        return Json { { "node", view.status.node.text() }, { "revision", revision }, { "reachable", view.isReachable },
            { "inForce", view.isReachable && view.status.applied >= latest.index } };
    });
    respondJson(responder, 200, { { "service", service.text() }, { "revision", latest.revision }, { "nodes", nodes } });
}

} // namespace crocuscove::server
