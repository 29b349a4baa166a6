#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/http/http_server.h"
#include "support/announcer.h"
#include "support/json_lines.h"
#include "support/run_times.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>

namespace crocuscove::testing {

enum class BackendFault {
    None,
    /// Answers status 500 at once, without the run time.
    Fail,
    /// Starts the request and never answers.
    Hang,
    /// Echoes a wrong request id, as a crossed answer would.
    WrongEcho,
};

std::optional<BackendFault> parseBackendFault(std::string_view name);

struct StandinBackendOptions {
    std::string service = "pricing";
    std::string backend = "backend-1";
    std::string vm = "vm-1";
    std::string dataCentre = "dc-1";
    std::string rack = "rack-1";
    std::int64_t slots = 8;
    std::int64_t connections = 64;
    base::Endpoint listen { "127.0.0.1", 0 };
    /// Announced instead of the listening port when not 0, for a proxy in front.
    std::int64_t announcedPort = 0;
    std::vector<base::Endpoint> admins;
    std::int64_t announceIntervalMs = 1000;
    std::int64_t seed = 1;
    RunTimeOptions runTimes;
    std::string recordsFile;
    BackendFault fault = BackendFault::None;
    /// Share of requests with the fault.
    std::int64_t faultPercent = 100;
    /// How long to wait after SIGTERM to be told that it may stop.
    std::int64_t stopBoundMs = 10'000;
    /// Runs requests to their end when the client closes. Otherwise the slot is free at once.
    bool continuesAfterDisconnect = false;
};

/// Backend server with a fixed number of slots that announces itself (docs/design.md, section 11). Beyond its slots it
/// refuses by contract. Each start and end of a request is recorded, so that a checker can compare the records with
/// what clients were told. A client names its request in `X-Load-Id`, which is echoed.
///
/// `PUT /standin/fault?kind=NAME` changes the fault and `GET /standin/state` shows the counters.
class StandinBackend {
public:
    /// `onStopped` runs once, when every request has ended and it may stop.
    StandinBackend(http::EventLoop& loop, const base::Log& log, const StandinBackendOptions& options,
        std::function<void()> onStopped);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    /// Announces `leaving`, and stops when told that it may, or after the bound.
    void leave(std::string_view reason);

private:
    struct Running {
        std::string requestId;
        std::string loadId;
        base::WallTime start;
        http::Timer end;
    };

    void handle(const http::HttpRequest& request, const http::Responder& responder);
    void handleControl(const http::HttpRequest& request, const http::Responder& responder);
    void start(const http::HttpRequest& request, const http::Responder& responder);
    void finish(std::list<Running>::iterator running, const http::Responder& responder, BackendFault fault);
    void end(std::list<Running>::iterator running, std::string_view event);
    void record(std::string_view event, const Running& running, const nlohmann::ordered_json& fields);
    [[nodiscard]] BackendFault drawFault();
    [[nodiscard]] base::Milliseconds runTimeOf(const http::HttpRequest& request);
    [[nodiscard]] nlohmann::ordered_json announcement() const;
    void handleAnswer(int status, const nlohmann::json& answer);
    void stopWhenDone();

    http::EventLoop& m_loop;
    const base::Log& m_log;
    StandinBackendOptions m_options;
    std::function<void()> m_onStopped;
    base::Random m_random;
    JsonLinesFile m_records;
    std::int64_t m_incarnation;
    std::list<Running> m_running;
    std::size_t m_highestInFlight = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_refused = 0;
    bool m_isLeaving = false;
    bool m_mayStop = false;
    http::Timer m_stopBound;
    http::HttpServer m_server;
    Announcer m_announcer;
};

} // namespace crocuscove::testing
