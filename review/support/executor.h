// An executor as PROTOCOL has it: orders by call, leases on its own clock, ends that are listed until they are noted.
#pragma once

#include "record.h"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace review {

struct ExecutorOptions {
    std::string id;
    std::string service;
    std::string rack = "r1";
    Address listen;
    /// What it reports as its address, such as that of a proxy.
    Address advertise;
    std::vector<Address> controls;
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 262'144;
    std::string record;
};

class Executor {
public:
    explicit Executor(ExecutorOptions options)
        : m_options(std::move(options))
        , m_record(m_options.record)
        , m_startedAt(steadyMs())
        , m_born(unixMs())
    {
    }

    void run()
    {
        const int listener = listenOn(m_options.listen);
        m_record.add(m_options.id, "up", { { "born", m_born } });
        std::thread([this] { keepTime(); }).detach();
        std::thread([this] { report(); }).detach();
        serve(listener, [this](const Message& request) { return handle(request); });
    }

private:
    static constexpr std::int64_t maxHoldMs = 10'000;
    static constexpr std::int64_t stopMs = 50;
    static constexpr std::int64_t heartbeatMs = 1'500;
    static constexpr std::size_t maxListed = 500;

    struct Run {
        int number = 0;
        /// By its clock; 0 for a work item that lasts.
        std::int64_t doneAt = 0;
        std::int64_t stopAt = 0;
    };

    [[nodiscard]] std::int64_t clockMs() const { return steadyMs() - m_startedAt; }

    Answer answer(int status, Json body) const
    {
        body["clockMs"] = clockMs();
        body["born"] = m_born;
        return { status, body.dump() };
    }

    Answer refuse(const Json& order, const std::string& reason)
    {
        m_record.add(m_options.id, "refused",
            { { "task", order.value("task", "") }, { "run", order.value("run", 0) }, { "reason", reason } });
        return answer(409, { { "reason", reason } });
    }

    Answer handle(const Message& request)
    {
        if (request.path == "/health") {
            return { 200, "" };
        }
        const auto instance = request.headers.find("expect-instance");
        if (instance != request.headers.end() && instance->second != m_options.id) {
            return answer(421, Json::object());
        }
        const Json order = Json::parse(request.body, nullptr, false);
        if (!order.is_object()) {
            return answer(400, Json::object());
        }
        std::unique_lock lock(m_mutex);
        const auto fence = order.value("fence", std::int64_t { 0 });
        if (fence < m_fence) {
            return refuse(order, "fence");
        }
        m_fence = fence;
        if (request.path == "/api/run-start") {
            return start(order);
        }
        if (request.path == "/api/run-stop") {
            return stop(order);
        }
        if (request.path == "/api/hold") {
            return hold(order, lock);
        }
        return answer(200, Json::object());
    }

    void extendLease(const Json& order)
    {
        endLapsed();
        if (order.contains("deadlineMs")) {
            m_leaseMs = std::max(m_leaseMs, std::min(order["deadlineMs"].get<std::int64_t>(), clockMs() + maxHoldMs));
        }
    }

    /// The spec is the run time in milliseconds, with "~N" up to N more, by the work item.
    static std::int64_t workTime(const std::string& task, const std::string& spec)
    {
        const auto spread = spec.find('~');
        const std::int64_t more = spread == std::string::npos ? 0 : std::atoll(spec.c_str() + spread + 1);
        return std::atoll(spec.c_str())
            + (more > 0 ? static_cast<std::int64_t>(std::hash<std::string> {}(task) % more) : 0);
    }

    Answer start(const Json& order)
    {
        const std::string task = order.at("task");
        const int number = order.at("run");
        const bool isLate = order.value("deadlineMs", std::int64_t { 0 }) <= clockMs();
        extendLease(order);
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number == number) {
            return answer(200, Json::object());
        }
        const auto past = m_past.find(task);
        if (running != m_running.end() || (past != m_past.end() && past->second >= number)) {
            return refuse(order, "old");
        }
        if (isLate) {
            return refuse(order, "late");
        }
        const std::int64_t workMs = workTime(task, order.value("spec", "0"));
        m_running[task] = { number, workMs > 0 ? clockMs() + workMs : 0, 0 };
        m_record.add(m_options.id, "start",
            { { "task", task }, { "run", number }, { "fence", m_fence },
                { "deadlineMs", order.value("deadlineMs", std::int64_t { 0 }) }, { "clockMs", clockMs() } });
        return answer(200, Json::object());
    }

    Answer stop(const Json& order)
    {
        const std::string task = order.at("task");
        const int number = order.at("run");
        m_past[task] = std::max(m_past[task], number);
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number <= number && running->second.stopAt == 0) {
            running->second.stopAt = clockMs() + stopMs;
        }
        return answer(200, Json::object());
    }

    Answer hold(const Json& order, std::unique_lock<std::mutex>& lock)
    {
        extendLease(order);
        const auto cursor = order.value("ackCursor", std::int64_t { 0 });
        std::erase_if(m_ended, [&](const Json& row) {
            if (row[0].get<std::int64_t>() > cursor) {
                return false;
            }
            m_record.add(m_options.id, "noted", { { "task", row[1] }, { "run", row[2] }, { "how", row[3] } });
            return true;
        });
        const auto waitMs = std::min<std::int64_t>(2'000, order.value("waitMs", std::int64_t { 0 }));
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [this] { return !m_ended.empty(); });
        Json running = Json::array();
        for (const auto& [task, run] : m_running) {
            running.push_back(Json::array({ task, run.number, "", 100, 0 }));
        }
        Json ended = Json::array();
        for (std::size_t row = 0; row < std::min(maxListed, m_ended.size()); ++row) {
            ended.push_back(m_ended[row]);
        }
        return answer(200, { { "running", running }, { "ended", ended } });
    }

    void end(const std::string& task, const std::string& how)
    {
        const int number = m_running.at(task).number;
        m_running.erase(task);
        m_past[task] = std::max(m_past[task], number);
        m_ended.push_back(Json::array({ ++m_lastEnd, task, number, how, "" }));
        m_record.add(m_options.id, "end", { { "task", task }, { "run", number }, { "how", how } });
        m_changed.notify_all();
    }

    void endLapsed()
    {
        while (clockMs() > m_leaseMs && !m_running.empty()) {
            end(std::string(m_running.begin()->first), "lapsed");
        }
    }

    void keepTime()
    {
        while (true) {
            sleepMs(5);
            const std::lock_guard lock(m_mutex);
            endLapsed();
            const auto now = clockMs();
            std::vector<std::pair<std::string, std::string>> over;
            for (const auto& [task, run] : m_running) {
                if (run.stopAt > 0 && run.stopAt <= now) {
                    over.emplace_back(task, "stopped");
                } else if (run.doneAt > 0 && run.doneAt <= now) {
                    over.emplace_back(task, "done");
                }
            }
            for (const auto& [task, how] : over) {
                end(task, how);
            }
        }
    }

    /// Checks in at a control node, follows 307, and goes on to the next node after a failure.
    bool checkIn(Address control)
    {
        Json body { { "service", m_options.service }, { "address", m_options.advertise.text() }, { "zone", "z1" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", 0 } } },
            { "labels", { "a", m_options.rack } }, { "clockMs", clockMs() }, { "seq", ++m_sequence },
            { "born", m_born } };
        for (int hop = 0; hop < 3; ++hop) {
            const Message reply
                = call(control, "PUT", "/api/instances/" + m_options.id, body.dump(), control.text(), 1'000);
            if (reply.status == 200) {
                return true;
            }
            const auto location = reply.headers.find("location");
            if (reply.status != 307 || location == reply.headers.end()) {
                return false;
            }
            const std::string target = location->second.substr(std::string("http://").size());
            control = parseAddress(target.substr(0, target.find('/')));
        }
        return false;
    }

    void report()
    {
        std::size_t next = 0;
        while (true) {
            const bool isAcked = checkIn(m_options.controls[next % m_options.controls.size()]);
            next += isAcked ? 0 : 1;
            sleepMs(isAcked ? heartbeatMs : 100);
        }
    }

    ExecutorOptions m_options;
    Record m_record;
    std::int64_t m_startedAt;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseMs = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_running;
    /// The highest run of each work item that was stopped or has ended here.
    std::map<std::string, int> m_past;
    std::vector<Json> m_ended;
};

} // namespace review
