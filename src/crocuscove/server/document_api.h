#pragma once

#include "command_submitter.h"
#include "http_router.h"
#include "node_table.h"

#include "crocuscove/base/log.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace crocuscove::server {

/// Operators' calls on documents: store, read, history and rollout.
class DocumentApi {
public:
    /// The references must outlive this.
    DocumentApi(const base::Log& log, Replica& replica, CommandSubmitter& submitter, const NodeTable& nodes);

    void addRoutes(HttpRouter& router);

private:
    void put(const base::ServiceId& service, http::HttpRequest& request, const http::Responder& responder);
    void answerPut(const base::ServiceId& service, const std::string& requestId, const std::string& text,
        const ProposalResult& result, const http::Responder& responder) const;
    void answerConflict(const base::ServiceId& service, const std::string& text, const state::CommandResult& result,
        const http::Responder& responder) const;
    /// Answers with `read` once a quorum has confirmed that the state is current. Without a quorum the answer comes
    /// after a bound and is marked as stale.
    void readCurrent(std::function<http::HttpResponse()> read, const http::Responder& responder);
    [[nodiscard]] http::HttpResponse list() const;
    [[nodiscard]] http::HttpResponse get(const base::ServiceId& service, std::optional<std::uint64_t> revision) const;
    [[nodiscard]] http::HttpResponse history(const base::ServiceId& service) const;
    void rollout(const base::ServiceId& service, const http::Responder& responder) const;

    const base::Log& m_log;
    Replica& m_replica;
    CommandSubmitter& m_submitter;
    const NodeTable& m_nodes;
};

} // namespace crocuscove::server
