#include "support/fault_proxy.h"
#include "support/system.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Silent network partitions between real nodes whose peer connections go through fault proxies.
namespace crocuscove::testing {
namespace {

constexpr int nodes = 6;
constexpr int voters = 3;
constexpr base::Milliseconds taskInterval { 5 };

/// A fault proxy for each ordered pair of nodes. Peer connections carry messages only from the node that dials, so that
/// each direction can be cut by itself. The proxies run on a thread of their own.
class PeerLinks {
public:
    PeerLinks()
        : m_thread([this] { serve(); })
    {
    }
    ~PeerLinks()
    {
        run([this] { m_isStopped = true; });
        m_thread.join();
    }
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    base::Endpoint route(int from, int to, const base::Endpoint& listener)
    {
        std::uint16_t port = 0;
        run([&] {
            auto& proxy = m_proxies[{ from, to }];
            if (!proxy) {
                proxy = std::make_unique<FaultProxy>(*m_loop, ProxyOptions { .target = listener });
            }
            port = proxy->port();
        });
        return loopback(port);
    }

    /// Holds back what others send to the node, what it sends, or both.
    void isolate(int node, bool cutsInbound, bool cutsOutbound)
    {
        run([&] {
            for (const auto& [link, proxy] : m_proxies) {
                if ((link.second == node && cutsInbound) || (link.first == node && cutsOutbound)) {
                    proxy->setFaults({ .cut = Cut::Both });
                }
            }
        });
    }

    void heal()
    {
        run([&] { std::ranges::for_each(m_proxies, [](const auto& entry) { entry.second->setFaults({}); }); });
    }

private:
    /// Runs a task on the proxies' thread and waits for its end.
    void run(const std::function<void()>& task)
    {
        std::packaged_task<void()> packaged(task);
        auto done = packaged.get_future();
        {
            const std::lock_guard lock(m_mutex);
            m_tasks.push_back(std::move(packaged));
        }
        done.get();
    }

    void serve()
    {
        http::EventLoop loop;
        m_loop = &loop;
        const http::Timer poll = loop.runEvery(taskInterval, [this] {
            std::vector<std::packaged_task<void()>> tasks;
            {
                const std::lock_guard lock(m_mutex);
                tasks.swap(m_tasks);
            }
            std::ranges::for_each(tasks, [](auto& task) { task(); });
            if (m_isStopped) {
                m_loop->stop();
            }
        });
        loop.run();
        m_proxies.clear();
    }

    std::mutex m_mutex;
    std::vector<std::packaged_task<void()>> m_tasks;
    http::EventLoop* m_loop = nullptr;
    std::map<std::pair<int, int>, std::unique_ptr<FaultProxy>> m_proxies;
    bool m_isStopped = false;
    std::thread m_thread;
};

struct Isolation {
    std::string name;
    bool cutsInbound = false;
    bool cutsOutbound = false;
};

class PartitionTest : public ::testing::TestWithParam<Isolation> {
protected:
    [[nodiscard]] bool isNotReady(int number) const
    {
        const auto ready = Cluster::request(system.node(number).admin, "GET", "/healthz/ready").response;
        return ready && ready->status == 503;
    }

    /// Resends the write of the next revision until it is accepted.
    void write(int viaNode)
    {
        const std::string requestId = fmt::format("write-{}", written.size() + 1);
        http::HttpResponse response;
        ASSERT_TRUE(waitUntil([&] {
            response = system.putDocument(viaNode, "demo", text, written.size(), requestId);
            return response.status == 200;
        })) << response.status
            << response.body;
        written.push_back(requestId);
    }

    static std::string readDocument()
    {
        std::ifstream file(CROCUSCOVE_SOURCE_FOLDER "/examples/documents/quickstart/demo.yaml");
        return { std::istreambuf_iterator<char>(file), {} };
    }

    PeerLinks links;
    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
    System system { cluster,
        { .nodes = nodes, .voters = voters, .peerRoute = [this](int from, int to, const auto& listener) {
             return links.route(from, to, listener);
         } } };
    std::string text = readDocument();
    std::vector<std::string> written;
};

// Guards against a majority that waits for an isolated leader, an isolated leader that accepts writes or reports ready,
// and revisions that are lost or reverted when the partition heals.
TEST_P(PartitionTest, IsolatedLeaderNeitherBlocksNorRevertsWrites)
{
    ASSERT_TRUE(system.waitUntilReady());
    write(6);
    ASSERT_TRUE(system.waitUntilInForce("demo", written.size()));
    int isolated = 0;
    ASSERT_TRUE(waitUntil([&] {
        isolated = system.leader();
        return isolated != 0;
    }));
    links.isolate(isolated, GetParam().cutsInbound, GetParam().cutsOutbound);

    const int other = isolated % nodes + 1;
    for (int i = 0; i < 10; ++i) {
        write(i % 2 == 0 ? 6 : other);
    }
    // A node that still hears the leader is not stale, so that only a cut towards the node makes it not ready.
    if (GetParam().cutsInbound) {
        EXPECT_TRUE(waitUntil([&] { return isNotReady(isolated); }));
    }
    const auto refused = system.putDocument(isolated, "demo", text, 1, "isolated");
    const auto told = nlohmann::json::parse(refused.body, nullptr, false);
    const bool isUnknown = refused.status == 504 && told.at("outcome") == "unknown";
    EXPECT_TRUE(isUnknown || (refused.status == 503 && told.at("outcome") == "not-executed"))
        << refused.status << refused.body;

    links.heal();
    ASSERT_TRUE(system.waitUntilReady());
    ASSERT_TRUE(system.waitUntilInForce("demo", written.size()));
    write(isolated);
    ASSERT_TRUE(system.waitUntilInForce("demo", written.size()));
    for (int number = 1; number <= nodes; ++number) {
        EXPECT_EQ(system.history("demo", number), written) << system.node(number).name;
    }
}

INSTANTIATE_TEST_SUITE_P(Cuts, PartitionTest,
    ::testing::Values(Isolation { "BothWays", true, true }, Isolation { "Inbound", true, false },
        Isolation { "Outbound", false, true }),
    [](const auto& parameter) { return parameter.param.name; });

} // namespace
} // namespace crocuscove::testing
