// A real control process with many workers and long-running tasks, while a large wave closes VMs: its processor time,
// and whether it stays leader. With a second program, such as that of an earlier revision, the first is compared with
// it. Usage: bench_leader [workers] [program] [baseline program]

#include "crocuscove/base/error.h"
#include "crocuscove/base/time.h"
#include "report.h"
#include "support/cluster.h"
#include "support/standin_executor.h"
#include "support/standin_vms.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace crocuscove::bench {
namespace {

using testing::Cluster;
using testing::flag;
using testing::loopback;

constexpr std::size_t defaultWorkers = 1'100;
constexpr std::size_t longRunningJobs = 24;
constexpr int longRunningTasks = 24;
constexpr base::Milliseconds loadTime { 15'000 };
constexpr base::Milliseconds jobInterval { 50 };
/// A leader that sends no heartbeat for longer gives no orders.
constexpr double leadershipValidityMs = 300;
constexpr int statusOk = 200;

const std::string configuration
    = R"({"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","kind":"non_idempotent",)"
      R"("timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":2,"stretch":1.6}],)"
      R"("services":[{"name":"pool","admissionCheck":false,"standby":false}],"limits":{}})";

/// What one run of a program took.
struct Figures {
    double processorSeconds = 0;
    double terms = 0;
    double longestWorkMs = 0;
};

double processorSeconds(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    // The fields after the name, which may hold spaces: state is the first, user and system time the 12th and 13th.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 0; field < 11; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Workers and the interface for their VMs, on a thread of their own.
class StandIns {
public:
    StandIns(std::size_t workers, const base::Endpoint& control, std::uint16_t vmPort)
        : m_thread([this, workers, control, vmPort] { run(workers, control, vmPort); })
    {
    }

    ~StandIns()
    {
        m_isStopping = true;
        m_thread.join();
    }

    StandIns(const StandIns&) = delete;
    StandIns& operator=(const StandIns&) = delete;

private:
    void run(std::size_t count, const base::Endpoint& control, std::uint16_t vmPort)
    {
        http::EventLoop loop;
        std::vector<std::unique_ptr<testing::StandinExecutor>> workers;
        testing::StandinVmsOptions vms;
        vms.listen = loopback(vmPort);
        for (std::size_t number = 1; number <= count; ++number) {
            testing::StandinExecutorOptions options;
            options.id = fmt::format("w{}", number);
            options.controls = { control };
            options.reportIntervalMs = 1'500;
            workers.push_back(std::make_unique<testing::StandinExecutor>(loop, options));
            vms.vms.push_back(fmt::format("vm{}={}@{}", number, options.id, loopback(workers.back()->port()).text()));
        }
        const testing::StandinVms platform(loop, vms);
        const auto stop = loop.runEvery(base::Milliseconds(50), [&] {
            if (m_isStopping) {
                loop.stop();
            }
        });
        loop.run();
    }

    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

class Scenario {
public:
    Scenario(std::size_t workers, const std::string& program)
        : m_workers(workers)
        , m_control(loopback(m_cluster.freePort()))
        , m_entry(loopback(m_cluster.freePort()))
        , m_metrics(loopback(m_cluster.freePort()))
    {
        const std::uint16_t internalPort = m_cluster.freePort();
        const std::uint16_t vmPort = m_cluster.freePort();
        m_cluster.start("control", program,
            { "control", flag("name", "control"), flag("listen", m_control.text()), flag("internal-port", internalPort),
                flag("seeds", m_control.text()), flag("first-start", "true"), flag("losses-borne", 0),
                flag("data-folder", m_cluster.path("data")), flag("vm-interface", loopback(vmPort).text()),
                flag("metrics-listen", m_metrics.text()) });
        m_cluster.start("entry", program,
            { "entry", flag("listen", m_entry.text()), flag("ready-listen", loopback(m_cluster.freePort()).text()),
                flag("internal-port", internalPort), flag("seeds", m_control.text()) });
        require("a leader", [&] { return call(m_control, "PUT", "/api/config", configuration); });
        m_standIns = std::make_unique<StandIns>(workers, m_control, vmPort);
        require("all workers",
            [&] { return metric("crocuscove_state{name=\"workers\"}") >= static_cast<double>(workers); });
    }

    Figures run()
    {
        for (std::size_t job = 1; job <= longRunningJobs; ++job) {
            submit(job,
                fmt::format(R"({{"spec":"0","steps":[{{"count":{},"cpu":2000,"memMb":64,"longRunning":true}}]}})",
                    longRunningTasks));
        }
        const double tasks = static_cast<double>(longRunningJobs) * longRunningTasks;
        require("the long-running tasks",
            [&] { return metric("crocuscove_operation_duration_seconds_count{operation=\"task_start\"}") >= tasks; });
        std::string vms;
        for (std::size_t number = 1; number <= m_workers / 2; ++number) {
            vms += fmt::format("{}\"vm{}\"", vms.empty() ? "" : ",", number);
        }
        require("the wave", [&] {
            return call(m_control, "POST", "/api/wave-start",
                fmt::format(R"({{"wave":1,"machines":[{}],"completeByS":60,"maxCount":{}}})", vms, m_workers / 6));
        });
        const int pid = m_cluster.process("control").pid();
        const double before = processorSeconds(pid);
        const auto end = base::monotonicNow() + loadTime;
        for (std::size_t job = 1000; base::monotonicNow() < end; ++job) {
            submit(job, R"({"spec":"500","steps":[{"count":8,"cpu":1000,"memMb":64,"estRuntimeMs":500}]})");
            std::this_thread::sleep_for(jobInterval);
        }
        Figures figures;
        figures.processorSeconds = processorSeconds(pid) - before;
        for (const nlohmann::json& line : m_cluster.process("control").outputLines()) {
            const std::string event = line.value("event", "");
            figures.terms += event == "serving_started" ? 1 : 0;
            if (event == "long_work") {
                figures.longestWorkMs = std::max(figures.longestWorkMs, line.value("took_ms", 0.0));
            }
        }
        return figures;
    }

private:
    static void require(const std::string& what, const std::function<bool()>& condition)
    {
        if (!testing::waitUntil(condition)) {
            throw base::Error(what + ": not there in time");
        }
    }

    static bool call(
        const base::Endpoint& endpoint, const std::string& method, const std::string& path, const std::string& body)
    {
        http::Headers headers;
        headers.add("Host", "h.example");
        const auto result = Cluster::request(endpoint, method, path, body, headers);
        return result.response && result.response->status == statusOk;
    }

    void submit(std::size_t job, const std::string& body)
    {
        require("a job", [&] { return call(m_entry, "POST", fmt::format("/q/{:016x}", job), body); });
    }

    /// Returns the value of a metric of the control process; 0 if there is none.
    [[nodiscard]] double metric(const std::string& name) const
    {
        const auto result = Cluster::request(m_metrics, "GET", "/metrics");
        const std::string text = result.response ? result.response->body : "";
        const auto line = text.find(name + " ");
        return line == std::string::npos ? 0 : std::stod(text.substr(line + name.size()));
    }

    std::size_t m_workers;
    Cluster m_cluster;
    base::Endpoint m_control;
    base::Endpoint m_entry;
    base::Endpoint m_metrics;
    std::unique_ptr<StandIns> m_standIns;
};

Figures measure(std::size_t workers, const std::string& program)
{
    const Figures figures = Scenario(workers, program).run();
    report(fmt::format("{}: processor time under a wave", program), figures.processorSeconds, "s");
    report("longest part of its work, 0 below 50 ms", figures.longestWorkMs, "ms", "300 ms",
        figures.longestWorkMs < leadershipValidityMs);
    report("terms in which it led", figures.terms, "", "1", figures.terms <= 1);
    return figures;
}

int run(const std::vector<std::string>& arguments)
{
    const std::size_t workers = arguments.empty() ? defaultWorkers : std::stoul(arguments[0]);
    const Figures figures = measure(workers, arguments.size() > 1 ? arguments[1] : testing::crocuscoveProgram);
    if (arguments.size() > 2) {
        const Figures baseline = measure(workers, arguments[2]);
        report("ratio of the processor times", figures.processorSeconds / baseline.processorSeconds, "");
    }
    return 0;
}

} // namespace
} // namespace crocuscove::bench

int main(int argc, char** argv) { return crocuscove::bench::run({ argv + 1, argv + argc }); }
