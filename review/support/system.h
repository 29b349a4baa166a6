// A small deployment: three control nodes, two entry nodes, executors and the platform's interface, on loopback.
#pragma once

#include "executor.h"

#include <csignal>
#include <filesystem>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// The case couldn't be run (exit code 2).
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Processes {
public:
    Processes() = default;
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;
    ~Processes() { endAll(); }

    void endAll()
    {
        for (const auto& [name, pid] : m_pids) {
            ::kill(pid, SIGKILL);
        }
        for (const auto& [name, pid] : m_pids) {
            waitpid(pid, nullptr, 0);
        }
        m_pids.clear();
    }

    void start(const std::string& name, const std::vector<std::string>& arguments, const std::string& log)
    {
        std::vector<char*> words;
        for (const std::string& argument : arguments) {
            words.push_back(const_cast<char*>(argument.c_str()));
        }
        words.push_back(nullptr);
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) {
                _exit(1);
            }
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execv(words[0], words.data());
            _exit(127);
        }
        m_pids[name] = pid;
    }

    void kill(const std::string& name)
    {
        ::kill(m_pids.at(name), SIGKILL);
        waitpid(m_pids.at(name), nullptr, 0);
        m_pids.erase(name);
    }

    [[nodiscard]] bool isRunning(const std::string& name) const { return m_pids.count(name) != 0; }

private:
    std::map<std::string, pid_t> m_pids;
};

struct Machine {
    std::string pool;
    std::string rack;
    /// The executor that runs on it, and its address.
    std::string worker;
    Address listen;
    Address advertise;
    std::string state = "up";
};

class System {
public:
    System(std::string program, std::string self, std::string folder, std::string record)
        : m_program(std::move(program))
        , m_self(std::move(self))
        , m_folder(std::move(folder))
        , m_recordPath(std::move(record))
        , m_record(m_recordPath)
    {
        m_controlPort = freePort();
        m_internalPort = freePort();
        m_frontPort = freePort();
        m_readyPort = freePort();
        m_metricsPort = freePort();
        m_platform = { "127.0.4.1", freePort() };
        const int listener = listenOn(m_platform);
        std::thread([this, listener] {
            serve(listener, [this](const Message& request) { return answerPlatform(request); });
        }).detach();
    }

    /// A port that is free on all addresses that a case uses, and stays clear of the ports of outgoing connections.
    int freePort()
    {
        static const std::vector<std::string> hosts { "127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.2.2",
            "127.0.3.1", "127.0.4.1" };
        for (int attempt = 0; attempt < 2'000; ++attempt) {
            const int port = 20'000 + (getpid() * 37 + m_portsTried++ * 13) % 10'000;
            bool isFree = m_ports.count(port) == 0;
            for (const std::string& host : hosts) {
                try {
                    close(isFree ? listenOn({ host, port }) : -1);
                } catch (const std::runtime_error&) {
                    isFree = false;
                }
            }
            if (isFree) {
                m_ports.insert(port);
                return port;
            }
        }
        throw CannotRun("no free port");
    }

    static std::string ip(int number) { return "127.0.1." + std::to_string(number); }
    [[nodiscard]] Address control(int number) const { return { ip(number), m_controlPort }; }
    [[nodiscard]] Address front(int number) const { return { "127.0.2." + std::to_string(number), m_frontPort }; }

    [[nodiscard]] std::string seeds() const
    {
        return control(1).text() + "," + control(2).text() + "," + control(3).text();
    }

    // The commands of deploy/system.toml.
    void startControl(int number, bool isFirst)
    {
        const std::string name = "core-" + std::to_string(number);
        m_processes.start(name,
            { m_program, "control", "--name=" + name, "--listen=" + control(number).text(),
                "--internal-port=" + std::to_string(m_internalPort), "--seeds=" + seeds(),
                std::string("--first-start=") + (isFirst ? "true" : "false"), "--data-folder=" + m_folder + "/" + name,
                "--losses-borne=1", "--vm-interface=" + m_platform.text(), "--vm-lease-ms=3000",
                "--max-descriptors=4096", "--metrics-listen=" + ip(number) + ":" + std::to_string(m_metricsPort) },
            m_folder + "/" + name + ".log");
        m_record.add(name, isFirst ? "started" : "restarted");
    }

    void startEntry(int number)
    {
        const std::string name = "front-" + std::to_string(number);
        const std::string host = front(number).ip;
        m_processes.start(name,
            { m_program, "entry", "--name=" + name, "--listen=" + front(number).text(),
                "--ready-listen=" + host + ":" + std::to_string(m_readyPort),
                "--internal-port=" + std::to_string(m_internalPort), "--seeds=" + seeds(), "--stop-timeout-ms=6000",
                "--metrics-listen=" + host + ":" + std::to_string(m_metricsPort) },
            m_folder + "/" + name + ".log");
    }

    void startAll()
    {
        for (int number = 1; number <= 3; ++number) {
            startControl(number, true);
        }
        startEntry(1);
        startEntry(2);
    }

    void endProcesses()
    {
        const std::lock_guard lock(m_mutex);
        m_processes.endAll();
    }

    void killProcess(const std::string& name)
    {
        m_processes.kill(name);
        m_record.add(name, "killed");
    }

    /// Adds a machine whose executor listens at a free port. A proxy may stand before it.
    Machine& addMachine(const std::string& name, const std::string& worker, const std::string& pool,
        const std::string& rack = "r1", std::optional<Address> advertise = std::nullopt)
    {
        const std::lock_guard lock(m_mutex);
        Machine& machine = m_machines[name];
        machine.pool = pool;
        machine.rack = rack;
        machine.worker = worker;
        machine.listen = { "127.0.3.1", freePort() };
        machine.advertise = advertise.value_or(machine.listen);
        return machine;
    }

    /// Takes a machine that is lost for good from the platform's list.
    void removeMachine(const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        m_machines.erase(name);
    }

    void startExecutor(const std::string& machineName)
    {
        const std::lock_guard lock(m_mutex);
        const Machine& machine = m_machines.at(machineName);
        m_processes.start(machineName,
            { m_self, "executor", machine.worker, machine.pool, machine.rack, machine.listen.text(),
                machine.advertise.text(), seeds(), m_recordPath },
            m_folder + "/" + machineName + ".log");
    }

    /// Puts the manifest until it is acknowledged.
    void putManifest()
    {
        const std::string manifest
            = R"({"version":3,"routes":[{"name":"r-1","host":"h.example","pathPrefix":"/q/","kind":"non_idempotent",)"
              R"("timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":3,"stretch":1.6}],)"
              R"("services":[{"name":"pool","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,)"
              R"("admissionCheck":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
        operate("PUT", "/api/config", manifest);
    }

    /// Sends an order of the operator, to one node after the other, until it is acknowledged.
    void operate(const std::string& method, const std::string& path, const std::string& body)
    {
        for (const std::int64_t end = steadyMs() + 15'000; steadyMs() < end; sleepMs(100)) {
            for (int number = 1; number <= 3; ++number) {
                if (call(control(number), method, path, body, {}, 1'000).status == 200) {
                    m_record.add("operator", "acknowledged", { { "path", path } });
                    return;
                }
            }
        }
        throw CannotRun(method + " " + path + " wasn't acknowledged");
    }

    /// Hands a job in as a client does: again after no clear answer, at the other entry node.
    void submit(const std::string& id, const std::string& body)
    {
        int number = 0;
        for (const std::int64_t end = steadyMs() + 15'000; steadyMs() < end; sleepMs(100)) {
            const Message answer = call(front(1 + number++ % 2), "POST", "/q/" + id, body, "h.example");
            m_record.add("client", "submitted", { { "job", id }, { "status", answer.status } });
            if (answer.status == 200) {
                return;
            }
        }
        throw CannotRun("job " + id + " wasn't accepted");
    }

    /// Asks once for a job's state; empty without a clear answer, "410" for a job that isn't known.
    std::string ask(const std::string& id)
    {
        const Message answer = call(front(1 + m_asked++ % 2), "GET", "/q/" + id, {}, "h.example");
        std::string state = answer.status == 410 ? "410" : "";
        if (answer.status == 200) {
            const Json body = Json::parse(answer.body, nullptr, false);
            state = body.is_object() ? body.value("state", "") : "";
        }
        if (m_states[id] != state) {
            m_states[id] = state;
            m_record.add("client", "state", { { "job", id }, { "status", answer.status }, { "state", state } });
        }
        return state;
    }

    /// Waits until the job has one of these states; returns the last one seen.
    std::string awaitState(const std::string& id, const std::set<std::string>& wanted, std::int64_t timeoutMs)
    {
        std::string state;
        for (const std::int64_t end = steadyMs() + timeoutMs; steadyMs() < end; sleepMs(50)) {
            state = ask(id);
            if (wanted.count(state) != 0) {
                return state;
            }
        }
        return state;
    }

    /// All lines of the record so far.
    [[nodiscard]] std::vector<Json> lines() const
    {
        std::vector<Json> result;
        FILE* file = std::fopen(m_recordPath.c_str(), "r");
        char* line = nullptr;
        std::size_t size = 0;
        while (file != nullptr && getline(&line, &size, file) > 0) {
            Json parsed = Json::parse(line, nullptr, false);
            if (parsed.is_object()) {
                result.push_back(std::move(parsed));
            }
        }
        std::free(line);
        if (file != nullptr) {
            std::fclose(file);
        }
        return result;
    }

    /// Waits for the number-th start of a work item (counting from 1), and returns its line.
    std::optional<Json> awaitStart(const std::string& task, int number, std::int64_t timeoutMs) const
    {
        for (const std::int64_t end = steadyMs() + timeoutMs; steadyMs() < end; sleepMs(20)) {
            int seen = 0;
            for (const Json& line : lines()) {
                if (line["event"] == "start" && line["task"] == task && ++seen == number) {
                    return line;
                }
            }
        }
        return std::nullopt;
    }

    /// The name of the control node that leads, by its metrics; 0 for none.
    [[nodiscard]] int leader() const
    {
        for (int number = 1; number <= 3; ++number) {
            const Message answer = call({ ip(number), m_metricsPort }, "GET", "/metrics", {}, {}, 500);
            const auto line = answer.body.find("{name=\"is_serving_leader\"} 1");
            if (line != std::string::npos) {
                return number;
            }
        }
        return 0;
    }

    [[nodiscard]] const Record& record() const { return m_record; }

    /// Handles an order of upkeep or a move; set by a case that needs it.
    std::function<Answer(const std::string& path, const Json& order)> onMachineOrder;

    template <typename Function> void withMachines(const Function& function)
    {
        const std::lock_guard lock(m_mutex);
        function(m_machines);
    }

private:
    Answer answerPlatform(const Message& request)
    {
        if (request.method == "GET" && request.path.rfind("/api/machines", 0) == 0) {
            const std::lock_guard lock(m_mutex);
            Json list = Json::array();
            for (const auto& [name, machine] : m_machines) {
                list.push_back({ { "machine", name }, { "pool", machine.pool }, { "state", machine.state },
                    { "zone", "z1" }, { "labels", { "a", machine.rack } },
                    { "capacity", { { "cpu", 64'000 }, { "memMb", 262'144 }, { "gpu", 0 } } },
                    { "id", machine.worker } });
            }
            return { 200, Json { { "machines", list }, { "nextToken", nullptr } }.dump() };
        }
        const Json order = Json::parse(request.body, nullptr, false);
        if (!order.is_object() || !onMachineOrder) {
            return { 400, "{}" };
        }
        const auto header = [&](const char* name) {
            const auto found = request.headers.find(name);
            return found == request.headers.end() ? std::string() : found->second;
        };
        m_record.add("platform", "order",
            { { "path", request.path }, { "machine", order.value("machine", "") }, { "holder", header("lease-holder") },
                { "fence", header("fencing-token") } });
        return onMachineOrder(request.path, order);
    }

    std::string m_program;
    std::string m_self;
    std::string m_folder;
    std::string m_recordPath;
    Record m_record;
    int m_portsTried = 0;
    std::set<int> m_ports;
    int m_controlPort = 0;
    int m_internalPort = 0;
    int m_frontPort = 0;
    int m_readyPort = 0;
    int m_metricsPort = 0;
    Address m_platform;
    std::mutex m_mutex;
    std::map<std::string, Machine> m_machines;
    std::map<std::string, std::string> m_states;
    int m_asked = 0;
    Processes m_processes;
};

} // namespace review
