#pragma once

#include "command_submitter.h"
#include "http_router.h"
#include "node_table.h"

#include "crocuscove/base/log.h"

namespace crocuscove::server {

/// Operators' calls on documents: store, read, history and rollout.
class DocumentApi {
public:
    /// The references must outlive this.
    DocumentApi(const base::Log& log, const Replica& replica, CommandSubmitter& submitter, const NodeTable& nodes);

    void addRoutes(HttpRouter& router);

private:
    void put(const base::ServiceId& service, http::HttpRequest& request, const http::Responder& responder);
    void answerPut(const base::ServiceId& service, const std::string& requestId, const std::string& text,
        const ProposalResult& result, const http::Responder& responder) const;
    void answerConflict(const base::ServiceId& service, const std::string& text, const state::CommandResult& result,
        const http::Responder& responder) const;
    void list(const http::Responder& responder) const;
    void get(const base::ServiceId& service, const http::HttpRequest& request, const http::Responder& responder) const;
    void history(const base::ServiceId& service, const http::Responder& responder) const;
    void rollout(const base::ServiceId& service, const http::Responder& responder) const;

    const base::Log& m_log;
    const Replica& m_replica;
    CommandSubmitter& m_submitter;
    const NodeTable& m_nodes;
};

} // namespace crocuscove::server
