// Randomized soak: real processes under signals, restarts and a fault proxy before every worker. It checks what clients
// and workers see. CROCUSCOVE_SOAK_SEEDS runs more seeds, from CROCUSCOVE_SOAK_FIRST_SEED on.

#include "integration/platform_fixture.h"

#include "crocuscove/base/random.h"

#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <thread>

namespace crocuscove::testing {
namespace {

using namespace std::chrono_literals;

/// Seeds that have failed before. 11: a task that was done before its worker was given up ran once more.
constexpr std::array<std::uint64_t, 1> failedSeeds { 11 };
constexpr std::uint64_t usualSeed = 1;
constexpr base::Milliseconds faultTime { 12'000 };
constexpr base::Milliseconds stepTime { 60 };
constexpr int workers = 4;
constexpr int maxLastingJobs = 8;
constexpr int controls = 3;
const std::string outerPrefix = "/q/";
const std::string innerPrefix = "/q/inner/";
/// A job starts nothing later than this after its cancelling was acknowledged (RULES, UNASKED).
constexpr base::Milliseconds cancelBound { 3'000 };

std::uint64_t environmentNumber(const char* name, std::uint64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

class PlatformSoak : public PlatformTest, public ::testing::WithParamInterface<std::uint64_t> {
protected:
    enum class JobFate { Open, Accepted, Refused, Cancelled };
    struct SoakJob {
        std::string id;
        std::string path;
        std::string body;
        bool isLasting = false;
        JobFate fate = JobFate::Open;
        /// An attempt may have been carried out without an answer.
        bool isUncertain = false;
        /// When its cancelling was acknowledged.
        std::int64_t cancelledAtMs = 0;
    };
    /// What becomes of the queue that has every other job, and whose path lies under that of the other queue.
    enum class InnerQueue { There, Removed, Moved, Renamed };
    struct Undo {
        base::MonotonicTime at;
        std::function<void()> run;
    };

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(high - low + 1));
    }

    void startProxies()
    {
        std::vector<std::string> arguments { flag("control", loopback(m_proxyControl).text()) };
        for (int number = 1; number <= workers; ++number) {
            m_workerListen.push_back(cluster.freePort());
            m_workerProxy.push_back(cluster.freePort());
            arguments.push_back(flag("target",
                workerName(number) + "=" + loopback(m_workerProxy.back()).text() + ">"
                    + loopback(m_workerListen.back()).text()));
        }
        nlohmann::json ready;
        cluster.startAndWait("proxies", standinProgram("fault_proxy"), arguments, ready);
    }

    static std::string workerName(int number) { return "w" + std::to_string(number); }

    void startSoakWorker(int number)
    {
        const auto index = static_cast<std::size_t>(number - 1);
        startWorker(workerName(number),
            { flag("listen", loopback(m_workerListen[index]).text()),
                flag("advertise", loopback(m_workerProxy[index]).text()) });
    }

    void proxy(const std::string& method, const std::string& path, const nlohmann::json& body = nullptr) const
    {
        static_cast<void>(Cluster::request(loopback(m_proxyControl), method, path, body.is_null() ? "" : body.dump()));
    }

    void undoLater(std::int64_t lowMs, std::int64_t highMs, std::function<void()> run)
    {
        m_undo.push_back({ base::monotonicNow() + base::Milliseconds(draw(lowMs, highMs)), std::move(run) });
    }

    void pause(const std::string& name, std::int64_t mostMs)
    {
        m_busy.insert(name);
        cluster.process(name).signal(SIGSTOP);
        undoLater(200, mostMs, [this, name] {
            cluster.process(name).signal(SIGCONT);
            m_busy.erase(name);
        });
    }

    void restartLater(const std::string& name, std::function<void()> start)
    {
        m_busy.insert(name);
        undoLater(50, 1'500, [this, name, start = std::move(start)] {
            start();
            m_busy.erase(name);
        });
    }

    void killWorker(int number)
    {
        const std::string name = workerName(number);
        cluster.process(name).kill();
        m_killed.push_back({ { "event", "killed" }, { "worker", name }, { "task", "" },
            { "atMs", base::wallNow().time_since_epoch().count() } });
        restartLater(name, [this, number] { startSoakWorker(number); });
    }

    void stopControl(int number, bool isGraceful)
    {
        ChildProcess& process = cluster.process(controlName(number));
        if (isGraceful) {
            process.signal(SIGTERM);
            EXPECT_EQ(process.waitForExit(), 0);
        } else {
            process.kill();
        }
        restartLater(controlName(number), [this, number] { startControl(number, false); });
    }

    /// Fills the disk of a control node for a while, beside whatever else happens to it.
    void fillDisk(int number)
    {
        const auto setFull = [this, number](bool isFull) {
            if (cluster.process(controlName(number)).isRunning()) {
                setDiskFull(number, isFull);
            }
        };
        setFull(true);
        const base::Milliseconds time(200 + m_diskRandom() % 2'800);
        m_undo.push_back({ base::monotonicNow() + time, [setFull] { setFull(false); } });
    }

    void stopEntry()
    {
        cluster.process("entry").signal(SIGTERM);
        EXPECT_EQ(cluster.process("entry").waitForExit(), 0);
        restartLater("entry", [this] { startEntry(); });
    }

    /// Returns whether the change was acknowledged.
    bool changeConfiguration()
    {
        nlohmann::json configuration = nlohmann::json::parse(platformConfiguration);
        configuration["version"] = ++m_version;
        nlohmann::json inner = configuration.at("routes").at(0);
        inner["name"] = m_innerQueue == InnerQueue::Renamed ? "renamed" : "inner";
        inner["pathPrefix"] = m_innerQueue == InnerQueue::Moved ? "/moved/" : innerPrefix;
        if (m_innerQueue != InnerQueue::Removed) {
            configuration["routes"].push_back(inner);
        }
        const int first = leader();
        return first != 0 && putConfiguration(first, configuration.dump()) == 200;
    }

    void disturb()
    {
        const int control = static_cast<int>(draw(1, controls));
        const int worker = static_cast<int>(draw(1, workers));
        if (m_diskRandom() % 8 == 0) {
            fillDisk(static_cast<int>(1 + m_diskRandom() % controls));
        }
        if (m_queueRandom() % 4 == 0) {
            m_innerQueue = static_cast<InnerQueue>(m_queueRandom() % 4);
            changeConfiguration();
        }
        const bool isControlBusy = m_busy.contains(controlName(control));
        const bool isWorkerBusy = m_busy.contains(workerName(worker));
        switch (draw(0, 9)) {
        case 0:
        case 1:
            return isControlBusy ? void() : stopControl(control, draw(0, 1) == 0);
        case 2:
            return isControlBusy ? void() : pause(controlName(control), 2'500);
        case 3:
            return isWorkerBusy ? void() : pause(workerName(worker), 7'000);
        case 4:
            return isWorkerBusy ? void() : killWorker(worker);
        case 5:
            return proxy("POST", "/proxies/" + workerName(worker) + "/reset");
        case 6:
            return m_busy.contains("entry") ? void() : stopEntry();
        case 7:
            return static_cast<void>(changeConfiguration());
        default:
            return breakConnections(workerName(worker));
        }
    }

    void breakConnections(const std::string& worker)
    {
        const std::array<nlohmann::json, 4> faults { nlohmann::json { { "cut", "to-target" } },
            nlohmann::json { { "cut", "to-client" } }, nlohmann::json { { "cut", "both" } },
            nlohmann::json { { "delayMs", draw(50, 900) }, { "jitterMs", draw(0, 400) } } };
        proxy("PUT", "/proxies/" + worker, faults[static_cast<std::size_t>(draw(0, 3))]);
        undoLater(300, 6'000, [this, worker] { proxy("DELETE", "/proxies/" + worker); });
    }

    void runUndo(bool isAll)
    {
        const auto now = base::monotonicNow();
        for (std::size_t item = 0; item < m_undo.size();) {
            if (!isAll && m_undo[item].at > now) {
                ++item;
                continue;
            }
            const Undo undo = m_undo[item];
            m_undo.erase(m_undo.begin() + static_cast<std::ptrdiff_t>(item));
            undo.run();
        }
    }

    void addJob()
    {
        SoakJob job;
        job.id = fmt::format("{:016x}", m_jobs.size() + 1);
        job.path = (m_jobs.size() % 2 == 0 ? outerPrefix : innerPrefix) + job.id;
        // The workers have room for all lasting tasks also when one of them is away.
        job.isLasting = draw(0, 9) == 0 && m_lastingJobs < maxLastingJobs;
        m_lastingJobs += job.isLasting ? 1 : 0;
        job.body
            = fmt::format(R"({{"spec":"{}","steps":[{{"count":{},"cpu":500,"memMb":16,"estRuntimeMs":100{}}}{}]}})",
                job.isLasting ? 0 : draw(20, 900), draw(1, 3), job.isLasting ? R"(,"longRunning":true)" : "",
                job.isLasting ? "" : R"(,{"count":1,"cpu":500,"memMb":16,"estRuntimeMs":100,"after":[0]})");
        m_jobs.push_back(std::move(job));
    }

    /// Sends what is open again, as clients do. A refusal ends a job only when no attempt may have been carried out.
    void sendJobs()
    {
        for (SoakJob& job : m_jobs) {
            if (job.fate == JobFate::Open && !m_busy.contains("entry")) {
                const int status = call("POST", job.path, job.body);
                if (status == 404 && job.isUncertain) {
                    // Its queue may come back.
                    continue;
                }
                if (status == 404) {
                    job.fate = JobFate::Refused;
                    return;
                }
                const bool isRefused = status == 503 || status == 429;
                job.isUncertain = job.isUncertain || (status != 200 && !isRefused);
                job.fate = status == 200                               ? JobFate::Accepted
                    : isRefused && !job.isUncertain && draw(0, 3) == 0 ? JobFate::Refused
                                                                       : job.fate;
                return;
            }
        }
        if (draw(0, 5) == 0 && !m_jobs.empty()) {
            SoakJob& job = m_jobs[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(m_jobs.size()) - 1))];
            if (job.fate != JobFate::Accepted) {
                return;
            }
            EXPECT_NE(call("GET", job.path), 410) << job.path << " was accepted";
            const int status = call("DELETE", job.path);
            if (status == 200 || status == 410) {
                job.fate = JobFate::Cancelled;
                job.cancelledAtMs = base::wallNow().time_since_epoch().count();
            }
        }
    }

    [[nodiscard]] std::vector<nlohmann::json> events() const
    {
        auto all = records();
        std::ranges::copy(m_killed, std::back_inserter(all));
        std::ranges::stable_sort(
            all, {}, [](const nlohmann::json& line) { return line.at("atMs").get<std::int64_t>(); });
        return all;
    }

    /// No task runs at two places, or starts after its end as done was noted; nothing refused has run.
    void checkRuns() const
    {
        std::map<std::string, std::string> running;
        std::set<std::string> noted;
        for (const nlohmann::json& line : events()) {
            const std::string event = line.at("event");
            const std::string task = line.at("task");
            const std::string worker = line.at("worker");
            if (event == "start") {
                EXPECT_TRUE(running.emplace(task, worker).second) << task << " runs twice: " << line;
                EXPECT_FALSE(noted.contains(task)) << task << " started after it was noted as done: " << line;
            } else if (event == "killed") {
                std::erase_if(running, [&](const auto& entry) { return entry.second == worker; });
            } else if (event == "end" && running.contains(task) && running.at(task) == worker) {
                running.erase(task);
            } else if (event == "noted" && line.at("detail") == "done") {
                noted.insert(task);
            }
        }
        for (const SoakJob& job : m_jobs) {
            EXPECT_TRUE(job.fate != JobFate::Refused || starts(job.id + ".0.0.0") == 0) << job.id << " was refused";
        }
    }

    /// Returns the tasks that run by now, of all jobs.
    [[nodiscard]] std::map<std::string, std::string> runningTasks() const
    {
        std::map<std::string, std::string> running;
        for (const nlohmann::json& line : events()) {
            const std::string event = line.at("event");
            if (event == "start") {
                running[line.at("task")] = line.at("worker");
            } else if (event == "end") {
                running.erase(line.at("task"));
            } else if (event == "killed") {
                std::erase_if(running, [&](const auto& entry) { return entry.second == line.at("worker"); });
            }
        }
        return running;
    }

    /// A job that was cancelled starts nothing after the bound, and nothing of it runs on.
    void checkCancelled() const
    {
        std::map<std::string, std::int64_t> cancelled;
        for (const SoakJob& job : m_jobs) {
            if (job.fate == JobFate::Cancelled) {
                cancelled[job.id] = job.cancelledAtMs;
            }
        }
        const auto jobOf = [](const std::string& task) { return task.substr(0, task.find('.')); };
        EXPECT_TRUE(waitUntil([&] {
            return std::ranges::none_of(
                runningTasks(), [&](const auto& entry) { return cancelled.contains(jobOf(entry.first)); });
        })) << "a cancelled job runs on";
        for (const nlohmann::json& line : events()) {
            const auto job = cancelled.find(jobOf(line.at("task")));
            EXPECT_FALSE(line.at("event") == "start" && job != cancelled.end()
                && line.at("atMs").get<std::int64_t>() > job->second + cancelBound.count())
                << "cancelled before: " << line;
        }
    }

    /// Every accepted job ends or runs; what was cancelled no longer does.
    void checkJobs()
    {
        for (SoakJob& job : m_jobs) {
            if (job.fate == JobFate::Open) {
                EXPECT_TRUE(waitUntil([&] { return call("POST", job.path, job.body) == 200; })) << job.id;
                job.fate = JobFate::Accepted;
            }
            if (job.fate != JobFate::Accepted) {
                continue;
            }
            const std::string wanted = job.isLasting ? "running" : "done";
            EXPECT_TRUE(waitUntil([&] { return stateAt(job.path) == wanted; }))
                << job.id << " is " << stateAt(job.path);
        }
        for (const SoakJob& job : m_jobs) {
            if (job.fate == JobFate::Cancelled) {
                const std::string seen = stateAt(job.path);
                EXPECT_TRUE(seen == "cancelled" || (seen == "done" && !job.isLasting)) << job.id << " is " << seen;
            }
        }
    }

    base::Random m_random { GetParam() };
    /// Apart from the other faults, so that a seed keeps its schedule of those.
    base::Random m_diskRandom { GetParam() + 1'000'000 };
    base::Random m_queueRandom { GetParam() + 2'000'000 };
    std::uint16_t m_proxyControl = cluster.freePort();
    std::vector<std::uint16_t> m_workerListen;
    std::vector<std::uint16_t> m_workerProxy;
    std::vector<SoakJob> m_jobs;
    int m_lastingJobs = 0;
    std::vector<Undo> m_undo;
    std::set<std::string> m_busy;
    std::vector<nlohmann::json> m_killed;
    int m_version = 3;
    InnerQueue m_innerQueue = InnerQueue::There;
};

// Guards against tasks that run twice, accepted jobs that are lost or said not to exist, refusals that are untrue, and
// cancelled jobs that go on, under series of overlapping faults and changes of the configuration.
TEST_P(PlatformSoak, KeepsItsPromises)
{
    ASSERT_TRUE(configure());
    ASSERT_TRUE(waitUntil([this] { return changeConfiguration(); }));
    startProxies();
    for (int number = 1; number <= workers; ++number) {
        startSoakWorker(number);
    }
    const auto end = base::monotonicNow() + faultTime;
    auto nextFault = base::monotonicNow() + base::Milliseconds(1'000);
    while (base::monotonicNow() < end) {
        addJob();
        sendJobs();
        if (base::monotonicNow() >= nextFault) {
            disturb();
            nextFault = base::monotonicNow() + base::Milliseconds(draw(50, 1'200));
        }
        runUndo(false);
        std::this_thread::sleep_for(stepTime);
    }
    runUndo(true);
    proxy("DELETE", "/proxies/*");
    m_innerQueue = InnerQueue::There;
    ASSERT_TRUE(waitUntil([this] { return changeConfiguration(); }));
    checkJobs();
    checkCancelled();
    checkRuns();
}

std::vector<std::uint64_t> seeds()
{
    std::vector<std::uint64_t> all(failedSeeds.begin(), failedSeeds.end());
    const std::uint64_t first = environmentNumber("CROCUSCOVE_SOAK_FIRST_SEED", usualSeed);
    const std::uint64_t count = environmentNumber("CROCUSCOVE_SOAK_SEEDS", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        if (std::ranges::find(failedSeeds, seed) == failedSeeds.end()) {
            all.push_back(seed);
        }
    }
    return all;
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlatformSoak, ::testing::ValuesIn(seeds()),
    [](const auto& seed) { return "Seed" + std::to_string(seed.param); });

} // namespace
} // namespace crocuscove::testing
