#pragma once

#include "command_submitter.h"
#include "http_router.h"
#include "node_table.h"

#include "crocuscove/base/log.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace crocuscove::server {

/// Admin API for documents: storing, reading, history and rollout progress.
class DocumentApi {
public:
    /// The references must outlive this.
    DocumentApi(const base::Log& log, Replica& replica, CommandSubmitter& submitter, const NodeTable& nodes);

    void addRoutes(HttpRouter& router);

private:
    void put(const base::ServiceId& service, http::HttpRequest& request, const http::Responder& responder);
    void respondPut(const base::ServiceId& service, const std::string& requestId, const std::string& text,
        const ProposalResult& result, const http::Responder& responder) const;
    void respondConflict(const base::ServiceId& service, const std::string& text, const state::CommandResult& result,
        const http::Responder& responder) const;
    /// Responds with the result of `read` once a quorum has confirmed that the local state is current. If that does not
    /// happen within a time limit, it responds from the local state and marks the response as stale.
    void respondCurrent(std::function<http::HttpResponse()> read, const http::Responder& responder);
    [[nodiscard]] http::HttpResponse list() const;
    [[nodiscard]] http::HttpResponse get(const base::ServiceId& service, std::optional<std::uint64_t> revision) const;
    [[nodiscard]] http::HttpResponse history(const base::ServiceId& service) const;
    void respondRollout(const base::ServiceId& service, const http::Responder& responder) const;

    const base::Log& m_log;
    Replica& m_replica;
    CommandSubmitter& m_submitter;
    const NodeTable& m_nodes;
};

} // namespace crocuscove::server
