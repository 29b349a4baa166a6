#include "support/load_generator.h"

#include "support/run_times.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace crocuscove::testing {

namespace {

http::HttpClientOptions clientOptions(const LoadOptions& options)
{
    http::HttpClientOptions client;
    client.maxOpenCalls = static_cast<std::size_t>(options.maxOpen);
    client.maxIdlePerEndpoint = 256;
    return client;
}

double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

nlohmann::ordered_json describeClass(
    std::vector<double> latencies, const std::map<std::string, std::uint64_t>& outcomes)
{
    std::ranges::sort(latencies);
    return { { "answers", latencies.size() }, { "outcomes", outcomes },
        { "latencyMs",
            { { "p50", quantile(latencies, 0.5) }, { "p90", quantile(latencies, 0.9) },
                { "p99", quantile(latencies, 0.99) }, { "p999", quantile(latencies, 0.999) },
                { "max", quantile(latencies, 1) } } } };
}

/// Returns the id that the answer names, by header or body.
std::string answerIdOf(const http::HttpResponse& response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("load") && body["load"].is_string()) {
        return body["load"];
    }
    return std::string(response.headers.get("X-Load-Id"));
}

} // namespace

LoadGenerator::LoadGenerator(
    http::EventLoop& loop, const base::Log& log, LoadOptions options, std::function<void()> onDone)
    : m_loop(loop)
    , m_log(log)
    , m_options(std::move(options))
    , m_onDone(std::move(onDone))
    , m_random(static_cast<base::Random::result_type>(m_options.seed))
    , m_records(m_options.recordsFile)
    , m_start(base::monotonicNow())
    , m_client(loop, clientOptions(m_options))
{
    if (m_options.targetWeights.empty()) {
        m_options.targetWeights.assign(m_options.targets.size(), 1);
    }
    const auto& kinds = m_options.classes;
    const auto total = static_cast<double>(std::accumulate(kinds.begin(), kinds.end(), std::int64_t(0),
        [](std::int64_t sum, const LoadClass& kind) { return sum + kind.weight; }));
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        const double mean
            = static_cast<double>(m_options.ratePerSecond) * static_cast<double>(kinds[index].weight) / total;
        m_classes.push_back(
            { kinds[index], ArrivalProcess(mean, m_options.surge, index, kinds.size()), {}, {}, {}, {} });
    }
    m_log.info("started", { { "seed", m_options.seed }, { "ratePerSecond", m_options.ratePerSecond } });
    std::ranges::for_each(m_classes, [this](ClassState& state) { scheduleNext(state); });
    m_end = m_loop.runAt(m_start + base::Milliseconds(m_options.durationMs), [this] { stop(); });
}

void LoadGenerator::stop()
{
    m_isStopped = true;
    m_end.cancel();
    std::ranges::for_each(m_classes, [](ClassState& state) { state.timer.cancel(); });
    // Not within the constructor or a callback of the client.
    m_end = m_loop.runAt(base::monotonicNow(), [this] { finishWhenDone(); });
}

void LoadGenerator::scheduleNext(ClassState& state)
{
    state.next = state.arrivals.next(state.next, m_random);
    state.timer = m_loop.runAt(m_start + state.next, [this, &state] { arrive(state); });
}

void LoadGenerator::arrive(ClassState& state)
{
    if (m_sent + m_notSent >= m_options.maxRequests) {
        return stop();
    }
    const std::string id = fmt::format("load-{}-{}", m_options.seed, m_sent + m_notSent + 1);
    send(state, id, drawWeighted(m_options.targetWeights, m_random));
    scheduleNext(state);
}

void LoadGenerator::send(ClassState& state, const std::string& id, std::size_t target)
{
    const base::MonotonicTime now = base::monotonicNow();
    nlohmann::ordered_json record { { "id", id }, { "class", state.kind.name },
        { "idempotent", state.kind.isIdempotent }, { "target", m_options.targets[target].text() },
        { "atMs", base::wallNow().time_since_epoch().count() }, { "status", 0 }, { "outcome", "" }, { "failure", "" },
        { "answerId", "" }, { "latencyMs", 0.0 } };
    if (m_open >= m_options.maxOpen) {
        ++m_notSent;
        record["failure"] = "not-sent";
        return writeRecord(state, record);
    }
    ++m_sent;
    ++m_open;
    m_client.call(m_options.targets[target], makeRequest(state, id),
        now + base::Milliseconds(state.kind.deadlineMs + m_options.graceMs),
        [this, &state, record = std::move(record), now](
            const http::ExchangeResult& result) { finish(state, record, now, result); });
}

http::HttpRequest LoadGenerator::makeRequest(const ClassState& state, const std::string& id)
{
    const RunTimeOptions runTimes { state.kind.runMs, m_options.runSigmaPercent, m_options.stragglerPercent,
        m_options.stragglerFactor };
    http::HttpRequest request;
    request.method = state.kind.method;
    request.path = state.kind.path;
    request.headers.add("X-Load-Id", id);
    request.headers.add("X-Run-Ms", std::to_string(drawRunTime(runTimes, state.kind.runMs, m_random).count()));
    if (!m_options.clients.empty()) {
        const auto index = std::uniform_int_distribution<std::size_t>(0, m_options.clients.size() - 1)(m_random);
        request.headers.add("Crocuscove-Client", m_options.clients[index]);
    }
    if (m_options.sendsKeys && !state.kind.isIdempotent) {
        request.headers.add("Idempotency-Key", id);
    }
    if (request.method != "GET") {
        request.body = id;
    }
    return request;
}

void LoadGenerator::finish(
    ClassState& state, nlohmann::ordered_json record, base::MonotonicTime start, const http::ExchangeResult& result)
{
    --m_open;
    const double latencyMs = std::chrono::duration<double, std::milli>(base::monotonicNow() - start).count();
    record["latencyMs"] = latencyMs;
    record["failure"] = http::exchangeFailureName(result.failure);
    if (result.response) {
        record["status"] = result.response->status;
        record["outcome"] = result.response->headers.get("Crocuscove-Outcome");
        record["answerId"] = answerIdOf(*result.response);
    }
    state.latenciesMs.push_back(latencyMs);
    writeRecord(state, record);
    if (m_isStopped) {
        m_end = m_loop.runAt(base::monotonicNow(), [this] { finishWhenDone(); });
    }
}

void LoadGenerator::writeRecord(ClassState& state, const nlohmann::ordered_json& record)
{
    const std::string outcome = record["outcome"];
    const std::string failure = record["failure"];
    ++state.outcomes[outcome.empty() ? "no-outcome:" + failure : outcome];
    m_records.append(record);
}

void LoadGenerator::finishWhenDone()
{
    if (m_open == 0 && m_onDone) {
        std::exchange(m_onDone, nullptr)();
    }
}

nlohmann::ordered_json LoadGenerator::summary() const
{
    nlohmann::ordered_json classes = nlohmann::ordered_json::object();
    std::vector<double> latencies;
    std::map<std::string, std::uint64_t> outcomes;
    for (const ClassState& state : m_classes) {
        classes[state.kind.name] = describeClass(state.latenciesMs, state.outcomes);
        latencies.insert(latencies.end(), state.latenciesMs.begin(), state.latenciesMs.end());
        std::ranges::for_each(state.outcomes, [&](const auto& entry) { outcomes[entry.first] += entry.second; });
    }
    return { { "sent", m_sent }, { "notSent", m_notSent }, { "open", m_open }, { "seed", m_options.seed },
        { "total", describeClass(latencies, outcomes) }, { "classes", classes } };
}

} // namespace crocuscove::testing
