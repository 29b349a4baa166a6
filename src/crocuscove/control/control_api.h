#pragma once

#include "cluster.h"
#include "crocuscove/base/log.h"
#include "crocuscove/control/control_options.h"
#include "crocuscove/http/http_server.h"
#include "worker_session.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crocuscove::control {

/// What the interface needs of the leader.
struct ControlApiHooks {
    /// Returns how long ago the clock of a worker showed `clockMs`, or nothing if its clock isn't known.
    std::function<std::optional<base::Milliseconds>(jobs::WorkerNumber, std::int64_t clockMs)> reportAge;
    /// Tells that a worker, or an earlier incarnation of it, says that it leaves.
    std::function<void(jobs::WorkerNumber)> onLeave;
    /// Asks who answers at the address of a worker.
    std::function<void(jobs::WorkerNumber, std::function<void(AddressHolder)>)> askHolder;
    /// Runs on the leader before a report that changes something is proposed.
    std::function<void(const jobs::WorkerReport&)> onReport;
};

/// Answers workers and operators. Nodes that don't lead send them on to the leader.
class ControlApi {
public:
    ControlApi(const ControlOptions& options, const base::Log& log, Cluster& cluster, ControlApiHooks hooks);

    void handle(const http::HttpRequest& request, const http::Responder& responder);

private:
    void redirect(const http::HttpRequest& request, const http::Responder& responder);
    void putConfiguration(const http::HttpRequest& request, const http::Responder& responder);
    void getConfiguration(const http::Responder& responder);
    void reportWorker(const http::HttpRequest& request, const std::string& id, const http::Responder& responder);
    /// Records a report once nothing shows that it is of another writer: the worker whose address it names must be
    /// gone, and so must the incarnation that it says to follow.
    void checkReplacement(jobs::WorkerReport report, const http::Responder& responder, const std::string& body);
    void onAddressHolder(AddressHolder holder, const std::string& known, jobs::WorkerReport report,
        const http::Responder& responder, const std::string& body);
    void checkPredecessor(jobs::WorkerReport report, const http::Responder& responder, const std::string& body);
    void recordReport(jobs::WorkerReport report, const http::Responder& responder, std::string body);
    void refuseReport(const std::string& id, std::string_view cause, const http::Responder& responder) const;
    /// Answers a report on a node that doesn't lead, if it changes nothing. Returns false for one that the leader must
    /// see.
    bool answerUnchangedReport(
        const http::HttpRequest& request, const std::string& id, const http::Responder& responder) const;
    /// Returns the part of a report of another capacity that may be recorded now.
    [[nodiscard]] jobs::WorkerReport limitGrowth(
        const jobs::Worker& known, jobs::WorkerReport report, std::string_view body) const;
    void recordCapacityChange(jobs::WorkerNumber worker);
    void removeWorker(const std::string& id, const http::Responder& responder);
    void startWave(const http::HttpRequest& request, const http::Responder& responder);
    void getWave(const std::string& id, const http::Responder& responder);
    void commit(jobs::Command command, const http::Responder& responder, std::string body);

    const ControlOptions& m_options;
    const base::Log& m_log;
    Cluster& m_cluster;
    ControlApiHooks m_hooks;
    /// The earliest time at which more capacity of a worker is recorded again. At most two entries for each worker that
    /// is known.
    std::map<jobs::WorkerNumber, base::MonotonicTime> m_nextGrowthAt;
};

} // namespace crocuscove::control
