#include "crocuscove/cli/admin_api.h"

#include "crocuscove/base/error.h"

#include <fmt/format.h>

#include <limits>

namespace crocuscove::cli {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

/// Sends a reading call. Returns an answer with status 200 or 404.
Exchange get(const ServerOptions& options, const std::string& path)
{
    Exchange answer = exchange(options.server, { HttpMethod::Get, path }, base::monotonicNow() + options.timeout);
    if (answer.delivery != Delivery::Answered) {
        throw CommandError(
            ExitCode::Unavailable, fmt::format("{}: GET {}: {}", options.server.text(), path, answer.cause));
    }
    if (answer.status == statusUnavailable || answer.status == statusTimeout) {
        throw CommandError(ExitCode::Unavailable,
            fmt::format(
                "{}: GET {}: the server is unavailable (status {})", options.server.text(), path, answer.status));
    }
    if (answer.status != statusOk && answer.status != statusNotFound) {
        throw CommandError(ExitCode::Failed,
            fmt::format("{}: GET {}: unexpected status {}", options.server.text(), path, answer.status));
    }
    return answer;
}

CommandError unreadable(const ServerOptions& options, const std::string& path, const std::string& cause)
{
    return { ExitCode::Failed,
        fmt::format("{}: GET {}: the answer can't be read: {}", options.server.text(), path, cause) };
}

/// Sends a reading call and reads its JSON body.
template <typename Read> auto getJson(const ServerOptions& options, const std::string& path, Read read)
{
    const Exchange answer = get(options, path);
    if (answer.status == statusNotFound) {
        throw CommandError(ExitCode::Failed, fmt::format("{}: GET {}: not found", options.server.text(), path));
    }
    try {
        return read(answer.body);
    } catch (const nlohmann::json::exception& error) {
        throw unreadable(options, path, error.what());
    }
}

/// Sends a reading call about one service.
template <typename Read>
auto getOfService(const ServerOptions& options, const base::ServiceId& service, const std::string& what, Read read)
{
    const std::string path = fmt::format("/v1/documents/{}/{}", service.text(), what);
    const Exchange answer = get(options, path);
    if (answer.status == statusNotFound) {
        throw noDocument(service);
    }
    try {
        return read(answer.body);
    } catch (const nlohmann::json::exception& error) {
        throw unreadable(options, path, error.what());
    }
}

} // namespace

std::vector<DocumentSummary> fetchDocumentList(const ServerOptions& options)
{
    return getJson(options, "/v1/documents", readDocumentList);
}

std::optional<StoredDocument> fetchDocument(
    const ServerOptions& options, const base::ServiceId& service, std::optional<std::uint64_t> revision)
{
    const std::string query = revision ? fmt::format("?revision={}", *revision) : "";
    const std::string path = fmt::format("/v1/documents/{}{}", service.text(), query);
    const Exchange answer = get(options, path);
    if (answer.status == statusNotFound) {
        return std::nullopt;
    }
    try {
        const std::string text = answer.header("Crocuscove-Revision").value_or("");
        return StoredDocument { answer.body,
            static_cast<std::uint64_t>(base::parseInteger(text, 1, std::numeric_limits<std::int64_t>::max())) };
    } catch (const base::InvalidInput& error) {
        throw unreadable(options, path, std::string("header Crocuscove-Revision: ") + error.what());
    }
}

std::vector<RevisionRecord> fetchHistory(const ServerOptions& options, const base::ServiceId& service)
{
    return getOfService(options, service, "history", readHistory);
}

Rollout fetchRollout(const ServerOptions& options, const base::ServiceId& service)
{
    return getOfService(options, service, "rollout", readRollout);
}

FleetStatus fetchStatus(const ServerOptions& options) { return getJson(options, "/v1/status", readStatus); }

CommandError noDocument(const base::ServiceId& service)
{
    return { ExitCode::Failed, fmt::format("service '{}' has no document", service.text()) };
}

} // namespace crocuscove::cli
