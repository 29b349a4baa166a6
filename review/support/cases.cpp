#include "cases.h"

#include <atomic>
#include <cstdio>
#include <limits>

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;

std::string job(const std::string& spec, int count, int cpu, int memMb = 1024)
{
    return Json {
        { "spec", spec },
        { "steps", { { { "count", count }, { "cpu", cpu }, { "memMb", memMb }, { "estRuntimeMs", 800 } } } }
    }.dump();
}

void startFleet(System& system, const std::vector<std::string>& machines)
{
    system.startAll();
    system.putManifest();
    for (const std::string& machine : machines) {
        system.startExecutor(machine);
    }
}

/// Hands in a short job and waits until it is done, so that the whole path is known to work.
void warmUp(System& system, const std::string& id)
{
    system.submit(id, job("100", 1, 1'000));
    if (system.awaitState(id, { "done" }, 15'000) != "done") {
        throw CannotRun("the first job isn't done");
    }
}

/// A work item crashes each executor that starts it, a while after its start. After three crashes it must not be
/// started three times more.
int budgetAfterCrashes(System& system, bool hasTrouble)
{
    constexpr std::int64_t crashAfterMs = 2'500;
    constexpr std::int64_t backAfterMs = 2'000;
    constexpr int crashesCounted = 3;
    constexpr int startsAllowed = 2;
    const std::vector<std::string> machines { "m-1", "m-2", "m-3" };
    for (const std::string& machine : machines) {
        system.addMachine(machine, "i-" + machine, "pool");
    }
    startFleet(system, machines);
    warmUp(system, "00000000000000a1");
    const std::string id = "00000000000000b1";
    system.submit(id, job("4000", 1, 3'500));
    int crashes = 0;
    int startsAfter = 0;
    std::string state;
    std::map<std::int64_t, std::string> back;
    const auto restartDue = [&] {
        while (!back.empty() && back.begin()->first <= steadyMs()) {
            system.startExecutor(back.begin()->second);
            back.erase(back.begin());
        }
    };
    for (int start = 1; startsAfter <= startsAllowed; ++start) {
        std::optional<Json> line;
        for (const std::int64_t end = steadyMs() + 12'000; !line && steadyMs() < end;) {
            restartDue();
            state = system.ask(id);
            if (state == "failed" || state == "done") {
                break;
            }
            line = system.awaitStart(id + ".0.0.0", start, 50);
        }
        if (!line) {
            break;
        }
        startsAfter += crashes >= crashesCounted ? 1 : 0;
        if (!hasTrouble) {
            continue;
        }
        for (const std::int64_t end = steadyMs() + crashAfterMs; steadyMs() < end; sleepMs(10)) {
            restartDue();
        }
        const std::string machine = (*line)["who"].get<std::string>().substr(std::string("i-").size());
        system.killProcess(machine);
        ++crashes;
        back.emplace(steadyMs() + backAfterMs, machine);
    }
    std::printf("executors crashed under the work item: %d; starts after the third crash: %d, at most %d allowed; the "
                "job is %s\n",
        crashes, startsAfter, startsAllowed, state.c_str());
    if (!hasTrouble && state != "done") {
        throw CannotRun("the job isn't done");
    }
    return startsAfter > startsAllowed ? broken : held;
}

/// The platform's machines: orders of upkeep are carried out by the thread of the case, since it starts executors.
class Upkeep {
public:
    static constexpr std::int64_t slowMs = 3'000;
    static constexpr std::int64_t upkeepMs = 2'000;

    explicit Upkeep(System& system)
        : m_system(system)
    {
        system.onMachineOrder
            = [this](const std::string& path, const Json& order) { return handle(path, order.value("machine", "")); };
    }

    /// The next order is carried out slowly.
    void slowDown()
    {
        const std::lock_guard lock(m_mutex);
        m_isSlow = true;
    }

    /// Waits until that order has come.
    void awaitSlowOrder()
    {
        for (const std::int64_t end = steadyMs() + 15'000; steadyMs() < end; work(10)) {
            const std::lock_guard lock(m_mutex);
            if (!m_isSlow) {
                return;
            }
        }
        throw CannotRun("no machine of the wave was ordered");
    }

    /// Carries out what is due, for a while.
    void work(std::int64_t ms)
    {
        const std::int64_t end = steadyMs() + ms;
        do {
            carryOut();
            sleepMs(5);
        } while (steadyMs() < end);
    }

    [[nodiscard]] bool isOver(const std::set<std::string>& machines)
    {
        const std::lock_guard lock(m_mutex);
        return m_down.empty() && std::includes(m_begun.begin(), m_begun.end(), machines.begin(), machines.end());
    }

    [[nodiscard]] std::size_t mostDown() const { return m_mostDown; }

private:
    Answer handle(const std::string& path, const std::string& machine)
    {
        if (path != "/api/machine-upkeep") {
            return { 409, R"({"reason":"busy"})" };
        }
        std::unique_lock lock(m_mutex);
        const std::int64_t delayMs = std::exchange(m_isSlow, false) ? slowMs : 0;
        if (m_begun.count(machine) == 0) {
            m_due.emplace(steadyMs() + delayMs, std::pair(machine, true));
            m_changed.wait_for(
                lock, std::chrono::milliseconds(delayMs + 500), [&] { return m_begun.count(machine) != 0; });
        }
        return { m_begun.count(machine) != 0 ? 200 : 409, R"({"reason":"busy"})" };
    }

    void carryOut()
    {
        while (true) {
            std::string machine;
            bool isBegin = false;
            {
                const std::lock_guard lock(m_mutex);
                if (m_due.empty() || m_due.begin()->first > steadyMs()) {
                    return;
                }
                std::tie(machine, isBegin) = m_due.begin()->second;
                m_due.erase(m_due.begin());
                if (isBegin && !m_begun.insert(machine).second) {
                    continue;
                }
                if (isBegin) {
                    m_down.insert(machine);
                    m_mostDown = std::max(m_mostDown, m_down.size());
                    m_due.emplace(steadyMs() + upkeepMs, std::pair(machine, false));
                } else {
                    m_down.erase(machine);
                }
                m_system.record().add("platform", isBegin ? "upkeep begins" : "upkeep ends",
                    { { "machine", machine }, { "down", m_down.size() } });
            }
            if (isBegin) {
                m_system.killProcess(machine);
            }
            m_system.withMachines([&](std::map<std::string, Machine>& machines) {
                Machine& entry = machines.at(machine);
                entry.state = isBegin ? "upkeep" : "up";
                entry.worker += isBegin ? "" : "-next";
            });
            if (!isBegin) {
                m_system.startExecutor(machine);
            }
            m_changed.notify_all();
        }
    }

    System& m_system;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isSlow = false;
    std::set<std::string> m_begun;
    std::set<std::string> m_down;
    std::size_t m_mostDown = 0;
    /// When an upkeep begins (true) or ends.
    std::multimap<std::int64_t, std::pair<std::string, bool>> m_due;
};

/// All control nodes are killed right after an order of upkeep, which the platform carries out slowly. At most one
/// machine of a wave may be down at a time. Repeated with further waves until the rule is broken.
int limitAfterRestart(System& system, bool hasTrouble)
{
    constexpr int waves = 6;
    // Of the two machines of a wave the first is at work for a while, so that the wave begins with the second.
    const auto name = [](int wave, int machine) { return "m-" + std::to_string(wave) + std::to_string(machine); };
    std::vector<std::string> machines { "m-9" };
    system.addMachine("m-9", "i-9", "pool");
    for (int wave = 1; wave <= waves; ++wave) {
        for (int machine = 1; machine <= 2; ++machine) {
            machines.push_back(name(wave, machine));
            system.addMachine(machines.back(), "i-" + machines.back(), "pool", "r-" + machines.back());
        }
    }
    Upkeep upkeep(system);
    startFleet(system, machines);
    warmUp(system, "00000000000000a1");
    for (int wave = 1; wave <= waves && upkeep.mostDown() < 2; ++wave) {
        upkeep.work(500);
        const std::string id = "00000000000000b" + std::to_string(wave);
        system.submit(id,
            Json { { "spec", "1200" },
                { "steps",
                    { { { "count", 1 }, { "cpu", 3'500 }, { "memMb", 1024 }, { "estRuntimeMs", 800 },
                        { "requires", "r-" + name(wave, 1) } } } } }
                .dump());
        if (!system.awaitStart(id + ".0.0.0", 1, 10'000)) {
            throw CannotRun("the work item didn't start");
        }
        const int leader = system.leader();
        if (leader == 0) {
            throw CannotRun("no node leads");
        }
        upkeep.slowDown();
        system.operate("POST", "/api/wave-start",
            Json { { "wave", wave }, { "machines", { name(wave, 1), name(wave, 2) } }, { "completeByS", 25 },
                { "maxCount", 1 } }
                .dump());
        upkeep.awaitSlowOrder();
        if (hasTrouble) {
            upkeep.work(50);
            for (int number = 1; number <= 3; ++number) {
                system.killProcess("core-" + std::to_string(number));
            }
            upkeep.work(100);
            system.startControl(leader, false);
            upkeep.work(300);
            for (int number = 1; number <= 3; ++number) {
                if (number != leader) {
                    system.startControl(number, false);
                }
            }
        }
        const std::int64_t end = steadyMs() + 20'000;
        while (steadyMs() < end && !upkeep.isOver({ name(wave, 1), name(wave, 2) })) {
            upkeep.work(100);
        }
        if (steadyMs() >= end) {
            throw CannotRun("a wave didn't end");
        }
    }
    std::printf("most machines of a wave down at a time: %zu, at most 1 allowed\n", upkeep.mostDown());
    return upkeep.mostDown() > 1 ? broken : held;
}

/// A proxy before an executor that can hold up one start: it is delivered late, and its answer is lost.
class LatePath {
public:
    LatePath(System& system, const Address& listen)
        : m_system(system)
    {
        const int listener = listenOn(listen);
        std::thread([this, listener] {
            while (true) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                std::thread([this, fd] { pass(fd); }).detach();
            }
        }).detach();
    }

    void setTarget(const Address& target) { m_target = target; }

    void holdNextStart(std::int64_t ms) { m_holdMs = ms; }

    [[nodiscard]] bool hasHeld() const { return m_hasHeld; }

private:
    void pass(int fd)
    {
        std::string buffer;
        int out = -1;
        std::string answers;
        while (auto request = readMessage(fd, buffer, steadyMs() + 60'000, true)) {
            const bool isStart = request->path == "/api/run-start";
            const std::int64_t holdMs = isStart ? m_holdMs.exchange(0) : 0;
            if (holdMs > 0) {
                m_system.record().add("network", "start held up", { { "order", request->body } });
                m_hasHeld = true;
                sleepMs(holdMs);
                m_system.record().add("network", "start delivered", { { "order", request->body } });
                if (out >= 0) {
                    close(std::exchange(out, -1));
                }
            }
            if (out < 0) {
                out = connectTo(m_target, 500);
            }
            const std::string text = request->method + " " + request->path + " HTTP/1.1\r\nHost: " + m_target.text()
                + "\r\nContent-Type: application/json\r\nExpect-Instance: " + request->headers["expect-instance"]
                + "\r\nContent-Length: " + std::to_string(request->body.size()) + "\r\n\r\n" + request->body;
            const auto answer
                = out >= 0 && sendAll(out, text) ? readMessage(out, answers, steadyMs() + 5'000, false) : std::nullopt;
            if (!answer
                || !sendAll(fd,
                    "HTTP/1.1 " + std::to_string(answer->status) + " X\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body)) {
                break;
            }
        }
        if (out >= 0) {
            close(out);
        }
        close(fd);
    }

    System& m_system;
    Address m_target;
    std::atomic<std::int64_t> m_holdMs = 0;
    std::atomic<bool> m_hasHeld = false;
};

/// The longest time in milliseconds for which two runs of one work item were at work at the same time on executors that
/// were up. `machineOf` names the machine of each executor.
std::int64_t longestOverlap(const std::vector<Json>& lines, const std::map<std::string, std::string>& machineOf)
{
    struct Span {
        std::string task;
        std::string machine;
        int run = 0;
        std::int64_t begin = 0;
        std::int64_t end = std::numeric_limits<std::int64_t>::max();
    };
    std::vector<Span> spans;
    constexpr auto open = std::numeric_limits<std::int64_t>::max();
    for (const Json& line : lines) {
        const std::string event = line["event"];
        const std::string who = line["who"];
        const std::int64_t at = line["atMs"];
        if (event == "start") {
            spans.push_back({ line["task"], machineOf.at(who), line["run"], at, open });
        }
        for (Span& span : spans) {
            const bool isEnd = event == "end" && span.machine == machineOf.at(who) && span.task == line["task"]
                && span.run == line["run"];
            if (span.end == open && (isEnd || (event == "killed" && span.machine == who))) {
                span.end = at;
            }
        }
    }
    std::int64_t longest = 0;
    for (const Span& one : spans) {
        for (const Span& other : spans) {
            if (&one != &other && one.task == other.task) {
                longest = std::max(longest, std::min(one.end, other.end) - std::max(one.begin, other.begin));
            }
        }
    }
    return longest;
}

/// A start gets no answer and is delivered late; meanwhile its executor crashes and starts again under the same id.
int twiceAfterRebirth(System& system, bool hasTrouble)
{
    const Address front { "127.0.3.1", system.freePort() };
    LatePath path(system, front);
    path.setTarget(system.addMachine("m-1", "i-m-1", "pool", "r1", front).listen);
    system.addMachine("m-2", "i-m-2", "pool", "r2");
    startFleet(system, { "m-1", "m-2" });
    warmUp(system, "00000000000000a1");
    // Work that stays on m-1 makes it the fuller of the two, which is chosen first.
    system.submit("00000000000000a2",
        Json { { "spec", "60000" },
            { "steps",
                { { { "count", 1 }, { "cpu", 10'000 }, { "memMb", 1024 }, { "estRuntimeMs", 60'000 },
                    { "requires", "r1" } } } } }
            .dump());
    if (!system.awaitStart("00000000000000a2.0.0.0", 1, 10'000)) {
        throw CannotRun("the work item didn't start");
    }
    sleepMs(5'000);
    if (hasTrouble) {
        path.holdNextStart(4'000);
    }
    const std::string id = "00000000000000b1";
    system.submit(id, job("9000", 1, 3'500));
    if (hasTrouble) {
        for (const std::int64_t end = steadyMs() + 5'000; steadyMs() < end && !path.hasHeld(); sleepMs(10)) { }
        if (!path.hasHeld()) {
            throw CannotRun("no start came to the executor");
        }
        sleepMs(300);
        system.killProcess("m-1");
        sleepMs(500);
        system.startExecutor("m-1");
    }
    const std::string state = system.awaitState(id, { "done" }, 40'000);
    const std::int64_t overlap = longestOverlap(system.lines(), { { "i-m-1", "m-1" }, { "i-m-2", "m-2" } });
    std::printf("two runs of one work item at the same time: for %lld ms; the job is %s\n",
        static_cast<long long>(overlap), state.c_str());
    if (state != "done") {
        throw CannotRun("the job isn't done");
    }
    return overlap > 0 ? broken : held;
}

/// Many jobs come at once and fill the service for a while. One of its executors, which runs a work item that lasts, is
/// lost for good. The work item must run again, however full the service is.
int lostWhileFull(System& system, bool hasTrouble)
{
    constexpr std::int64_t calmMs = 7'000;
    constexpr std::int64_t patienceMs = 3'000;
    constexpr int executors = 8;
    std::vector<std::string> machines;
    for (int number = 1; number <= executors; ++number) {
        machines.push_back("m-" + std::to_string(number));
        system.addMachine(machines.back(), "i-" + machines.back(), "pool", "r-" + machines.back());
    }
    startFleet(system, machines);
    warmUp(system, "00000000000000a1");
    const std::string id = "00000000000000b1";
    system.submit(id,
        Json { { "spec", "0" },
            { "steps",
                { { { "count", 1 }, { "cpu", 8'000 }, { "memMb", 100'000 }, { "estRuntimeMs", 900 },
                    { "longRunning", true } } } } }
            .dump());
    const auto first = system.awaitStart(id + ".0.0.0", 1, 10'000);
    if (!first) {
        throw CannotRun("the work item that lasts didn't start");
    }
    sleepMs(2'000);
    // For 4 s 16 jobs a second, each of 32 work items that take 0.6 to 1.6 s.
    constexpr int jobs = 64;
    const std::int64_t begin = steadyMs();
    for (int number = 0; number < jobs; ++number) {
        sleepMs(std::max<std::int64_t>(0, begin + number * 4'000 / jobs - steadyMs()));
        system.submit("00000000000001" + std::to_string(10 + number), job("600~1000", 32, 4'000, 16'000));
    }
    const std::string machine = (*first)["who"].get<std::string>().substr(std::string("i-").size());
    if (!hasTrouble) {
        sleepMs(20'000);
        const auto lines = system.lines();
        const bool hasEnded = std::any_of(lines.begin(), lines.end(),
            [&](const Json& line) { return line["event"] == "end" && line["task"] == id + ".0.0.0"; });
        std::printf("the work item that lasts %s\n", hasEnded ? "has ended" : "runs on");
        return hasEnded ? broken : held;
    }
    system.killProcess(machine);
    system.removeMachine(machine);
    const std::int64_t lostAt = unixMs();
    const auto again = system.awaitStart(id + ".0.0.0", 2, 60'000);
    const std::int64_t endAt = again ? (*again)["atMs"].get<std::int64_t>() : unixMs();
    int startsBefore = 0;
    for (const Json& line : system.lines()) {
        const std::int64_t at = line["atMs"];
        startsBefore += line["event"] == "start" && at > lostAt + calmMs && at < endAt ? 1 : 0;
    }
    const std::int64_t awayMs = endAt - lostAt;
    std::printf(
        "the work item that lasts was away for %lld ms, at most 10000 allowed; %d other work items were started "
        "before it, later than 7 s after its executor was lost\n",
        static_cast<long long>(awayMs), startsBefore);
    return awayMs > calmMs + patienceMs ? broken : held;
}

} // namespace

const std::map<std::string, Case>& cases()
{
    static const std::map<std::string, Case> result {
        { "budget-after-crashes", budgetAfterCrashes },
        { "limit-after-restart", limitAfterRestart },
        { "twice-after-rebirth", twiceAfterRebirth },
        { "lost-while-full", lostWhileFull },
    };
    return result;
}

} // namespace review
