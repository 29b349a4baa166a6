#pragma once

#include "crocuscove/base/settings.h"
#include "crocuscove/http/event_loop.h"
#include "crocuscove/http/http_client.h"
#include "crocuscove/http/http_server.h"
#include "support/json_lines.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocuscove::testing {

struct StandinExecutorOptions {
    std::string id = "i-1";
    std::string service = "pool";
    std::string rack = "r1";
    base::Endpoint listen { "127.0.0.1", 0 };
    /// Address that it reports, such as that of a proxy; its own for port 0.
    base::Endpoint advertise { "127.0.0.1", 0 };
    /// Control nodes to report to, in turn.
    std::vector<base::Endpoint> controls;
    std::int64_t cpu = 8000;
    std::int64_t memMb = 8192;
    /// Processor time that each task uses, in thousandths of a core; starts that exceed the capacity are recorded.
    std::int64_t taskCpu = 0;
    std::int64_t reportIntervalMs = 300;
    /// Rate of its clock, in thousandths.
    std::int64_t clockPermille = 1000;
    /// The first starts that are carried out but not answered.
    std::int64_t unansweredStarts = 0;
    /// The first starts that are refused as by an unhealthy worker, which does nothing.
    std::int64_t refusedStarts = 0;
    /// The first stops that are carried out but not answered.
    std::int64_t unansweredStops = 0;
    /// The first start is neither carried out nor answered, and from then on the worker reports that it drains.
    bool drainsOnStart = false;
    /// With the first start the capacity shrinks to this, in thousandths of a core; -1 for a worker that doesn't
    /// shrink. Until the smaller capacity counts, that start is neither carried out nor answered.
    std::int64_t shrinksOnStart = -1;
    /// Starts and stops that arrive within this time of the first start are not answered, and are carried out
    /// `lateOrderDelayMs` after they arrived.
    std::int64_t lateOrdersForMs = 0;
    std::int64_t lateOrderDelayMs = 0;
    /// The start with this number is taken by a new incarnation, which begins right before; 0 for none.
    std::int64_t restartsAtStart = 0;
    /// A longer lease is shortened to this.
    std::int64_t maxLeaseMs = 10'000;
    /// It crashes this long after the first such order, which its next life carries out; 0 for a worker that doesn't.
    std::int64_t crashAfterLateOrderMs = 0;
    /// A task that crashes its worker does so this long after its start.
    std::int64_t crashDelayMs = 10;
    /// How long it neither answers nor reports after a task has crashed it.
    std::int64_t crashMs = 500;
    /// It comes back from a crash under another id.
    bool renamesAfterCrash = false;
    /// Its lists of runs hold rows of another writer.
    bool hasOddRows = false;
    /// File that gets a JSON line for each start, end, refusal and crash.
    std::string recordsFile;
};

/// A worker as the users' platform has it, by code of its own. Only its reports and its lists of runs tell the
/// incarnation. The payload of a job gives the run time of its tasks in
/// milliseconds; 0 lasts. With " deadly=.0.0.1" after it, tasks whose names end so crash the worker, which comes back
/// under its id or another.
class StandinExecutor {
public:
    StandinExecutor(http::EventLoop& loop, StandinExecutorOptions options);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    struct Run {
        std::uint32_t number = 0;
        http::Timer end;
    };
    struct Hold {
        std::shared_ptr<http::Responder> responder;
        http::Timer timeout;
    };

    void handle(const http::HttpRequest& request, const http::Responder& responder);
    void carryOut(const http::HttpRequest& request, const http::Responder& responder);
    /// Returns whether an order that arrives now is to be carried out late.
    bool isLateOrder(const std::string& path);
    void start(const nlohmann::json& body, const http::Responder& responder);
    void stop(const nlohmann::json& body, const http::Responder& responder);
    void hold(const nlohmann::json& body, const http::Responder& responder);
    /// Ends everything and goes on as another worker, as after the maintenance of a VM.
    void restart(const nlohmann::json& body, const http::Responder& responder);
    void crash(const std::string& task, std::uint32_t run);
    /// Ends everything and starts a new incarnation, which reports from the given time on.
    void beginLife(base::MonotonicTime reportsFrom);
    void setCpu(std::int64_t cpu);
    /// A smaller capacity counts for starts once the report of it was answered, and a larger one at once.
    void noteReported(std::int64_t cpu);
    void checkCapacity(const std::string& task, std::uint32_t run);
    void answerHold();
    void end(const std::string& task, std::string how);
    void extendLease(const nlohmann::json& body);
    /// Ends everything when the lease has ended.
    void checkLease();
    void report();
    void record(const std::string& event, const std::string& task, std::uint32_t run, const std::string& detail,
        std::int64_t agoMs = 0);
    [[nodiscard]] std::int64_t clockMs() const;
    void respond(const http::Responder& responder, int status, nlohmann::json body) const;
    /// Begins a new incarnation if the next start is the one that it takes.
    void restartForStart();

    http::EventLoop& m_loop;
    StandinExecutorOptions m_options;
    JsonLinesFile m_records;
    base::MonotonicTime m_startedAt;
    std::int64_t m_born;
    /// Nothing is reported before.
    base::MonotonicTime m_reportsFrom;
    /// Nothing is answered before.
    base::MonotonicTime m_downUntil;
    int m_crashes = 0;
    std::int64_t m_starts = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseMs = 0;
    /// The last end before the lease has ended most recently. Ends up to it never count as noted (RULES, TWICE).
    std::uint64_t m_lastEndBeforeLapse = 0;
    std::uint64_t m_sequence = 0;
    bool m_isDraining = false;
    std::optional<base::MonotonicTime> m_lateOrdersUntil;
    std::vector<http::Timer> m_lateOrders;
    /// Capacity by which starts are judged.
    std::int64_t m_countedCpu;
    std::optional<http::Timer> m_countTimer;
    std::string m_unansweredTask;
    std::size_t m_nextControl = 0;
    std::map<std::string, Run> m_running;
    /// The highest run of each task that ended or was stopped here.
    std::map<std::string, std::uint32_t> m_pastRuns;
    std::vector<nlohmann::json> m_ended;
    std::uint64_t m_lastEnd = 0;
    Hold m_hold;
    http::HttpClient m_client;
    http::HttpServer m_server;
    http::Timer m_reportTimer;
    http::Timer m_leaseTimer;
    http::Timer m_crashTimer;
};

} // namespace crocuscove::testing
