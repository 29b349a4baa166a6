#pragma once

#include "support/cluster.h"
#include "support/json_lines.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::testing {

inline const std::string platformConfiguration
    = R"({"version":3,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","kind":"non_idempotent",)"
      R"("timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":2,"stretch":1.6}],)"
      R"("services":[{"name":"pool","admissionCheck":false,"standby":false}],"limits":{}})";

/// Control nodes, an entry node and workers of the users' platform as real processes.
class PlatformTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_controlPort = cluster.freePort();
        m_internalPort = cluster.freePort();
        m_entryPort = cluster.freePort();
        m_readyPort = cluster.freePort();
        m_vmPort = cluster.freePort();
        m_metricsPort = cluster.freePort();
        for (int number = 1; number <= 3; ++number) {
            startControl(number, true);
        }
        startEntry();
    }

    void startEntry()
    {
        cluster.start("entry", crocuscoveProgram,
            { "entry", flag("listen", loopback(m_entryPort).text()), flag("ready-listen", loopback(m_readyPort).text()),
                flag("internal-port", m_internalPort), flag("seeds", seeds()) });
    }

    static std::string address(int number) { return "127.0.1." + std::to_string(number); }
    [[nodiscard]] base::Endpoint control(int number) const { return { address(number), m_controlPort }; }
    static std::string controlName(int number) { return "control-" + std::to_string(number); }

    [[nodiscard]] std::string seeds() const
    {
        return control(1).text() + "," + control(2).text() + "," + control(3).text();
    }

    void startControl(int number, bool isFirstStart)
    {
        cluster.start(controlName(number), crocuscoveProgram,
            { "control", flag("name", controlName(number)), flag("listen", control(number).text()),
                flag("internal-port", m_internalPort), flag("seeds", seeds()),
                flag("first-start", isFirstStart ? "true" : "false"),
                flag("data-folder", cluster.path("data-" + std::to_string(number))),
                flag("vm-interface", loopback(m_vmPort).text()),
                flag("metrics-listen", base::Endpoint { address(number), m_metricsPort }.text()) });
    }

    /// Makes every write of a control node that extends a file fail, as on a full disk, or lets them succeed again.
    void setDiskFull(int number, bool isFull)
    {
        const int pid = cluster.process(controlName(number)).pid();
        rlimit limit {};
        ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, nullptr, &limit), 0);
        limit.rlim_cur = isFull ? 0 : limit.rlim_max;
        ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, &limit, nullptr), 0);
    }

    /// Returns a gauge of a control node; nothing while the node doesn't answer.
    [[nodiscard]] std::optional<double> gauge(int number, const std::string& name) const
    {
        const auto result = Cluster::request({ address(number), m_metricsPort }, "GET", "/metrics");
        const std::string text = result.response ? result.response->body : "";
        const auto line = text.find("{name=\"" + name + "\"}");
        const auto value = line == std::string::npos ? line : text.find(' ', line);
        return value == std::string::npos ? std::nullopt : std::optional(std::stod(text.substr(value)));
    }

    /// Starts the platform's interface for VMs; one VM for each worker, named like it with "vm-" before.
    void startVms(const std::vector<std::string>& more = {})
    {
        std::string vms;
        for (const auto& [worker, port] : m_workerPorts) {
            vms += fmt::format("{}vm-{}={}@{}", vms.empty() ? "" : ",", worker, worker, loopback(port).text());
        }
        std::vector<std::string> arguments { flag("listen", loopback(m_vmPort).text()), flag("vms", vms),
            flag("records", cluster.path("vms.records")) };
        arguments.insert(arguments.end(), more.begin(), more.end());
        nlohmann::json ready;
        cluster.startAndWait("vms", standinProgram("standin_vms"), arguments, ready);
    }

    int startWave(const std::string& body) const
    {
        const auto result = Cluster::request(control(leader()), "POST", "/api/wave-start", body);
        return result.response ? result.response->status : 0;
    }

    [[nodiscard]] bool isWaveDone(int wave) const
    {
        const auto state = Cluster::getJson(control(std::max(1, leader())), "/api/wave-get/" + std::to_string(wave));
        return state.is_object() && state.value("state", "") == "done";
    }

    /// Checks that no more VMs were under maintenance at a time.
    void expectMostDown(std::size_t most) const
    {
        std::size_t down = 0;
        for (const nlohmann::json& line : readJsonLines(cluster.path("vms.records"))) {
            if (line.at("event") == "down") {
                ++down;
            } else if (line.at("event") == "up") {
                --down;
            }
            EXPECT_LE(down, most) << line;
        }
    }

    void startWorker(const std::string& id, const std::vector<std::string>& more = {})
    {
        std::vector<std::string> arguments { flag("id", id), flag("controls", seeds()),
            flag("records", cluster.path(id + ".records")) };
        arguments.insert(arguments.end(), more.begin(), more.end());
        nlohmann::json ready;
        cluster.startAndWait(id, standinProgram("standin_executor"), arguments, ready);
        m_workers.insert(id);
        m_workerPorts[id] = ready.at("port").get<std::uint16_t>();
    }

    /// Returns the number of the node that answers as the leader, or 0. The others redirect, or have no leader.
    [[nodiscard]] int leader() const
    {
        for (int number = 1; number <= 3; ++number) {
            const auto result = Cluster::request(control(number), "GET", "/api/wave-get/1");
            if (result.response && (result.response->status == 200 || result.response->status == 404)) {
                return number;
            }
        }
        return 0;
    }

    int waitForLeader(int except = 0)
    {
        EXPECT_TRUE(waitUntil([&] { return leader() != 0 && leader() != except; }));
        return leader();
    }

    int putConfiguration(int number, const std::string& text = platformConfiguration) const
    {
        const auto result = Cluster::request(control(number), "PUT", "/api/config", text);
        return result.response ? result.response->status : 0;
    }

    /// Puts the configuration until it is acknowledged, as operators do after a 503.
    bool configure()
    {
        return waitUntil([&] { return putConfiguration(std::max(1, leader())) == 200; });
    }

    int call(const std::string& method, const std::string& path, const std::string& body = "",
        const std::string& host = "h.example") const
    {
        http::Headers headers;
        headers.add("Host", host);
        const auto result = Cluster::request(loopback(m_entryPort), method, path, body, headers);
        m_body = result.response ? result.response->body : "";
        return result.response ? result.response->status : 0;
    }

    [[nodiscard]] std::string state(const std::string& job) const { return stateAt("/q/" + job); }

    [[nodiscard]] std::string stateAt(const std::string& path) const
    {
        return call("GET", path) == 200 ? nlohmann::json::parse(m_body).value("state", "") : "";
    }

    /// Submits until the job is accepted, as clients do after an answer that leaves the outcome open.
    void submit(const std::string& job, const std::string& body)
    {
        EXPECT_TRUE(waitUntil([&] { return call("POST", "/q/" + job, body) == 200; }));
    }

    [[nodiscard]] std::vector<nlohmann::json> records() const
    {
        std::vector<nlohmann::json> all;
        for (const std::string& worker : m_workers) {
            for (nlohmann::json& line : readJsonLines(cluster.path(worker + ".records"))) {
                line["worker"] = worker;
                all.push_back(std::move(line));
            }
        }
        std::ranges::stable_sort(
            all, {}, [](const nlohmann::json& line) { return line.at("atMs").get<std::int64_t>(); });
        return all;
    }

    [[nodiscard]] std::size_t starts(const std::string& task) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(records(),
            [&](const nlohmann::json& line) { return line.at("event") == "start" && line.at("task") == task; }));
    }

    /// Counts the starts of a task after it has crashed `crashes` workers.
    [[nodiscard]] std::size_t startsAfterCrashes(const std::string& task, std::size_t crashes) const
    {
        std::size_t crashed = 0;
        std::size_t started = 0;
        for (const nlohmann::json& line : records()) {
            if (line.at("task") == task) {
                crashed += line.at("event") == "crash" ? 1 : 0;
                started += line.at("event") == "start" && crashed >= crashes ? 1 : 0;
            }
        }
        return started;
    }

    /// Tells whether any task ran twice at the same time, or started after it was done.
    void expectNoTaskTwice() const
    {
        std::set<std::string> running;
        std::set<std::string> done;
        for (const nlohmann::json& line : records()) {
            const auto task = line.at("task").get<std::string>();
            if (line.at("event") == "start") {
                EXPECT_TRUE(running.insert(task).second) << task << " runs twice";
                EXPECT_FALSE(done.contains(task)) << task << " started after it was done";
            } else if (line.at("event") == "end") {
                running.erase(task);
                if (line.at("detail") == "done") {
                    done.insert(task);
                }
            }
        }
    }

    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
    std::uint16_t m_controlPort = 0;
    std::uint16_t m_internalPort = 0;
    std::uint16_t m_entryPort = 0;
    std::uint16_t m_readyPort = 0;
    std::uint16_t m_vmPort = 0;
    std::uint16_t m_metricsPort = 0;
    std::set<std::string> m_workers;
    std::map<std::string, std::uint16_t> m_workerPorts;
    mutable std::string m_body;
};

} // namespace crocuscove::testing
