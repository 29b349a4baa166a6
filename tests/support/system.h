#pragma once

#include "support/cluster.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace crocuscove::testing {

struct SystemOptions {
    int nodes = 1;
    /// The first nodes vote and have a data folder.
    int voters = 1;
    /// Starts a stand-in platform with these VMs when not null.
    nlohmann::json vms = nullptr;
    std::int64_t rebootMs = 300;
    /// Suspends the stand-in platform before the nodes start. It answers once it gets SIGCONT.
    bool isPlatformSuspended = false;
    std::int64_t seed = 1;
    /// Returns the address at which node `from` reaches the peer listener of node `to`, such as a proxy's. Without it
    /// nodes reach each other directly.
    std::function<base::Endpoint(int from, int to, const base::Endpoint& listener)> peerRoute = nullptr;
};

/// Addresses of one node.
struct NodeAddresses {
    std::string name;
    base::Endpoint client;
    base::Endpoint admin;
    base::Endpoint peer;
};

/// Nodes of one cluster, a platform, backend servers and workers as real processes.
class System {
public:
    System(Cluster& cluster, SystemOptions options);

    /// Kills the backend servers and workers, which would otherwise wait to be told that they may stop.
    ~System();
    System(const System&) = delete;
    System& operator=(const System&) = delete;

    /// Starts a node that does not run.
    void startNode(int number);

    [[nodiscard]] const NodeAddresses& node(int number) const
    {
        return m_nodes.at(static_cast<std::size_t>(number - 1));
    }
    [[nodiscard]] int nodeCount() const { return m_options.nodes; }
    [[nodiscard]] ChildProcess& nodeProcess(int number) { return m_cluster.process(node(number).name); }
    [[nodiscard]] const base::Endpoint& platform() const { return m_platform; }

    /// Waits until every node that runs reports ready.
    bool waitUntilReady();

    /// Returns the number of the leader as a running node sees it, or 0.
    int leader();

    /// Stores the document in `path` through the command line and waits until it is in force on every node.
    /// Returns the exit code.
    int applyAndWait(const std::string& path, int viaNode = 1);

    /// Sends a document once. Returns status 0 when no response came.
    [[nodiscard]] http::HttpResponse putDocument(int viaNode, const std::string& service, const std::string& text,
        std::uint64_t expectedRevision, const std::string& requestId) const;

    /// Waits until every node tells that the revision is in force on every node.
    [[nodiscard]] bool waitUntilInForce(const std::string& service, std::uint64_t revision) const;

    /// Returns the request ids of a service's revisions as a node tells them.
    [[nodiscard]] std::vector<std::string> history(const std::string& service, int viaNode) const;

    /// Starts a backend server of `service`, four VMs to a rack, announcing itself to every node in turn.
    ChildProcess& startBackend(
        const std::string& service, int number, const std::vector<std::string>& moreArguments = {});

    /// Kills every backend server. Without nodes they would wait for their stop bound at the end of a test.
    void killBackends();

    ChildProcess& startWorker(int number, const std::vector<std::string>& moreArguments = {});

    /// Starts a client load at the entry nodes given, all of them by default.
    ChildProcess& startLoad(const std::string& name, std::vector<std::string> arguments, std::vector<int> entries = {});

    /// Compares what clients were told with what backend servers ran. Returns the checker's report.
    nlohmann::json checkAnswers(const std::vector<std::string>& loads);

    [[nodiscard]] nlohmann::json status(int viaNode = 1) const
    {
        return Cluster::getJson(node(viaNode).admin, "/v1/status");
    }

    /// Returns the phase of a VM, or an empty text.
    [[nodiscard]] std::string vmPhase(const std::string& vm, int viaNode = 1) const;

    /// Returns the pool of a VM, or an empty text.
    [[nodiscard]] std::string vmPool(const std::string& vm, int viaNode = 1) const;

    /// Returns how many executors of a service are in service, or -1.
    [[nodiscard]] int inService(const std::string& service, int viaNode = 1) const;

    /// Waits until a client's request is answered with outcome executed.
    bool waitForAnswer(const std::string& path, int viaNode = 1);

private:
    [[nodiscard]] std::vector<std::string> nodeArguments(int number) const;
    [[nodiscard]] std::string adminList() const;
    [[nodiscard]] std::string vmField(const std::string& vm, const char* field, int viaNode) const;

    Cluster& m_cluster;
    SystemOptions m_options;
    std::vector<NodeAddresses> m_nodes;
    base::Endpoint m_platform;
    std::vector<std::string> m_backendNames;
    std::vector<std::string> m_backendRecords;
    std::set<std::string> m_announcing;
};

} // namespace crocuscove::testing
