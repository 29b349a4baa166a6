#include "routing/simulation.h"

#include "crocuscove/routing/backend_directory.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace crocuscove::bench {
namespace {

using namespace routing;

/// One way, between data centres and within one.
constexpr base::Microseconds farLatency { 1400 };
constexpr base::Microseconds nearLatency { 200 };
constexpr std::size_t dataCentres = 3;
constexpr base::Microseconds batchInterval { 50000 };
constexpr base::Microseconds failureTime { 2000 };
constexpr double runTimeSpread = 0.3;

double toSeconds(base::Microseconds time) { return static_cast<double>(time.count()) * 1e-6; }

struct Event {
    base::MonotonicTime time;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const { return std::pair(other.time, other.order) < std::pair(time, order); }
};

struct LiveRequest {
    Sample sample;
    std::size_t node = 0;
    base::MonotonicTime arrival;
    base::Microseconds runTime { 0 };
    base::MonotonicTime deadline;
    bool isCounted = false;
};

struct Attempt {
    RequestId request = 0;
    std::size_t backend = 0;
    bool isRunning = false;
    bool hasEnded = false;
};

struct Executor {
    std::uint32_t running = 0;
    bool isFailing = false;
};

struct Service {
    std::vector<BackendView> views;
    std::vector<Executor> executors;
    std::unique_ptr<SlotScheme> scheme;
    std::vector<std::unique_ptr<Router>> routers;
    std::vector<std::optional<base::MonotonicTime>> wakes;
    std::vector<std::map<AttemptId, Attempt>> attempts;
    std::vector<BackendDirectory> directories;
};

class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        for (std::size_t i = 0; i < scenario.executors.size(); ++i) {
            addService(i);
        }
    }

    Totals run()
    {
        const auto end = at(m_scenario.seconds);
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        for (const auto& service : m_services) {
            m_totals.messages += service->scheme->messages();
        }
        const double measured = m_scenario.seconds - m_scenario.warmUpSeconds;
        for (const auto& service : m_services) {
            m_totals.capacityWork += measured * m_scenario.slots * static_cast<double>(service->views.size());
        }
        return std::move(m_totals);
    }

private:
    static base::MonotonicTime at(double seconds)
    {
        return base::MonotonicTime(base::Microseconds(static_cast<std::int64_t>(seconds * 1e6)));
    }
    [[nodiscard]] double seconds() const { return toSeconds(m_now.time_since_epoch()); }

    [[nodiscard]] static base::Microseconds latency(std::size_t node, std::size_t backend)
    {
        return node % dataCentres == backend % dataCentres ? nearLatency : farLatency;
    }

    void schedule(base::Microseconds delay, std::function<void()> run)
    {
        m_events.push({ m_now + delay, ++m_order, std::move(run) });
    }

    [[nodiscard]] document::ServiceDocument documentOf() const
    {
        document::ServiceDocument document;
        document.service = base::ServiceId("s");
        for (const auto& kind : m_scenario.kinds) {
            document.requests.push_back(kind.kind);
        }
        document.limits.maxQueued = m_scenario.maxQueued;
        document.limits.maxInFlightPerClient = 1000000;
        return document;
    }

    void addService(std::size_t index)
    {
        auto& service = *m_services.emplace_back(std::make_unique<Service>());
        const auto count = m_scenario.executors[index];
        service.executors.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            BackendView view;
            view.backend = base::BackendId("s" + std::to_string(index) + "-" + std::to_string(100 + i));
            view.incarnation = 1;
            view.dataCentre = base::DataCentreId("dc" + std::to_string(i % dataCentres));
            view.rack = base::RackId("rack" + std::to_string(i / 4));
            view.slots = m_scenario.slots;
            view.connections = 64;
            view.leaseDeadline = base::MonotonicTime::max();
            service.executors[i].isFailing = static_cast<double>(i) < m_scenario.failing * static_cast<double>(count);
            service.views.push_back(view);
        }
        service.scheme = makeScheme(
            m_scenario.scheme, m_scenario.nodes, service.views, farLatency,
            [this](base::Microseconds delay, std::function<void(base::MonotonicTime)> run) {
                schedule(delay, [this, run = std::move(run)] { run(m_now); });
            },
            [this, index](std::size_t node) { changeSlots(index, node); });
        service.wakes.resize(m_scenario.nodes);
        service.attempts.resize(m_scenario.nodes);
        for (std::size_t node = 0; node < m_scenario.nodes; ++node) {
            auto options = m_scenario.options;
            options.dataCentre = base::DataCentreId("dc" + std::to_string(node % dataCentres));
            const auto seed = m_scenario.seed * 1000 + index * 10 + node;
            service.routers.push_back(
                m_scenario.isBaseline ? baselineRouter(documentOf()) : dispatcherRouter(documentOf(), options, seed));
            service.directories.emplace_back();
            renew(index, node);
            changeSlots(index, node);
            schedule(base::Microseconds(static_cast<std::int64_t>(node) * 7000), [=, this] { batch(index, node); });
            for (std::size_t kind = 0; kind < m_scenario.kinds.size(); ++kind) {
                scheduleArrival(index, node, kind);
            }
        }
    }

    [[nodiscard]] double meanRunTime(std::size_t kind) const
    {
        const double spread = std::exp(runTimeSpread * runTimeSpread / 2);
        return toSeconds(m_scenario.kinds[kind].median) * spread
            * (1.0 + m_scenario.stragglers * (m_scenario.stragglerFactor - 1.0));
    }

    void scheduleArrival(std::size_t index, std::size_t node, std::size_t kind)
    {
        const double slots = m_scenario.slots * static_cast<double>(m_scenario.executors[index]);
        const double load = m_scenario.load(index, seconds()) * m_scenario.nodeShares[node];
        const double rate = load * slots * m_scenario.kinds[kind].share / meanRunTime(kind);
        // A load that changes is looked at again after a tenth of a second.
        constexpr double step = 0.1;
        const double gap = rate > 0.0 ? std::exponential_distribution<double>(rate)(m_random) : step * 2;
        if (gap > step) {
            schedule(base::Microseconds(static_cast<std::int64_t>(step * 1e6)),
                [=, this] { scheduleArrival(index, node, kind); });
            return;
        }
        schedule(base::Microseconds(static_cast<std::int64_t>(gap * 1e6)), [=, this] {
            arrive(index, node, kind);
            scheduleArrival(index, node, kind);
        });
    }

    void arrive(std::size_t index, std::size_t node, std::size_t kind)
    {
        const auto id = ++m_lastRequest;
        auto& live = m_requests[id];
        live.node = node;
        live.arrival = m_now;
        live.deadline = m_now + m_scenario.kinds[kind].kind.deadline;
        double runTime = toSeconds(m_scenario.kinds[kind].median)
            * std::lognormal_distribution<double>(0.0, runTimeSpread)(m_random);
        runTime *= base::randomUnit(m_random) < m_scenario.stragglers ? m_scenario.stragglerFactor : 1.0;
        live.runTime = base::Microseconds(static_cast<std::int64_t>(runTime * 1e6) + 1);
        live.isCounted = seconds() >= m_scenario.warmUpSeconds;
        live.sample = { index, kind, seconds(), 0.0, 0.0, runTime, false, false, false };
        const Request request { id, kind, base::TeamId("team" + std::to_string(id % 4)), {} };
        call(index, node, [&](Router& router) { return router.arrive(m_now, request); });
    }

    template <typename F> void call(std::size_t index, std::size_t node, F&& function)
    {
        auto& service = *m_services[index];
        const auto start = std::chrono::steady_clock::now();
        const auto actions = function(*service.routers[node]);
        m_totals.coreSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        ++m_totals.events;
        apply(index, node, actions);
        service.scheme->event(node, service.routers[node]->queued());
        wakeLater(index, node);
    }

    void wakeLater(std::size_t index, std::size_t node)
    {
        auto& service = *m_services[index];
        const auto next = service.routers[node]->nextDeadline();
        auto& wake = service.wakes[node];
        if (!next || (wake && *wake <= *next)) {
            return;
        }
        wake = next;
        m_events.push({ std::max(*next, m_now), ++m_order, [=, this] {
                           auto& planned = m_services[index]->wakes[node];
                           if (planned == next) {
                               planned.reset();
                               call(index, node, [&](Router& router) { return router.tick(m_now); });
                           }
                       } });
    }

    /// Renews the announcements of every backend server at a node.
    void renew(std::size_t index, std::size_t node)
    {
        auto& service = *m_services[index];
        for (const auto& view : service.views) {
            Announcement announcement;
            announcement.service = base::ServiceId("s");
            announcement.backend = view.backend;
            announcement.host = "127.0.0.1";
            announcement.port = 9000;
            announcement.incarnation = view.incarnation;
            announcement.dataCentre = view.dataCentre;
            announcement.rack = view.rack;
            announcement.slots = view.slots;
            announcement.connections = view.connections;
            service.directories[node].announce(m_now, announcement);
        }
        showBackends(index, node);
        schedule(announcementRenewal, [=, this] { renew(index, node); });
    }

    void showBackends(std::size_t index, std::size_t node)
    {
        const auto views = m_services[index]->directories[node].views(base::ServiceId("s"));
        call(index, node, [&](Router& router) { return router.updateBackends(m_now, views); });
    }

    void changeSlots(std::size_t index, std::size_t node)
    {
        call(index, node,
            [&](Router& router) { return router.updateSlots(m_now, m_services[index]->scheme->limits(node)); });
    }

    void batch(std::size_t index, std::size_t node)
    {
        auto& service = *m_services[index];
        if (!service.directories[node].tick(m_now).empty()) {
            showBackends(index, node);
        }
        const auto usage = service.routers[node]->usage();
        service.scheme->batch(m_now, node, usage, service.routers[node]->queued());
        if (node == 0 && seconds() >= m_scenario.warmUpSeconds) {
            sampleUse(service);
        }
        schedule(batchInterval, [=, this] { batch(index, node); });
    }

    void sampleUse(const Service& service)
    {
        std::size_t queued = 0;
        std::size_t used = 0;
        std::size_t executing = 0;
        for (const auto& router : service.routers) {
            queued += router->queued();
        }
        for (const auto& executor : service.executors) {
            executing += executor.running;
        }
        for (const auto& attempts : service.attempts) {
            used += attempts.size();
        }
        if (queued > service.views.size()) {
            m_totals.slotsUsed += static_cast<double>(used);
            m_totals.slotsExecuting += static_cast<double>(executing);
            m_totals.slotsThere += static_cast<double>(service.views.size()) * m_scenario.slots;
        }
    }

    void apply(std::size_t index, std::size_t node, const Actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([&](const auto& each) { take(index, node, each); }, action);
        }
    }

    void take(std::size_t index, std::size_t node, const Dispatch& dispatch)
    {
        auto& service = *m_services[index];
        ++(dispatch.reason == DispatchReason::Retry ? m_totals.retries : m_totals.firstDispatches);
        const auto view = std::ranges::find(service.views, dispatch.backend, &BackendView::backend);
        const auto backend = static_cast<std::size_t>(view - service.views.begin());
        service.attempts[node][dispatch.attempt] = { dispatch.request, backend };
        schedule(latency(node, backend), [=, this, attempt = dispatch.attempt] { begin(index, node, attempt); });
    }

    void begin(std::size_t index, std::size_t node, AttemptId id)
    {
        auto& service = *m_services[index];
        const auto found = service.attempts[node].find(id);
        if (found == service.attempts[node].end()) {
            return;
        }
        auto& attempt = found->second;
        auto& executor = service.executors[attempt.backend];
        if (executor.running >= m_scenario.slots) {
            if (service.scheme->refuses()) {
                ++m_totals.backendRefusals;
                schedule(latency(node, attempt.backend), [=, this] { answer(index, node, id, AttemptEnd::Refused); });
                return;
            }
            ++m_totals.overruns;
        }
        auto& live = m_requests.at(attempt.request);
        if (!live.sample.isDispatched) {
            live.sample.isDispatched = true;
            live.sample.wait = toSeconds(m_now - live.arrival - latency(node, attempt.backend));
        }
        ++executor.running;
        attempt.isRunning = true;
        const auto runTime = executor.isFailing ? failureTime : live.runTime;
        schedule(runTime, [=, this] { end(index, node, id); });
    }

    void end(std::size_t index, std::size_t node, AttemptId id)
    {
        auto& service = *m_services[index];
        const auto found = service.attempts[node].find(id);
        if (found == service.attempts[node].end()) {
            return;
        }
        auto& attempt = found->second;
        attempt.isRunning = false;
        attempt.hasEnded = true;
        auto& executor = service.executors[attempt.backend];
        --executor.running;
        service.scheme->ended(attempt.backend);
        const auto how = executor.isFailing ? AttemptEnd::ServerError : AttemptEnd::Answered;
        schedule(latency(node, attempt.backend), [=, this] { answer(index, node, id, how); });
    }

    void answer(std::size_t index, std::size_t node, AttemptId id, AttemptEnd how)
    {
        auto& service = *m_services[index];
        const auto found = service.attempts[node].find(id);
        if (found == service.attempts[node].end()) {
            return;
        }
        const auto backend = found->second.backend;
        service.attempts[node].erase(found);
        service.scheme->answered(node, backend);
        const auto changes = service.directories[node].observe(m_now, service.views[backend].backend, how);
        call(index, node, [&](Router& router) { return router.finish(m_now, { id, how }); });
        if (!changes.empty()) {
            showBackends(index, node);
        }
    }

    void take(std::size_t index, std::size_t node, const Abort& abort)
    {
        auto& service = *m_services[index];
        const auto found = service.attempts[node].find(abort.attempt);
        if (found == service.attempts[node].end()) {
            return;
        }
        const auto backend = found->second.backend;
        if (found->second.isRunning) {
            --service.executors[backend].running;
        }
        // The node keeps the slot for its next request, unless the backend server has given it to others already.
        if (found->second.hasEnded) {
            schedule(base::Microseconds(0), [=, this] { m_services[index]->scheme->answered(node, backend); });
        }
        service.attempts[node].erase(found);
    }

    void take(std::size_t, std::size_t, const Refuse& refuse)
    {
        m_requests.at(refuse.request).sample.isRefused = true;
        conclude(refuse.request);
    }

    void take(std::size_t, std::size_t, const Conclude& conclusion)
    {
        auto& live = m_requests.at(conclusion.request);
        live.sample.isGood = conclusion.reason == ConcludeReason::Answered && m_now <= live.deadline;
        conclude(conclusion.request);
    }

    void conclude(RequestId id)
    {
        auto& live = m_requests.at(id);
        live.sample.total = toSeconds(m_now - live.arrival);
        if (!live.sample.isDispatched) {
            live.sample.wait = live.sample.total;
        }
        if (live.sample.isGood && seconds() >= m_scenario.warmUpSeconds) {
            m_totals.goodWork += live.sample.work;
        }
        if (live.isCounted) {
            m_totals.samples.push_back(live.sample);
        }
        m_requests.erase(id);
    }

    Scenario m_scenario;
    base::Random m_random;
    base::MonotonicTime m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<Service>> m_services;
    std::unordered_map<RequestId, LiveRequest> m_requests;
    RequestId m_lastRequest = 0;
    Totals m_totals;
};

} // namespace

Totals simulate(const Scenario& scenario) { return Simulation(scenario).run(); }

} // namespace crocuscove::bench
