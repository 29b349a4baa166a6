// A small deployment for the review cases 11 to 15: the project's own control and entry processes, started with the
// commands of the deploy file on loopback addresses, and stand-ins for executors, the platform, clients and the
// operator as the users' pages describe them. Everything that is sent, answered and run goes to record.txt.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Setup : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_begin(steadyMs())
    {
    }
    void operator()(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", static_cast<double>(steadyMs() - m_begin) / 1000.0);
        m_file << time << line << std::endl;
    }
    [[nodiscard]] std::int64_t nowMs() const { return steadyMs() - m_begin; }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_begin;
};

// ---- HTTP ----------------------------------------------------------------------------------------------------------

struct Address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), std::atoi(text.c_str() + colon + 1) };
}

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

struct Message {
    std::string first;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Answer {
    int status = 0; // 0: none
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads one message. Returns nothing when the channel ended, or after `deadline`.
inline std::optional<Message> readMessage(
    int fd, std::string& buffer, std::int64_t deadline, const std::function<bool()>& isHeld = nullptr)
{
    const auto more = [&]() -> bool {
        for (;;) {
            const std::int64_t left = deadline - steadyMs();
            if (left <= 0) {
                return false;
            }
            pollfd entry { fd, POLLIN, 0 };
            const int ready = poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 100)));
            if (ready < 0) {
                return false;
            }
            if (ready == 0 || (isHeld && isHeld())) {
                if (ready > 0) {
                    pause(10);
                }
                continue;
            }
            char bytes[16384];
            const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
            if (count <= 0) {
                return false;
            }
            buffer.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    Message message;
    std::size_t at = buffer.find("\r\n");
    message.first = buffer.substr(0, at);
    while (at < end) {
        const std::size_t begin = at + 2;
        at = buffer.find("\r\n", begin);
        const std::string line = buffer.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + size) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return message;
}

inline bool writeAll(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

inline Answer call(const Address& to, const std::string& method, const std::string& path, const std::string& body,
    std::int64_t timeoutMs, const std::string& host = "")
{
    const std::int64_t deadline = steadyMs() + timeoutMs;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(to);
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    pollfd entry { fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&entry, 1, static_cast<int>(timeoutMs)) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        close(fd);
        return {};
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + (host.empty() ? to.text() : host)
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    Answer answer;
    std::string buffer;
    if (writeAll(fd, request)) {
        if (const auto message = readMessage(fd, buffer, deadline)) {
            answer = { std::atoi(message->first.c_str() + 9), message->headers, message->body };
        }
    }
    close(fd);
    return answer;
}

struct Reply {
    int status = 200;
    Json body = Json::object();
    /// The caller gets no answer.
    bool isSilent = false;
};

/// A server with a thread for each channel.
class Server {
public:
    using Handler = std::function<Reply(const Message&)>;

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }
    ~Server() { stop(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void start()
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const sockaddr_in address = socketAddress(m_address);
        if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || listen(m_listener, 256) != 0) {
            throw Setup("can't listen on " + m_address.text());
        }
        m_isUp = true;
        m_acceptor = std::thread([this] { accept(); });
    }

    /// Resets all channels; nothing listens any more.
    void stop()
    {
        if (!m_isUp.exchange(false)) {
            return;
        }
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        reset();
        for (;;) {
            const std::lock_guard lock(m_mutex);
            if (m_channels.empty()) {
                break;
            }
        }
    }

    /// Ends all open channels.
    void reset()
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_channels) {
            const linger abort { 1, 0 };
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
            shutdown(fd, SHUT_RDWR);
        }
    }

    /// While held, nothing that arrives is read and nothing is answered.
    void setHeld(bool isHeld)
    {
        m_isHeld = isHeld;
        if (!isHeld) {
            reset();
        }
    }
    [[nodiscard]] bool isUp() const { return m_isUp; }

private:
    void accept()
    {
        while (m_isUp) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int yes = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            const std::lock_guard lock(m_mutex);
            m_channels.insert(fd);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        while (m_isUp) {
            const auto message = readMessage(fd, buffer, steadyMs() + 60'000, [this] { return m_isHeld && m_isUp; });
            if (!message || !m_isUp) {
                break;
            }
            const Reply reply = m_handler(*message);
            if (m_isHeld || reply.isSilent) {
                // The bytes never arrive; the channel hangs until the caller ends it.
                char byte = 0;
                while (m_isUp && (m_isHeld || reply.isSilent)) {
                    pollfd entry { fd, POLLIN, 0 };
                    if (poll(&entry, 1, 50) != 0 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) {
                        break;
                    }
                }
                break;
            }
            const std::string body = reply.body.dump();
            if (!m_isUp
                || !writeAll(fd,
                    "HTTP/1.1 " + std::to_string(reply.status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body)) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_channels.erase(fd);
        close(fd);
    }

    Address m_address;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isUp = false;
    std::atomic<bool> m_isHeld = false;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_channels;
};

// ---- Executors -----------------------------------------------------------------------------------------------------

/// What a work item does, from its `spec`: "ms=N" its work (-1: it lasts), "gang=N" the members of its gang, "save=N"
/// the work between two checkpoints.
struct Work {
    std::int64_t ms = 1000;
    int gang = 0;
    std::int64_t saveMs = 0;

    static Work parse(const std::string& spec)
    {
        Work work;
        const auto number = [&](const char* name, std::int64_t missing) {
            const auto at = spec.find(name);
            return at == std::string::npos ? missing : std::atoll(spec.c_str() + at + std::strlen(name));
        };
        work.ms = number("ms=", 1000);
        work.gang = static_cast<int>(number("gang=", 0));
        work.saveMs = number("save=", 0);
        return work;
    }
};

struct World;

struct Run {
    std::string task;
    std::uint32_t run = 0;
    Work work;
    std::string checkpoint; // that it was started with
    std::string saved;
    std::int64_t arrivedAt = 0;
    std::optional<std::int64_t> workingSince;
    std::int64_t doneBefore = 0;
    [[nodiscard]] std::int64_t workedMs(std::int64_t now) const
    {
        return doneBefore + (workingSince ? now - *workingSince : 0);
    }
};

struct End {
    std::int64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::string saved;
};

inline std::string gangOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

class Executor {
public:
    Executor(World& world, std::string id, std::string service, Address address, std::string rack, std::int64_t cpu);
    ~Executor() { halt(); }
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    void start();
    /// Ends at once, as by SIGKILL.
    void crash(const std::string& why);
    /// A new life at the same address, under the id that it had.
    void restart();
    /// The same while it is cut off, so that no caller sees its channels end.
    void restartBehindCut();
    /// Cut off from the system: nothing passes in either direction, and channels hang.
    void setCut(bool isCut);
    void halt();
    /// All that runs here ends as failed, by the executor's fault. Under the world's mutex.
    void failAll();

    [[nodiscard]] bool isUp() const { return m_isUp; }

    // Under the world's mutex:
    void tick(std::int64_t now);
    Reply startRun(const std::string& intended, const Json& body, const std::string& how);
    void endRun(const std::string& task, const std::string& how, std::string saved);
    [[nodiscard]] std::int64_t clockMs() const { return steadyMs() - m_clockBegin; }

    World& world;
    std::string id;
    std::string service;
    Address address;
    std::string rack;
    std::int64_t cpu;
    std::map<std::string, Run> running;
    std::int64_t born = 0;
    int life = 0;
    std::int64_t holds = 0;

private:
    Reply handle(const Message& message);
    Reply hold(const Json& body, std::unique_lock<std::mutex>& lock);
    void beat();
    void forgetAll();

    std::unique_ptr<Server> m_server;
    std::thread m_beats;
    std::atomic<bool> m_isUp = false;
    std::atomic<bool> m_isCut = false;
    std::int64_t m_clockBegin = 0;
    std::int64_t m_seq = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_lastEnd = 0;
    std::vector<End> m_ended;
    std::map<std::string, std::uint32_t> m_over; // highest run that was stopped or ended
    std::string m_beatAddress;
};

// ---- The deployment ------------------------------------------------------------------------------------------------

struct Process {
    std::string name;
    pid_t pid = -1;
    std::vector<std::string> words;
};

struct World {
    World(const char* root, const char* recordPath)
        : record(recordPath)
        , m_root(root)
    {
        char name[] = "/tmp/review-XXXXXX";
        if (mkdtemp(name) == nullptr) {
            throw Setup("no temporary folder");
        }
        folder = name;
        std::random_device random;
        m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        for (int attempt = 0; attempt < 50; ++attempt) {
            basePort = 21000 + static_cast<int>(random() % 9000);
            if (isFree({ ip(1), basePort }) && isFree({ ip(1), basePort + 1 }) && isFree({ ip(11), basePort + 2 })
                && isFree({ ip(11), basePort + 3 })) {
                break;
            }
        }
        m_vms = std::make_unique<Server>(Address { ip(20), basePort + 4 }, [this](const Message& m) { return vms(m); });
        m_vms->start();
        m_ticker = std::thread([this] {
            while (!m_isOver) {
                pause(10);
                const std::lock_guard lock(mutex);
                const std::int64_t now = steadyMs();
                for (const auto& executor : executors) {
                    executor->tick(now);
                }
                for (auto late = m_late.begin(); late != m_late.end();) {
                    if (late->first <= now) {
                        late->second();
                        late = m_late.erase(late);
                    } else {
                        ++late;
                    }
                }
            }
        });
    }

    ~World()
    {
        m_isOver = true;
        m_ticker.join();
        for (Process& process : processes) {
            end(process);
        }
        for (const auto& executor : executors) {
            executor->halt();
        }
        m_vms->stop();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder, ignored);
        }
    }

    [[nodiscard]] std::string ip(int last) const { return m_net + std::to_string(last); }
    [[nodiscard]] Address control(int number) const { return { ip(number), basePort }; }
    [[nodiscard]] Address front() const { return { ip(11), basePort + 2 }; }

    static bool isFree(const Address& address)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in where = socketAddress(address);
        const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0;
        close(fd);
        return free;
    }

    Executor& addExecutor(const std::string& service, const std::string& rack, std::int64_t cpu)
    {
        const int number = static_cast<int>(executors.size()) + 1;
        char id[32];
        std::snprintf(id, sizeof(id), "i-%08x", 0x1000 + number);
        executors.push_back(std::make_unique<Executor>(
            *this, id, service, Address { ip(30 + number), basePort + 5 }, rack, cpu));
        return *executors.back();
    }

    /// The words of `run` of the deploy file, with the settings of a small deployment.
    void startControl(int number, bool isFirst)
    {
        const std::string name = "control-" + std::to_string(number);
        start(name,
            { "control", "--name=" + name, "--listen=" + control(number).text(),
                "--internal-port=" + std::to_string(basePort + 1), "--seeds=" + seeds(),
                std::string("--first-start=") + (isFirst ? "true" : "false"), "--data-folder=" + folder + "/" + name,
                "--losses-borne=1", "--vm-interface=" + Address { ip(20), basePort + 4 }.text(), "--vm-lease-ms=3000",
                "--max-task-lease-ms=10000", "--max-descriptors=4096",
                "--metrics-listen=" + ip(number) + ":" + std::to_string(basePort + 6) });
    }

    void startSystem()
    {
        for (int number = 1; number <= 3; ++number) {
            startControl(number, true);
        }
        start("entry-1",
            { "entry", "--name=entry-1", "--listen=" + front().text(),
                "--ready-listen=" + ip(11) + ":" + std::to_string(basePort + 3),
                "--internal-port=" + std::to_string(basePort + 1), "--seeds=" + seeds(), "--stop-timeout-ms=6000",
                "--metrics-listen=" + ip(11) + ":" + std::to_string(basePort + 6) });
    }

    [[nodiscard]] std::string seeds() const
    {
        return control(1).text() + "," + control(2).text() + "," + control(3).text();
    }

    void start(const std::string& name, std::vector<std::string> words)
    {
        Process process { name, -1, std::move(words) };
        const std::string program = m_root + "/target/crocuscove";
        std::string line = "start " + name + ": target/crocuscove";
        for (const std::string& word : process.words) {
            const auto at = word.find(folder);
            line += " " + (at == std::string::npos ? word : std::string(word).replace(at, folder.size(), "FOLDER"));
        }
        record(line);
        std::vector<char*> arguments { const_cast<char*>(program.c_str()) };
        for (std::string& word : process.words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        const std::string log = folder + "/" + name + ".log";
        process.pid = fork();
        if (process.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execv(program.c_str(), arguments.data());
            _exit(127);
        }
        processes.push_back(std::move(process));
    }

    static void end(Process& process)
    {
        if (process.pid > 0) {
            kill(process.pid, SIGKILL);
            waitpid(process.pid, nullptr, 0);
            process.pid = -1;
        }
    }

    /// Fails when a process of the system has ended by itself.
    void requireAlive()
    {
        for (Process& process : processes) {
            if (process.pid > 0 && waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
                process.pid = -1;
                record(process.name + " ended by itself");
                throw Setup(process.name + " ended by itself");
            }
        }
    }

    /// One call to the control plane, which follows a 307 twice.
    Answer callControl(Address to, const std::string& method, const std::string& path, const std::string& body)
    {
        Answer answer;
        for (int hop = 0; hop < 3; ++hop) {
            answer = call(to, method, path, body, 1000);
            if (answer.status != 307) {
                break;
            }
            const std::string location = answer.headers["location"];
            const auto begin = location.find("//") + 2;
            to = parseAddress(location.substr(begin, location.find('/', begin) - begin));
        }
        return answer;
    }

    void configure(const Json& manifest)
    {
        record("operator PUT /api/config " + manifest.dump());
        const std::int64_t until = steadyMs() + 20'000;
        for (int node = 1; steadyMs() < until; node = node % 3 + 1) {
            const Answer answer = callControl(control(node), "PUT", "/api/config", manifest.dump());
            if (answer.status == 200) {
                record("operator: 200 by " + control(node).text());
                return;
            }
            pause(200);
        }
        throw Setup("the manifest was not accepted");
    }

    void startExecutors()
    {
        for (const auto& executor : executors) {
            executor->start();
        }
        const std::int64_t until = steadyMs() + 20'000;
        const auto isHeld = [](const auto& executor) { return executor->holds >= 2; };
        while (steadyMs() < until) {
            pause(50);
            const std::lock_guard lock(mutex);
            if (std::ranges::all_of(executors, isHeld)) {
                return;
            }
        }
        throw Setup("the executors were not taken into use");
    }

    Answer client(const std::string& method, const std::string& path, const std::string& body = "")
    {
        Answer answer = call(front(), method, path, body, 3000, host);
        if (method != "GET" || path != m_lastAsked || answer.body != m_lastBody || answer.status != m_lastStatus) {
            record("client " + method + " " + path + " " + (body.size() > 300 ? body.substr(0, 300) + "..." : body)
                + " -> " + (answer.status == 0 ? "no answer" : std::to_string(answer.status)) + " " + answer.body);
        }
        if (method == "GET") {
            m_lastAsked = path;
            m_lastBody = answer.body;
            m_lastStatus = answer.status;
        }
        return answer;
    }

    /// Sends the job until it is accepted, as clients do after an answer that leaves the outcome open.
    void submit(const std::string& path, const Json& job)
    {
        const std::int64_t until = steadyMs() + 15'000;
        while (steadyMs() < until) {
            if (client("POST", path, job.dump()).status == 200) {
                return;
            }
            pause(500);
        }
        throw Setup("a job was not accepted");
    }

    std::string state(const std::string& path)
    {
        const Answer answer = client("GET", path);
        if (answer.status == 200) {
            return Json::parse(answer.body).value("state", "");
        }
        return answer.status == 0 ? "no answer" : std::to_string(answer.status);
    }

    /// Carries something out later, under the mutex.
    void later(std::int64_t ms, std::function<void()> work) { m_late.emplace_back(steadyMs() + ms, std::move(work)); }

    /// The executor on which a run of the task is, or a null pointer. Under the mutex.
    Executor* holderOf(const std::string& task)
    {
        for (const auto& executor : executors) {
            if (executor->running.contains(task)) {
                return executor.get();
            }
        }
        return nullptr;
    }

    /// Members of a run of a gang that are present. Under the mutex.
    std::vector<std::pair<Executor*, Run*>> members(const std::string& gang, std::uint32_t run)
    {
        std::vector<std::pair<Executor*, Run*>> result;
        for (const auto& executor : executors) {
            for (auto& [task, entry] : executor->running) {
                if (gangOf(task) == gang && entry.run == run) {
                    result.emplace_back(executor.get(), &entry);
                }
            }
        }
        return result;
    }

    /// Another member of the gang has ended. Under the mutex.
    void breakGang(const std::string& gang, std::uint32_t run, const std::string& how)
    {
        std::vector<std::pair<Executor*, std::string>> others;
        for (const auto& [executor, entry] : members(gang, run)) {
            others.emplace_back(executor, entry->task);
        }
        for (const auto& [executor, task] : others) {
            if (const auto found = executor->running.find(task); found != executor->running.end()) {
                executor->endRun(task, how, found->second.saved);
            }
        }
    }

    Record record;
    std::mutex mutex;
    std::condition_variable changed;
    std::string folder;
    int basePort = 0;
    std::string host = "shop.example";
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<Process> processes;
    /// Asked for each start order: for how many ms it is held up on its way; 0 for not at all, -1 if it is lost.
    std::function<std::int64_t(Executor&, const Json&)> delayOfStart;
    /// Told of each start and each end, under the mutex.
    std::function<void(Executor&, const Run&)> onStart;
    std::function<void(Executor&, const Run&, const std::string& how)> onEnd;
    std::int64_t stopMs = 200;
    std::int64_t maxHoldMs = 10'000;
    std::int64_t gangTimeoutMs = 3'000;

private:
    Reply vms(const Message& message)
    {
        if (message.first.starts_with("GET /api/machines")) {
            const std::lock_guard lock(mutex);
            Json list = Json::array();
            for (const auto& executor : executors) {
                list.push_back({ { "machine", "m-" + executor->id }, { "pool", executor->service },
                    { "state", executor->isUp() ? "up" : "down" }, { "zone", "zone-a" },
                    { "labels", { "a", executor->rack } },
                    { "capacity", { { "cpu", executor->cpu }, { "memMb", 262144 }, { "gpu", 0 } } },
                    { "id", executor->id } });
            }
            return { 200, { { "machines", list }, { "nextToken", "" } } };
        }
        // Each pool is of other machines.
        record("platform " + message.first + " " + message.body + " -> 400");
        return { 400 };
    }

    std::string m_root;
    std::string m_net;
    std::unique_ptr<Server> m_vms;
    std::thread m_ticker;
    std::atomic<bool> m_isOver = false;
    std::vector<std::pair<std::int64_t, std::function<void()>>> m_late;
    std::string m_lastAsked;
    std::string m_lastBody;
    int m_lastStatus = 0;
};

// ---- Executors, continued ------------------------------------------------------------------------------------------

inline Executor::Executor(
    World& owner, std::string name, std::string pool, Address where, std::string at, std::int64_t cores)
    : world(owner)
    , id(std::move(name))
    , service(std::move(pool))
    , address(std::move(where))
    , rack(std::move(at))
    , cpu(cores)
{
}

inline void Executor::start()
{
    {
        const std::lock_guard lock(world.mutex);
        ++life;
        born = unixMs();
        // The clock of an executor begins at its start.
        m_clockBegin = steadyMs();
        forgetAll();
        world.record("executor " + id + " (" + service + ") starts at " + address.text() + ", born " + std::to_string(born));
    }
    m_server = std::make_unique<Server>(address, [this](const Message& message) { return handle(message); });
    m_server->start();
    m_server->setHeld(m_isCut);
    m_isUp = true;
    m_beats = std::thread([this] { beat(); });
}

inline void Executor::forgetAll()
{
    m_seq = 0;
    m_fence = 0;
    m_deadline = 0;
    m_lastEnd = 0;
    m_ended.clear();
    m_over.clear();
    running.clear();
}

inline void Executor::halt()
{
    if (!m_isUp.exchange(false)) {
        return;
    }
    world.changed.notify_all();
    m_server->stop();
    m_beats.join();
}

inline void Executor::crash(const std::string& why)
{
    halt();
    const std::lock_guard lock(world.mutex);
    std::string lost;
    const auto runs = running;
    for (const auto& [task, run] : runs) {
        lost += " " + task + "/" + std::to_string(run.run);
        if (world.onEnd) {
            world.onEnd(*this, run, "crash");
        }
    }
    forgetAll();
    world.record("executor " + id + " crashes (" + why + "); what ran:" + (lost.empty() ? " nothing" : lost));
    for (const auto& [task, run] : runs) {
        if (run.work.gang > 0) {
            world.breakGang(gangOf(task), run.run, "broken");
        }
    }
}

inline void Executor::restart() { start(); }

inline void Executor::restartBehindCut()
{
    const std::lock_guard lock(world.mutex);
    std::string lost;
    const auto runs = running;
    for (const auto& [task, run] : runs) {
        lost += " " + task + "/" + std::to_string(run.run);
        if (world.onEnd) {
            world.onEnd(*this, run, "crash");
        }
    }
    forgetAll();
    for (const auto& [task, run] : runs) {
        if (run.work.gang > 0) {
            world.breakGang(gangOf(task), run.run, "broken");
        }
    }
    ++life;
    born = unixMs();
    m_clockBegin = steadyMs();
    m_beatAddress.clear();
    world.record("executor " + id + " crashes and starts again behind the cut, born " + std::to_string(born)
        + "; what ran:" + (lost.empty() ? " nothing" : lost));
}

inline void Executor::failAll()
{
    const auto runs = std::exchange(running, {});
    for (const auto& [task, run] : runs) {
        m_over[task] = std::max(m_over[task], run.run);
        m_ended.push_back({ ++m_lastEnd, task, run.run, "failed", run.saved });
        world.record("executor " + id + ": " + task + " run " + std::to_string(run.run) + " ends failed");
        if (world.onEnd) {
            world.onEnd(*this, run, "failed");
        }
    }
    for (const auto& [task, run] : runs) {
        if (run.work.gang > 0) {
            world.breakGang(gangOf(task), run.run, "broken");
        }
    }
    world.changed.notify_all();
}

inline void Executor::setCut(bool isCut)
{
    m_isCut = isCut;
    world.record("executor " + id + (isCut ? " is cut off" : " is no longer cut off"));
    if (m_server) {
        m_server->setHeld(isCut);
    }
}

inline void Executor::beat()
{
    int node = 1;
    std::int64_t next = steadyMs();
    while (m_isUp) {
        if (steadyMs() < next || m_isCut) {
            pause(20);
            continue;
        }
        Json body;
        {
            const std::lock_guard lock(world.mutex);
            body = { { "service", service }, { "address", address.text() }, { "zone", "zone-a" }, { "version", "v1" },
                { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
                { "capacity", { { "cpu", cpu }, { "memMb", 262144 }, { "gpu", 0 } } }, { "labels", { "a", rack } },
                { "clockMs", clockMs() }, { "seq", ++m_seq }, { "born", born } };
        }
        const Address to = m_beatAddress.empty() ? world.control(node) : parseAddress(m_beatAddress);
        const Answer answer = world.callControl(to, "PUT", "/api/instances/" + id, body.dump());
        if (answer.status >= 200 && answer.status < 300) {
            const Json read = Json::parse(answer.body, nullptr, false);
            m_beatAddress = read.is_object() ? read.value("heartbeatAddr", "") : "";
            next += 1500;
            next = std::max(next, steadyMs());
        } else {
            m_beatAddress.clear();
            node = node % 3 + 1;
            pause(100);
        }
    }
}

inline Reply Executor::handle(const Message& message)
{
    std::unique_lock lock(world.mutex);
    if (!m_isUp) {
        return { .isSilent = true };
    }
    const Json body = Json::parse(message.body, nullptr, false);
    const auto intended = message.headers.find("expect-instance");
    const std::string name = intended == message.headers.end() ? id : intended->second;
    if (message.first.starts_with("GET /health")) {
        return {};
    }
    if (message.first.starts_with("POST /api/run-start")) {
        const std::int64_t delay = world.delayOfStart ? world.delayOfStart(*this, body) : 0;
        if (delay < 0) {
            world.record("order to " + id + " is lost, as it has just fallen silent: run-start "
                + body.at("task").get<std::string>() + " run " + body.at("run").dump());
            return { .isSilent = true };
        }
        if (delay > 0) {
            world.record("order to " + id + " is held up for " + std::to_string(delay) + " ms: run-start "
                + body.at("task").get<std::string>() + " run " + body.at("run").dump() + " deadlineMs "
                + body.at("deadlineMs").dump() + " fence " + body.at("fence").dump());
            world.later(delay, [this, name, body] {
                if (m_isUp) {
                    startRun(name, body, "late, life " + std::to_string(life));
                }
            });
            return { .isSilent = true };
        }
        return startRun(name, body, "at once");
    }
    Json answer { { "clockMs", clockMs() }, { "born", born } };
    if (name != id) {
        return { 421, answer };
    }
    const auto fence = body.value("fence", std::uint64_t { 0 });
    if (fence < m_fence) {
        answer["reason"] = "fence";
        return { 409, answer };
    }
    m_fence = fence;
    if (message.first.starts_with("POST /api/run-stop")) {
        const std::string task = body.at("task");
        const auto run = body.at("run").get<std::uint32_t>();
        m_over[task] = std::max(m_over[task], run);
        world.record("order to " + id + ": run-stop " + task + " run " + std::to_string(run) + " -> 200");
        const auto found = running.find(task);
        if (found != running.end() && found->second.run <= run) {
            const std::int64_t at = steadyMs();
            world.later(world.stopMs / 2, [this, task, life = life, runNumber = found->second.run, at] {
                const auto entry = running.find(task);
                if (life == this->life && entry != running.end() && entry->second.run == runNumber) {
                    const Work& work = entry->second.work;
                    endRun(task, "stopped", work.saveMs > 0 ? std::to_string(entry->second.workedMs(at)) : "");
                }
            });
        }
        return { 200, answer };
    }
    if (message.first.starts_with("POST /api/hold")) {
        return hold(body, lock);
    }
    if (message.first.starts_with("POST /api/pace")) {
        return { 200, answer };
    }
    return { 404, answer };
}

inline Reply Executor::startRun(const std::string& intended, const Json& body, const std::string& how)
{
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint32_t>();
    const std::string checkpoint = body.value("checkpoint", "");
    Json answer { { "clockMs", clockMs() }, { "born", born } };
    const auto reply = [&](int status, const std::string& reason) {
        if (!reason.empty()) {
            answer["reason"] = reason;
        }
        world.record("order to " + id + " (" + how + "): run-start " + task + " run " + std::to_string(number)
            + (checkpoint.empty() ? "" : " checkpoint " + checkpoint) + " -> " + std::to_string(status) + " " + reason);
        return Reply { status, answer };
    };
    if (intended != id) {
        return reply(421, "");
    }
    const auto fence = body.value("fence", std::uint64_t { 0 });
    if (fence < m_fence) {
        return reply(409, "fence");
    }
    m_fence = fence;
    const std::int64_t now = clockMs();
    const auto deadline = body.value("deadlineMs", std::int64_t { 0 });
    if (deadline <= now) {
        return reply(409, "late");
    }
    const auto extend = [&] { m_deadline = std::max(m_deadline, std::min(deadline, now + world.maxHoldMs)); };
    const auto present = running.find(task);
    if (present != running.end() && present->second.run == number) {
        extend();
        return reply(200, "");
    }
    const auto over = m_over.find(task);
    if ((over != m_over.end() && number <= over->second) || present != running.end()) {
        extend();
        return reply(409, "old");
    }
    Run run;
    run.task = task;
    run.run = number;
    run.work = Work::parse(body.value("spec", ""));
    run.checkpoint = checkpoint;
    run.saved = checkpoint;
    run.doneBefore = checkpoint.empty() ? 0 : std::atoll(checkpoint.c_str());
    run.arrivedAt = steadyMs();
    if (run.work.gang > 0) {
        for (const auto& [executor, other] : world.members(gangOf(task), number)) {
            if (other->checkpoint != checkpoint) {
                // PROTOCOL: all members of a gang must carry the same value.
                answer["cause"] = "the members of the gang carry different checkpoints";
                return reply(400, "(" + other->task + " carries \"" + other->checkpoint + "\")");
            }
        }
    } else {
        run.workingSince = run.arrivedAt;
    }
    extend();
    Run& stored = running[task] = run;
    const Reply result = reply(200, "");
    if (world.onStart) {
        world.onStart(*this, stored);
    }
    if (stored.work.gang > 0) {
        const auto members = world.members(gangOf(task), number);
        if (static_cast<int>(members.size()) == stored.work.gang) {
            world.record("gang " + gangOf(task) + " run " + std::to_string(number) + ": all "
                + std::to_string(stored.work.gang) + " members are present");
            for (const auto& [executor, member] : members) {
                member->workingSince = steadyMs();
            }
        }
    }
    return result;
}

inline void Executor::endRun(const std::string& task, const std::string& how, std::string saved)
{
    const auto found = running.find(task);
    const Run run = found->second;
    running.erase(found);
    m_over[task] = std::max(m_over[task], run.run);
    m_ended.push_back({ ++m_lastEnd, task, run.run, how, saved });
    world.record("executor " + id + ": " + task + " run " + std::to_string(run.run) + " ends " + how
        + (saved.empty() ? "" : ", saved " + saved));
    if (world.onEnd) {
        world.onEnd(*this, run, how);
    }
    if (run.work.gang > 0) {
        world.breakGang(gangOf(task), run.run, how == "done" ? "done" : "broken");
    }
    world.changed.notify_all();
}

inline void Executor::tick(std::int64_t now)
{
    if (!m_isUp) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, run] : running) {
        if (run.work.saveMs > 0 && run.workingSince) {
            const std::int64_t whole = run.workedMs(now) / run.work.saveMs * run.work.saveMs;
            run.saved = whole > 0 ? std::to_string(whole) : run.saved;
        }
        if (clockMs() > m_deadline) {
            ends.emplace_back(task, "lapsed");
        } else if (run.workingSince && run.work.ms >= 0 && run.workedMs(now) >= run.work.ms) {
            ends.emplace_back(task, "done");
        } else if (!run.workingSince && now - run.arrivedAt > world.gangTimeoutMs) {
            ends.emplace_back(task, "alone");
        }
    }
    for (const auto& [task, how] : ends) {
        if (const auto found = running.find(task); found != running.end()) {
            endRun(task, how, how == "done" ? "" : found->second.saved);
        }
    }
}

inline Reply Executor::hold(const Json& body, std::unique_lock<std::mutex>& lock)
{
    const auto cursor = body.value("ackCursor", std::int64_t { 0 });
    std::erase_if(m_ended, [&](const End& end) { return end.number <= cursor; });
    if (body.contains("deadlineMs")) {
        const auto deadline = body.at("deadlineMs").get<std::int64_t>();
        m_deadline = std::max(m_deadline, std::min(deadline, clockMs() + world.maxHoldMs));
    }
    const int atLife = life;
    const std::int64_t until = steadyMs() + std::min<std::int64_t>(2000, body.value("waitMs", std::int64_t { 0 }));
    while (m_isUp && m_ended.empty() && steadyMs() < until) {
        world.changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    if (!m_isUp || atLife != life) {
        return { .isSilent = true };
    }
    ++holds;
    Json answer { { "clockMs", clockMs() }, { "born", born }, { "running", Json::array() }, { "ended", Json::array() } };
    const std::int64_t now = steadyMs();
    for (const auto& [task, run] : running) {
        const std::int64_t percent = run.work.ms > 0 ? run.workedMs(now) * 100 / run.work.ms : 100;
        answer["running"].push_back({ task, run.run, run.saved, std::min<std::int64_t>(100, percent) });
    }
    for (const End& end : m_ended) {
        if (answer["ended"].size() < 500) {
            answer["ended"].push_back({ end.number, end.task, end.run, end.how, end.saved });
        }
    }
    return { 200, answer };
}

inline Json route(const std::string& name, const std::string& prefix, const std::string& service, int maxAttempts)
{
    return { { "name", name }, { "host", "shop.example" }, { "pathPrefix", prefix }, { "kind", "non_idempotent" },
        { "timeoutMs", 3000 }, { "targetLatencyMs", 600 }, { "priority", 0 }, { "service", service },
        { "maxAttempts", maxAttempts }, { "stretch", 1.6 } };
}

inline Json service(const std::string& name)
{
    return { { "name", name }, { "healthPath", "/health" }, { "maxConns", 64 }, { "protocol", "h1" }, { "tls", false },
        { "admissionCheck", false }, { "standby", false } };
}

inline Json manifest(const Json& routes, const Json& services)
{
    return { { "version", 1 }, { "routes", routes }, { "services", services },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } };
}

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
inline int runCase(int argc, char** argv, const std::function<bool(World&, bool isTrouble)>& play)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: CASE ROOT RECORD\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const bool isTrouble = trouble == nullptr || std::string(trouble) != "0";
    try {
        World world(argv[1], argv[2]);
        try {
            const bool isBroken = play(world, isTrouble);
            world.requireAlive();
            world.record(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            std::printf("%s\n", isBroken ? "the rule was broken" : "the rule held");
            return isBroken ? 1 : 0;
        } catch (const std::exception& error) {
            world.record(std::string("RESULT: the case couldn't run: ") + error.what());
            std::printf("couldn't run: %s\n", error.what());
            return 2;
        }
    } catch (const std::exception& error) {
        std::printf("couldn't run: %s\n", error.what());
        return 2;
    }
}

} // namespace world
