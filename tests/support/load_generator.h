#pragma once

#include "crocuscove/base/log.h"
#include "crocuscove/http/http_client.h"
#include "support/json_lines.h"
#include "support/load_schedule.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocuscove::testing {

struct LoadOptions {
    std::vector<base::Endpoint> targets;
    /// Share of each target; equal shares when empty.
    std::vector<std::int64_t> targetWeights;
    std::vector<LoadClass> classes;
    /// Client teams and their shares, for the header Crocuscove-Client.
    std::vector<std::string> clients;
    std::int64_t ratePerSecond = 100;
    std::int64_t durationMs = 10'000;
    std::int64_t maxRequests = 1'000'000;
    /// A request beyond this many open ones is recorded as not sent.
    std::int64_t maxOpen = 10'000;
    std::int64_t seed = 1;
    SurgeOptions surge;
    std::int64_t runSigmaPercent = 0;
    std::int64_t stragglerPercent = 0;
    std::int64_t stragglerFactor = 50;
    /// Adds Idempotency-Key to requests of non-idempotent classes.
    bool sendsKeys = false;
    /// Added to a class's deadline before the client gives up.
    std::int64_t graceMs = 2'000;
    std::string recordsFile;
};

/// Open-loop client load: arrivals don't wait for answers. Each request is named by `X-Load-Id`.
class LoadGenerator {
public:
    /// `onDone` runs once, when the last answer has come.
    LoadGenerator(http::EventLoop& loop, const base::Log& log, LoadOptions options, std::function<void()> onDone);

    /// Sends no more requests.
    void stop();

    /// Counts and latency quantiles, in total and for each class.
    [[nodiscard]] nlohmann::ordered_json summary() const;

private:
    struct ClassState {
        LoadClass kind;
        ArrivalProcess arrivals;
        base::Microseconds next {};
        http::Timer timer;
        std::vector<double> latenciesMs;
        std::map<std::string, std::uint64_t> outcomes;
    };

    void scheduleNext(ClassState& state);
    void arrive(ClassState& state);
    void send(ClassState& state, const std::string& id, std::size_t target);
    [[nodiscard]] http::HttpRequest makeRequest(const ClassState& state, const std::string& id);
    void finish(ClassState& state, nlohmann::ordered_json record, base::MonotonicTime start,
        const http::ExchangeResult& result);
    void writeRecord(ClassState& state, const nlohmann::ordered_json& record);
    void finishWhenDone();

    http::EventLoop& m_loop;
    const base::Log& m_log;
    LoadOptions m_options;
    std::function<void()> m_onDone;
    base::Random m_random;
    JsonLinesFile m_records;
    base::MonotonicTime m_start;
    std::vector<ClassState> m_classes;
    std::int64_t m_sent = 0;
    std::int64_t m_open = 0;
    std::int64_t m_notSent = 0;
    bool m_isStopped = false;
    http::Timer m_end;
    http::HttpClient m_client;
};

} // namespace crocuscove::testing
